package simwire

import (
	"time"

	"gannetspur/internal/config"
	"gannetspur/policy"
)

// resultOfCode maps the protocol's result codes to the policy's results. Any other code means
// ResultUnknown: the attempt may have run.
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

// Bits of a REQ message's field "bits".
const (
	bitWorkEstimated = 1 // the message has an estimate of the work
	bitRetry         = 2 // the client marked the request as a retry
)

// The "note" of a complete response holds the work and the memory in one number:
// note = work in milliseconds * noteWorkFactor + memory in MB / noteMemoryUnitMB.
const (
	noteWorkFactor   = 4096
	noteMemoryUnitMB = 4
)

// Kinds of progress in an INTERIM message's field "sort". An interimWaiting message has the reason for
// the wait in its field "value": waitingForDataLoad, or anything else for memory.
const (
	interimProgress    = 1
	interimSpilled     = 2
	interimWaiting     = 3
	waitingForDataLoad = 2
)

// decodeEvent converts a message to an event, or to nil if the policy does not use the message. The
// event is valid only if m.err is nil.
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
	m.errorf("message", "unknown name")
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
		m.errorf("mode", "unknown mode %q", mode)
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
	query.ClientRetry = bits&bitRetry != 0
	return query
}

// decodeTenant reads the tenant's name. A missing value and the number 0 mean no tenant.
func decodeTenant(m *message) (tenant string) {
	const accountIndex = 8
	if m.has(accountIndex) && string(m.values[accountIndex]) != "0" {
		m.decode(accountIndex, "account", &tenant)
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
	end.Work = time.Duration(note/noteWorkFactor) * time.Millisecond
	end.MemoryMB = float64(note%noteWorkFactor) * noteMemoryUnitMB
	end.Load = in.decodeLoad(m, 8)
	return end
}

func decodeProgress(m *message) policy.Event {
	progress := policy.AttemptProgress{
		Query:   m.id("xid"),
		Attempt: int(m.integer(2, "attempt")),
		Value:   m.float(5, "value"),
	}
	kind := m.integer(4, "sort")
	switch {
	case kind == interimProgress:
		progress.Kind = policy.ProgressFraction
	case kind == interimSpilled:
		progress.Kind = policy.ProgressSpilled
	case kind == interimWaiting && progress.Value == waitingForDataLoad:
		progress.Kind = policy.ProgressWaitingForDataLoad
	case kind == interimWaiting:
		progress.Kind = policy.ProgressWaitingForMemory
	default:
		m.errorf("sort", "unknown sort %d", kind)
	}
	return progress
}

// decodeLoad reads a load report from value i: an array with one number for each of the names in the
// instance's settings, in their order. Fields that are not reported are -1.
func (in *instance) decodeLoad(m *message, i int) policy.LoadReport {
	load := policy.LoadReport{CPUUtilization: -1, InFlight: -1, WaitingForMemory: -1, MemoryUtilization: -1, DiskUtilization: -1}
	var values []float64
	m.decodeOptional(i, "usage", &values)
	if m.err == nil && values != nil && len(values) != len(in.reportNames) {
		m.errorf("usage", "%d values for %d names", len(values), len(in.reportNames))
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
