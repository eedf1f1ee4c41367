package simwire

import (
	"time"

	"gannetspur/internal/config"
	"gannetspur/policy"
)

// resultOfCode maps the wire's result codes. Any other is read as one of an attempt that may have run.
var resultOfCode = map[int64]policy.Result{
	200: policy.ResultSuccess,
	408: policy.ResultTimeout,
	409: policy.ResultNotSent,
	429: policy.ResultRejected,
	444: policy.ResultCancelled,
	502: policy.ResultError,
	520: policy.ResultConnectionLost,
	521: policy.ResultConnectFailed,
}

// Bits of a request.
const (
	bitWorkEstimated = 1
	bitRetry         = 2
)

// A note of a complete response is the work in milliseconds times noteUnit, plus the memory in units of noteMemoryMB.
const (
	noteUnit     = 4096
	noteMemoryMB = 4
)

// Sorts of interim message, and the value of sortWaiting that tells of a data load.
const (
	sortProgress    = 1
	sortSpilled     = 2
	sortWaiting     = 3
	waitForDataLoad = 2
)

// decodeEvent turns one message into an event; nil for one that the policy has no use for.
func (h *Host) decodeEvent(in *instance, m *message) policy.Event {
	switch m.name {
	case "PEERS_KNOWN":
		return h.decodeEngineList(m)
	case "REQ":
		return decodeQuery(m)
	case "SETTLED":
		return in.decodeAttemptEnd(m)
	case "INTERIM":
		return decodeProgress(m)
	case "HEAD_RECEIVED":
		return policy.StreamStarted{Query: m.id("xid"), Attempt: int(m.integer(2, "attempt"))}
	case "LAPSED":
		return policy.ClientDisconnected{Query: m.id("xid")}
	case "TICK_DUE":
		return policy.TimerFired{Token: m.id("nonce")}
	case "PROBED":
		return policy.LoadReportReceived{
			Engine: m.text(1, "engine"),
			Result: resultOfCode[m.integer(2, "rc")],
			Load:   in.decodeLoad(m, 4),
		}
	case "FROM_PEER":
		return nil
	}
	m.faultf("message", "unknown name")
	return nil
}

func (h *Host) decodeEngineList(m *message) policy.Event {
	var list policy.EngineList
	mode := m.text(1, "mode")
	switch mode {
	case "delta":
		list.Mode = policy.ListChanges
	case "full":
		list.Mode = policy.ListFull
	case "cached":
		list.Mode = policy.ListCached
	case "failed":
		list.Mode = policy.ListFailed
		return list
	default:
		m.faultf("mode", "unknown mode %q", mode)
		return nil
	}
	table, ok := h.tableNumber(m, 3)
	if !ok {
		return nil
	}
	list.Engines = h.tables[table]
	return list
}

func decodeQuery(m *message) policy.Event {
	query := policy.QueryArrived{
		Query:    m.id("xid"),
		Class:    m.text(6, "profile"),
		Deadline: config.FromMS(m.float(7, "client-deadline-ms")),
		Tenant:   decodeTenant(m),
	}
	var bits int64
	var workMS float64
	m.decodeOptional(2, "order-key", &query.Key)
	m.decodeOptional(3, "est-memory-mb", &query.MemoryMB)
	m.decodeOptional(4, "bits", &bits)
	m.decodeOptional(5, "guess-ms", &workMS)
	m.decodeOptional(9, "schema-no", &query.DataSet)
	if bits&bitWorkEstimated != 0 {
		query.Work = config.FromMS(workMS)
	}
	query.Repeat = bits&bitRetry != 0
	return query
}

// decodeTenant reads the tenant: a name, or 0 where there is none.
func decodeTenant(m *message) (tenant string) {
	const account = 8
	if m.has(account) && string(m.values[account]) != "0" {
		m.decode(account, "account", &tenant)
	}
	return tenant
}

func (in *instance) decodeAttemptEnd(m *message) policy.Event {
	end := policy.AttemptEnded{
		Query:   m.id("xid"),
		Attempt: int(m.integer(2, "attempt")),
		Result:  resultOfCode[m.integer(4, "rc")],
		Elapsed: config.FromMS(m.float(5, "rtt-ms")),
		Final:   m.flag(6, "last"),
	}
	var note int64
	m.decodeOptional(7, "note", &note)
	end.Work = time.Duration(note/noteUnit) * time.Millisecond
	end.MemoryMB = float64(note%noteUnit) * noteMemoryMB
	end.Load = in.decodeLoad(m, 8)
	return end
}

func decodeProgress(m *message) policy.Event {
	progress := policy.AttemptProgress{
		Query:   m.id("xid"),
		Attempt: int(m.integer(2, "attempt")),
		Value:   m.float(5, "value"),
	}
	sort := m.integer(4, "sort")
	switch {
	case sort == sortProgress:
		progress.Kind = policy.ProgressFraction
	case sort == sortSpilled:
		progress.Kind = policy.ProgressSpilled
	case sort == sortWaiting && progress.Value == waitForDataLoad:
		progress.Kind = policy.ProgressWaitingForDataLoad
	case sort == sortWaiting:
		progress.Kind = policy.ProgressWaitingForMemory
	default:
		m.faultf("sort", "unknown sort %d", sort)
	}
	return progress
}

// decodeLoad reads a load report, whose values stand in the order that the settings name. What is not reported is -1.
func (in *instance) decodeLoad(m *message, i int) policy.LoadReport {
	load := policy.LoadReport{CPUUtilization: -1, InFlight: -1, WaitingForMemory: -1, MemoryUtilization: -1, DiskUtilization: -1}
	var values []float64
	m.decodeOptional(i, "usage", &values)
	if m.err == nil && values != nil && len(values) != len(in.reportNames) {
		m.faultf("usage", "%d values for %d names", len(values), len(in.reportNames))
		return load
	}
	for j, value := range values {
		load.Reported = true
		switch in.reportNames[j] {
		case "cpu":
			load.CPUUtilization = value
		case "active":
			load.InFlight = value
		case "waiting":
			load.WaitingForMemory = value
		case "x0":
			load.MemoryUtilization = value
		case "x1":
			load.DiskUtilization = value
		}
	}
	return load
}
