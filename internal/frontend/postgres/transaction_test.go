package postgres

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/pgproto"
)

// TestTransactionEnds ends transactions in ways that the seeded streams of TestReplay don't reach. It guards against
// a client that is not told, or told something else than 40000, when its transaction was lost between statements.
func TestTransactionEnds(t *testing.T) {
	const shortTimeout = 300 * time.Millisecond
	type step struct {
		query       string                // Query to send; empty to send none
		beforeQuery func(r *replayClient) // runs on the loop before the query is sent; may be nil
		want        string                // summary of all messages up to ReadyForQuery or the connection's end
	}
	begin := step{query: "begin", want: "C(BEGIN) Z(T)"}
	update := step{query: "update t set a = 1", want: "C(UPDATE) Z(T)"}
	lose := func(r *replayClient) { r.backend.loseLatest() }
	drain := func(r *replayClient) { r.frontend.Drain() }
	recoverRequest := func(orphan core.Orphan) func(r *replayClient) {
		return func(r *replayClient) {
			for _, c := range r.frontend.connections {
				c.RecoverRequest(orphan)
			}
		}
	}
	for name, test := range map[string]struct {
		opts  Options
		steps []step
	}{
		"engine lost between statements": {steps: []step{
			begin, update,
			{beforeQuery: lose, query: "update t set a = 2", want: "E(40000) Z(E)"},
			{query: "update t set a = 3", want: "E(25P02) Z(E)"},
			{query: "savepoint a", want: "E(25P02) Z(E)"},
			{query: "rollback to a", want: "E(25P02) Z(E)"},
			{query: "commit", want: "C(ROLLBACK) Z(I)"},
		}},
		"engine lost before commit": {steps: []step{
			begin, update,
			{beforeQuery: lose, query: "commit", want: "E(40000) Z(I)"},
			{query: "commit", want: "N C(COMMIT) Z(I)"},
		}},
		"engine lost before rollback": {steps: []step{
			begin, update,
			{beforeQuery: lose, query: "rollback", want: "C(ROLLBACK) Z(I)"},
		}},
		"engine lost before savepoint": {steps: []step{
			begin, update,
			{beforeQuery: lose, query: "savepoint a", want: "E(40000) Z(E)"},
			{query: "commit", want: "C(ROLLBACK) Z(I)"},
		}},
		"engine lost before several statements": {steps: []step{
			begin, update,
			{beforeQuery: lose, query: "commit; begin; update t set a = 2", want: "E(40000) Z(I)"},
		}},
		"partly answered by a process that died": {steps: []step{
			{beforeQuery: recoverRequest(core.Orphan{PartlyAnswered: true}), query: "select 1", want: "E(57P01) end"},
		}},
		"sent and partly answered by a process that died": {steps: []step{
			{beforeQuery: recoverRequest(core.Orphan{PartlyAnswered: true, MustFail: true}), query: "select 1", want: "E(40003) end"},
		}},
		"engine lost within a statement": {steps: []step{
			begin, update,
			{query: "update t set lose = 1", want: "E(40000) Z(E)"},
			{query: "rollback", want: "C(ROLLBACK) Z(I)"},
		}},
		"engine lost at commit": {steps: []step{
			begin, update,
			{query: "commit /* lose */", want: "E(40003) Z(I)"},
		}},
		"engine lost at rollback": {steps: []step{
			begin, update,
			{query: "rollback /* lose */", want: "C(ROLLBACK) Z(I)"},
		}},
		"commit rejected by the engine": {steps: []step{
			begin, update,
			{query: "commit /* fail */", want: "E(22012) Z(I)"},
		}},
		"drained while open": {steps: []step{
			begin, update,
			{beforeQuery: drain, query: "commit", want: "C(COMMIT) Z(I)"},
			{want: "E(57P01) end"},
		}},
		"drained while idle": {steps: []step{{beforeQuery: drain, want: "E(57P01) end"}}},
		"engine lost while draining": {steps: []step{
			begin, update,
			{beforeQuery: func(r *replayClient) { drain(r); lose(r) }, want: "E(57P01) end"},
		}},
		"idle for too long": {opts: Options{IdleTransactionTimeout: shortTimeout}, steps: []step{
			begin, update,
			{want: "E(25P03) end"},
		}},
		"open for too long": {opts: Options{TransactionTimeout: shortTimeout}, steps: []step{
			begin,
			{want: "E(25P04) end"},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			opts := test.opts
			opts.DefaultClass, opts.WriteClass = "lookup", "write"
			r := startScripted(t, opts, metrics.New())
			t.Cleanup(r.stop)
			r.connectAs("app")
			for i, s := range test.steps {
				if s.beforeQuery != nil {
					r.loop.Post(func() { s.beforeQuery(r) })
				}
				if s.query != "" {
					r.write(pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(s.query)))
				}
				if got := r.readSummary(); got != s.want {
					t.Fatalf("step %d, %q: got %s, want %s", i, s.query, got, s.want)
				}
			}
			r.disconnect()
		})
	}
}

// readSummary reads up to ReadyForQuery or the connection's end, and returns the message types. It adds
// the command tag of a completion, the SQLSTATE of an error and the transaction status.
func (r *replayClient) readSummary() string {
	var summary []string
	for {
		kind, body, ok := r.readMessage()
		reader := pgproto.Reader{Rest: body}
		switch {
		case !ok:
			return strings.Join(append(summary, "end"), " ")
		case kind == pgproto.MessageCommandComplete:
			summary = append(summary, fmt.Sprintf("C(%s)", reader.CString()))
		case kind == pgproto.MessageErrorResponse:
			e, err := pgproto.ReadError(body)
			if err != nil {
				r.t.Fatal(err)
			}
			summary = append(summary, fmt.Sprintf("E(%s)", e.Code))
		case kind == pgproto.MessageReadyForQuery:
			return strings.Join(append(summary, fmt.Sprintf("Z(%c)", reader.Byte())), " ")
		default:
			summary = append(summary, string(kind))
		}
	}
}
