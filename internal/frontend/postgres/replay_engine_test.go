package postgres

import (
	"fmt"
	"hash/fnv"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
)

// replayBackend is a backend with a scripted engine, whose answer depends only on the text of a
// statement. It records all statements in a transcript.
type replayBackend struct {
	core       *core.Core
	loop       *netio.Loop
	transcript strings.Builder
	hanging    chan bool     // receives a value for each statement that gets no answer
	latest     *core.Attempt // attempt that was served last
}

// loseLatest ends the attempt that was served last as if its engine connection were reset. It must be
// called on the loop.
func (b *replayBackend) loseLatest() {
	b.core.EndAttempt(b.latest, core.OutcomeConnectionReset, core.Report{})
}

// Send records and serves the first statement of an attempt.
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

// Continue records and serves a further statement of a transaction.
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

// Cancel records that an attempt is canceled.
func (b *replayBackend) Cancel(a *core.Attempt) bool {
	fmt.Fprintf(&b.transcript, "cancel %s\n", a.Request.ID)
	return true
}

// record appends a statement to the transcript as the engine received it.
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

// serve answers a statement. One whose text contains "hang" gets no answer, "lose" resets the engine
// connection, and "fail" gives an error.
func (b *replayBackend) serve(a *core.Attempt) {
	b.latest = a
	r := a.Request
	s := r.Statement.(*pgproto.Statement)
	staysOpen := r.Streaming && !s.EndsTransaction
	runsQueryWith := func(word string) bool { return strings.Contains(s.Query, word) && !s.DescribeOnly }
	switch {
	case runsQueryWith("hang"):
		b.hanging <- true
	case runsQueryWith("lose"):
		b.core.EndAttempt(a, core.OutcomeConnectionReset, core.Report{})
	case strings.Contains(s.Query, "fail") && staysOpen:
		b.core.RelayPart(a, core.Report{EngineError: replayError()})
	case strings.Contains(s.Query, "fail"):
		b.core.EndAttempt(a, core.OutcomeStatementRejected, core.Report{EngineError: replayError()})
	case staysOpen:
		b.core.RelayPart(a, core.Report{Result: replayResult(s)})
	default:
		b.core.EndAttempt(a, core.OutcomeServed, core.Report{Result: replayResult(s)})
	}
}

// replayError returns the error that the scripted engine answers.
func replayError() error {
	e, err := pgproto.ReadError([]byte("SERROR\x00C22012\x00Mdivision by zero\x00\x00"))
	if err != nil {
		panic(err)
	}
	return e
}

// replayResult returns the result of a statement. The number of rows is derived from a hash of the
// text, so that it is the same in each run.
func replayResult(s *pgproto.Statement) *pgproto.Result {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Query))
	hash := int(h.Sum32())
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
		res := &pgproto.Result{RowDescription: fields, RowCount: hash % 5}
		for n := range res.RowCount {
			res.Rows = pgproto.AppendMessage(res.Rows, pgproto.MessageDataRow, []byte{0, 1}, pgproto.Int32(9), fmt.Appendf(nil, "row %5d", n))
		}
		res.Tag = fmt.Sprintf("SELECT %d", res.RowCount)
		return res
	}
	verb, _, _ := strings.Cut(strings.ToUpper(s.Query), " ")
	return &pgproto.Result{Tag: verb}
}
