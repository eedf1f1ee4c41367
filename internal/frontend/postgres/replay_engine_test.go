package postgres

import (
	"fmt"
	"hash/fnv"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
)

// replayBackend is a backend whose engine answers by the text of a statement.
type replayBackend struct {
	core       *core.Core
	loop       *netio.Loop
	transcript strings.Builder
	hanging    chan bool
	latest     *core.Attempt
}

// loseLatest breaks the connection of the attempt that was served last. Call on the loop.
func (b *replayBackend) loseLatest() {
	b.core.EndAttempt(b.latest, core.OutcomeConnectionReset, core.Report{})
}

func (b *replayBackend) Send(a *core.Attempt) {
	b.loop.Post(func() {
		switch {
		case a.Ended():
		case !b.core.BeginWrite(a):
			b.core.EndAttempt(a, core.OutcomeNotSent, core.Report{})
		default:
			b.record(a, "first true")
			b.serve(a)
		}
	})
}

func (b *replayBackend) Continue(a *core.Attempt) {
	b.loop.Post(func() {
		if !a.Ended() {
			b.record(a, "first false")
			b.serve(a)
		}
	})
}

func (b *replayBackend) SetPriority(*core.Attempt, int) {}
func (b *replayBackend) UpdateEngine(core.Engine)       {}

func (b *replayBackend) Cancel(a *core.Attempt) bool {
	fmt.Fprintf(&b.transcript, "cancel %s\n", a.Request.ID)
	return true
}

// record writes down a statement as it came to the engine.
func (b *replayBackend) record(a *core.Attempt, position string) {
	r := a.Request
	s := r.Statement.(*pgproto.Statement)
	fmt.Fprintf(&b.transcript, "%s class %s keys %q %q data set %d %s streaming %t ",
		r.ID, r.Class, r.IdempotencyKey, r.SerialKey, r.DataSet, position, r.Streaming)
	fmt.Fprintf(&b.transcript, "query %q types %x bind %x describe %t ", s.Query, s.ParameterTypes, s.Bind, s.DescribeOnly)
	fmt.Fprintf(&b.transcript, "begin %q ends %t sets %q taints %t user %q settings",
		s.BeginQuery, s.EndsTransaction, s.ChangedSetting, s.TaintsSession, s.User)
	for _, set := range s.Settings {
		fmt.Fprintf(&b.transcript, " %s: %q", set.Name, set.Text)
	}
	b.transcript.WriteString("\n")
}

func (b *replayBackend) serve(a *core.Attempt) {
	b.latest = a
	r := a.Request
	s := r.Statement.(*pgproto.Statement)
	goesOn := r.Streaming && !s.EndsTransaction
	runs := func(what string) bool { return strings.Contains(s.Query, what) && !s.DescribeOnly }
	switch {
	case runs("hang"):
		b.hanging <- true
	case runs("lose"):
		b.core.EndAttempt(a, core.OutcomeConnectionReset, core.Report{})
	case strings.Contains(s.Query, "fail") && goesOn:
		b.core.RelayPart(a, core.Report{EngineError: replayError()})
	case strings.Contains(s.Query, "fail"):
		b.core.EndAttempt(a, core.OutcomeStatementRejected, core.Report{EngineError: replayError()})
	case goesOn:
		b.core.RelayPart(a, core.Report{Result: replayResult(s)})
	default:
		b.core.EndAttempt(a, core.OutcomeServed, core.Report{Result: replayResult(s)})
	}
}

func replayError() error {
	e, err := pgproto.ReadError([]byte("SERROR\x00C22012\x00Mdivision by zero\x00\x00"))
	if err != nil {
		panic(err)
	}
	return e
}

func replayResult(s *pgproto.Statement) *pgproto.Result {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Query))
	sum := int(h.Sum32())
	fields := append([]byte{0, 1, 'c', 0}, make([]byte, 18)...)
	parameters := strings.Count(s.Query, "$")
	types := pgproto.Int32(parameters)[2:]
	for range parameters {
		types = append(types, pgproto.Int32(23)...)
	}
	lower := strings.ToLower(s.Query)
	selects := strings.Contains(lower, "select") || strings.HasPrefix(lower, "fetch")
	switch {
	case s.DescribeOnly && selects:
		return &pgproto.Result{ParameterDescription: types, RowDescription: fields}
	case s.DescribeOnly:
		return &pgproto.Result{ParameterDescription: types}
	case s.ChangedSetting != "":
		status := pgproto.AppendMessage(nil, pgproto.MessageParameterStatus, pgproto.CString(s.ChangedSetting), pgproto.CString("value"))
		return &pgproto.Result{Tag: "SET", ParameterStatus: status}
	case selects:
		res := &pgproto.Result{RowDescription: fields, RowCount: sum % 5}
		for n := range res.RowCount {
			res.Rows = pgproto.AppendMessage(res.Rows, pgproto.MessageDataRow, []byte{0, 1}, pgproto.Int32(9), fmt.Appendf(nil, "row %5d", n))
		}
		res.Tag = fmt.Sprintf("SELECT %d", res.RowCount)
		return res
	}
	verb, _, _ := strings.Cut(strings.ToUpper(s.Query), " ")
	return &pgproto.Result{Tag: verb}
}
