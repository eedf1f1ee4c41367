package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"gannetspur/internal/config"
	"gannetspur/policy"
)

type duration = time.Duration

// The wire tells time in fractional milliseconds, exact to the microsecond.
func fromMS(ms float64) duration { return config.FromMS(ms) }

func toMS(d duration) float64 { return float64(d) / float64(time.Millisecond) }

var results = map[int64]policy.Result{
	200: policy.ResultSuccess, 502: policy.ResultError, 429: policy.ResultRejected, 408: policy.ResultTimeout,
	521: policy.ResultConnectFailed, 520: policy.ResultConnectionLost, 444: policy.ResultCancelled, 409: policy.ResultNotSent,
}

// decode turns one message into an event; nil for one that the module has no use for.
func (h *Host) decode(in *instance, f *fields) policy.Event {
	switch f.name {
	case "PEERS_KNOWN":
		return h.decodeList(f)
	case "REQ":
		return decodeArrive(f)
	case "SETTLED":
		return decodeOutcome(in, f)
	case "INTERIM":
		return decodeNote(f)
	case "HEAD_RECEIVED":
		return policy.StreamStarted{Query: f.id(1, "xid"), Attempt: int(f.integer(2, "attempt"))}
	case "LAPSED":
		return policy.ClientDisconnected{Query: f.id(1, "xid")}
	case "TICK_DUE":
		return policy.TimerFired{Token: f.id(1, "nonce")}
	case "PROBED":
		return policy.LoadReportReceived{Engine: f.text(1, "engine"), Result: results[f.integer(2, "rc")], Load: in.load(f, 4)}
	case "FROM_PEER":
		return nil
	}
	f.fault("message", "unknown name")
	return nil
}

func (h *Host) decodeList(f *fields) policy.Event {
	var ev policy.EngineList
	switch mode := f.text(1, "mode"); mode {
	case "delta":
		ev.Mode = policy.ListChanges
	case "full":
		ev.Mode = policy.ListFull
	case "cached":
		ev.Mode = policy.ListCached
	case "failed":
		ev.Mode = policy.ListFailed
		return ev
	default:
		f.fault("mode", "unknown mode %q", mode)
		return nil
	}
	n := f.integer(3, "table")
	if f.err == nil && (n < 0 || n >= int64(len(h.tables))) {
		f.fault("table", "%d is not within 0 to %d", n, len(h.tables)-1)
		return nil
	}
	ev.Engines = h.tables[n]
	return ev
}

func decodeArrive(f *fields) policy.Event {
	ev := policy.QueryArrived{Query: f.id(1, "xid"), Class: f.text(6, "profile")}
	var bits int64
	var guess float64
	f.get(2, "order-key", true, &ev.Key)
	f.get(3, "est-memory-mb", true, &ev.MemoryMB)
	f.get(4, "bits", true, &bits)
	f.get(5, "guess-ms", true, &guess)
	ev.Deadline = fromMS(f.float(7, "client-deadline-ms"))
	f.name8(&ev.Tenant)
	f.get(9, "schema-no", true, &ev.DataSet)
	if bits&1 != 0 {
		ev.Work = fromMS(guess)
	}
	ev.Repeat = bits&2 != 0
	return ev
}

// name8 reads the tenant, which is a name, or 0 where there is none.
func (f *fields) name8(tenant *string) {
	if len(f.vals) > 8 && string(f.vals[8]) != "0" {
		f.get(8, "account", true, tenant)
	}
}

func decodeOutcome(in *instance, f *fields) policy.Event {
	ev := policy.AttemptEnded{
		Query: f.id(1, "xid"), Attempt: int(f.integer(2, "attempt")), Result: results[f.integer(4, "rc")],
		Elapsed: fromMS(f.float(5, "rtt-ms")), Final: f.flag(6, "last"),
	}
	var note int64
	f.get(7, "note", true, &note)
	ev.Work = time.Duration(note/4096) * time.Millisecond
	ev.MemoryMB = float64(note%4096) * 4
	ev.Load = in.load(f, 8)
	return ev
}

func decodeNote(f *fields) policy.Event {
	ev := policy.AttemptProgress{Query: f.id(1, "xid"), Attempt: int(f.integer(2, "attempt")), Value: f.float(5, "value")}
	switch sort := f.integer(4, "sort"); {
	case sort == 1:
		ev.Kind = policy.ProgressFraction
	case sort == 2:
		ev.Kind = policy.ProgressSpilled
	case sort == 3 && ev.Value == 2:
		ev.Kind = policy.ProgressWaitingForDataLoad
	case sort == 3:
		ev.Kind = policy.ProgressWaitingForMemory
	default:
		f.fault("sort", "unknown sort %d", sort)
	}
	return ev
}

func (in *instance) load(f *fields, i int) policy.LoadReport {
	l := policy.LoadReport{CPUUtilization: -1, InFlight: -1, WaitingForMemory: -1, MemoryUtilization: -1, DiskUtilization: -1}
	var vals []float64
	f.get(i, "usage", true, &vals)
	if f.err == nil && vals != nil && len(vals) != len(in.reports) {
		f.fault("usage", "%d values for %d names", len(vals), len(in.reports))
		return l
	}
	for j, v := range vals {
		l.Reported = true
		switch in.reports[j] {
		case "cpu":
			l.CPUUtilization = v
		case "active":
			l.InFlight = v
		case "waiting":
			l.WaitingForMemory = v
		case "x0":
			l.MemoryUtilization = v
		case "x1":
			l.DiskUtilization = v
		}
	}
	return l
}

// out is a line being written.
type outLine []byte

func line(b []byte, name string, who int64) outLine {
	b = append(append(append(b, `["`...), name...), `",`...)
	return strconv.AppendInt(b, who, 10)
}

func (l outLine) id(v uint64) outLine { return strconv.AppendUint(append(l, ','), v, 10) }

func (l outLine) num(v int64) outLine { return strconv.AppendInt(append(l, ','), v, 10) }

func (l outLine) float(v float64) outLine { return strconv.AppendFloat(append(l, ','), v, 'f', -1, 64) }

func (l outLine) str(s string) outLine {
	b, err := json.Marshal(s)
	if err != nil { // a string always encodes
		panic(err)
	}
	return append(append(l, ','), b...)
}

func (l outLine) end() []byte { return append(l, "]\n"...) }

func encode(b []byte, who int64, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.Send:
		return line(b, "FORWARD", who).id(a.Query).str(a.Engine).float(toMS(a.Timeout)).end()
	case policy.Grant:
		return line(b, "ALLOT", who).id(a.Query).float(a.MemoryMB).num(int64(a.Priority)).end()
	case policy.Cancel:
		return line(b, "ABORT_ATTEMPT", who).id(a.Query).num(int64(a.Attempt)).end()
	case policy.RequestLoadReport:
		return line(b, "ASK_LOAD", who).str(a.Engine).end()
	case policy.Reject:
		return line(b, "SAY_NO", who).id(a.Query).float(toMS(a.RetryAfter)).end()
	case policy.Fail:
		return line(b, "DROP_REQUEST", who).id(a.Query).end()
	case policy.SetTimer:
		return line(b, "SLEEP", who).float(toMS(a.After)).id(a.Token).end()
	case policy.Subscribe:
		return append(line(b, "LISTEN", who), ",true]\n"...)
	case policy.Log:
		return line(b, "SAY_LOG", who).str(a.Text).end()
	}
	panic(fmt.Sprintf("wire: no line for action %T", a))
}
