package gateway

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/transactions"
)

// answer reads messages up to ReadyForQuery. It returns their types, with the tag of a CommandComplete, the SQLSTATE
// of an error and the transaction status.
func (c *rawClient) answer() string {
	c.t.Helper()
	var all []string
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c.in, head); err != nil {
			return strings.Join(append(all, "end"), " ")
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c.in, body); err != nil {
			return strings.Join(append(all, "end"), " ")
		}
		reader := pgproto.Reader{Rest: body}
		switch kind := head[0]; kind {
		case pgproto.MessageReadyForQuery:
			return strings.Join(append(all, fmt.Sprintf("Z(%c)", reader.Byte())), " ")
		case pgproto.MessageCommandComplete:
			all = append(all, fmt.Sprintf("C(%s)", reader.CString()))
		case pgproto.MessageErrorResponse:
			e, err := pgproto.ReadError(body)
			if err != nil {
				c.t.Fatal(err)
			}
			all = append(all, fmt.Sprintf("E(%s)", e.Code))
		case pgproto.MessageDataRow, pgproto.MessageRowDescription: // the emulated engine answers writes with rows
		default:
			all = append(all, string(kind))
		}
	}
}

// write returns the text of a write with a mark.
func write(mark string) string { return "UPDATE stock_3.parts SET tag = '" + mark + "'" }

// exchange is a message and the answer to it.
type exchange struct {
	message []byte
	want    string
}

// TestUpgradeNewProcessDiesInTransactions guards against a transaction that runs twice, or whose client hears the
// answers of other messages, because the new process of an upgrade dies: each client is in another state of a
// transaction at that moment.
func TestUpgradeNewProcessDiesInTransactions(t *testing.T) {
	const committed = "C(SELECT 2) Z(T)"
	begin := exchange{transactions.Simple("BEGIN"), "C(BEGIN) Z(T)"}
	cases := map[string]struct {
		before   []exchange // answered by the new process
		inFlight []byte     // held at an engine while the new process dies; nil if nothing is in flight
		held     string     // mark of the statement in flight that is held
		after    []exchange // answered by the old process; the first message is nil if it is inFlight
		commits  []string   // writes that are committed once in the end; all others never are
	}{
		"between statements": {
			before: []exchange{begin, {transactions.Simple(write("w-1-1")), committed}},
			after:  []exchange{{transactions.Simple(write("w-1-2")), "E(40000) Z(E)"}, {transactions.Simple(write("w-1-3")), "E(25P02) Z(E)"}, {transactions.Simple("COMMIT"), "C(ROLLBACK) Z(I)"}},
		},
		"before commit":   {before: []exchange{begin, {transactions.Simple(write("w-2-1")), committed}}, after: []exchange{{transactions.Simple("COMMIT"), "E(40000) Z(I)"}}},
		"before rollback": {before: []exchange{begin, {transactions.Simple(write("w-3-1")), committed}}, after: []exchange{{transactions.Simple("ROLLBACK"), "C(ROLLBACK) Z(I)"}}},
		"before the first statement": {
			before:  []exchange{begin},
			after:   []exchange{{transactions.Simple(write("w-4-1")), committed}, {transactions.Simple("COMMIT"), "C(COMMIT) Z(I)"}},
			commits: []string{write("w-4-1")},
		},
		"in the first statement": {
			before: []exchange{begin}, inFlight: transactions.Simple(write("w-5-1")), held: "w-5-1",
			after: []exchange{{nil, "E(40000) Z(E)"}, {transactions.Simple("COMMIT"), "C(ROLLBACK) Z(I)"}},
		},
		"in a later statement": {
			before: []exchange{begin, {transactions.Simple(write("w-6-1")), committed}}, inFlight: transactions.Simple(write("w-6-2")), held: "w-6-2",
			after: []exchange{{nil, "E(40000) Z(E)"}, {transactions.Simple("ROLLBACK"), "C(ROLLBACK) Z(I)"}},
		},
		"in commit": {
			before: []exchange{begin, {transactions.Simple(write("w-7-1")), committed}}, inFlight: transactions.Simple("COMMIT /* w-7-2 */"), held: "w-7-2",
			after: []exchange{{nil, "E(40003) Z(I)"}}, commits: []string{write("w-7-1")},
		},
		"in rollback": {
			before: []exchange{begin, {transactions.Simple(write("w-8-1")), committed}}, inFlight: transactions.Simple("ROLLBACK /* w-8-2 */"), held: "w-8-2",
			after: []exchange{{nil, "C(ROLLBACK) Z(I)"}},
		},
		"in rollback to a savepoint": {
			before:   []exchange{begin, {transactions.Simple("SAVEPOINT a"), "C(SAVEPOINT) Z(T)"}, {transactions.Simple(write("w-9-1")), committed}},
			inFlight: transactions.Simple("ROLLBACK /* w-9-2 */ TO a"), held: "w-9-2",
			after: []exchange{{nil, "E(40000) Z(E)"}, {transactions.Simple("COMMIT"), "C(ROLLBACK) Z(I)"}},
		},
		"after a failed statement": {
			before: []exchange{begin, {transactions.Simple("UPDATE stock_3.parts SET tag = 1/0"), "E(22012) Z(E)"}},
			after:  []exchange{{transactions.Simple(write("w-10-1")), "E(25P02) Z(E)"}, {transactions.Simple("COMMIT"), "C(ROLLBACK) Z(I)"}},
		},
		"in a pipeline of simple queries": {
			before: []exchange{begin}, inFlight: slices.Concat(transactions.Simple(write("w-11-1")), transactions.Simple("COMMIT"), transactions.Simple("BEGIN")), held: "w-11-1",
			after: []exchange{{nil, "E(40000) Z(E)"}, {nil, "C(ROLLBACK) Z(I)"}, {nil, "C(BEGIN) Z(T)"}},
		},
		"in commit of a pipeline": {
			before: []exchange{begin, {transactions.Simple(write("w-12-1")), committed}}, inFlight: slices.Concat(transactions.Simple("COMMIT /* w-12-2 */"), transactions.Simple("BEGIN")), held: "w-12-2",
			after: []exchange{{nil, "E(40003) Z(I)"}, {nil, "C(BEGIN) Z(T)"}}, commits: []string{write("w-12-1")},
		},
		"in an extended batch": {
			inFlight: transactions.Extended("BEGIN", write("w-13-1"), "COMMIT"), held: "w-13-1",
			after: []exchange{{nil, "1 2 n C(BEGIN) 1 2 E(40000) Z(E)"}, {transactions.Simple("ROLLBACK"), "C(ROLLBACK) Z(I)"}},
		},
		"in commit of an extended batch": {
			inFlight: transactions.Extended("BEGIN", write("w-14-1"), "COMMIT /* w-14-2 */"), held: "w-14-2",
			after:   []exchange{{nil, "1 2 n C(BEGIN) 1 2 C(SELECT 2) 1 2 n E(40003) Z(I)"}},
			commits: []string{write("w-14-1")},
		},
		"between extended batches": {
			before: []exchange{{transactions.Extended("BEGIN", write("w-15-1")), "1 2 n C(BEGIN) 1 2 C(SELECT 2) Z(T)"}},
			after:  []exchange{{transactions.Extended("COMMIT"), "1 2 n E(40000) Z(I)"}},
		},
		"in several statements": {
			inFlight: transactions.Simple(write("w-16-1") + ";" + write("w-16-2")), held: "w-16-2", after: []exchange{{nil, "E(40003) Z(I)"}},
		},
		"in several statements with commit": {
			inFlight: transactions.Simple("BEGIN;" + write("w-17-1") + ";COMMIT /* w-17-2 */"), held: "w-17-2", after: []exchange{{nil, "E(40003) Z(I)"}},
			commits: []string{write("w-17-1")},
		},
		"in several statements that begin": {
			inFlight: transactions.Simple("BEGIN;" + write("w-18-1") + ";" + write("w-18-2")), held: "w-18-2", after: []exchange{{nil, "E(40000) Z(I)"}},
		},
		"in several statements that commit": {
			before: []exchange{begin, {transactions.Simple(write("w-19-1")), committed}}, inFlight: transactions.Simple(write("w-19-2") + ";COMMIT /* w-19-3 */"), held: "w-19-3",
			after: []exchange{{nil, "E(40003) Z(I)"}}, commits: []string{write("w-19-1"), write("w-19-2")},
		},
		"in several statements of a transaction": {
			before: []exchange{begin, {transactions.Simple(write("w-20-1")), committed}}, inFlight: transactions.Simple(write("w-20-2") + ";" + write("w-20-3")), held: "w-20-3",
			after: []exchange{{nil, "E(40000) Z(E)"}, {transactions.Simple("COMMIT"), "C(ROLLBACK) Z(I)"}},
		},
	}
	g := newTestGateway(t)
	clients := map[string]*rawClient{}
	for name := range cases {
		clients[name] = g.newRawClient()
		clients[name].answer()
	}
	pid, result := g.startProbation()
	for name, tt := range cases {
		for _, e := range tt.before {
			clients[name].send(e.message)
			if got := clients[name].answer(); got != e.want {
				t.Fatalf("%s: before the death: got %s, want %s", name, got, e.want)
			}
		}
	}
	holds := int64(0)
	for name, tt := range cases {
		if tt.inFlight == nil {
			continue
		}
		g.hold(tt.held)
		holds++
		clients[name].send(tt.inFlight)
		g.awaitWaiting(holds)
	}
	_ = syscall.Kill(pid, syscall.SIGKILL)
	if r := <-result; r.Problem != "it died" {
		t.Errorf("upgrade problem = %q, want \"it died\"", r.Problem)
	}
	for name, tt := range cases {
		for _, e := range tt.after {
			clients[name].send(e.message)
			if got := clients[name].answer(); got != e.want {
				t.Errorf("%s: after the death: got %s, want %s", name, got, e.want)
			}
		}
	}
	for _, c := range g.held {
		close(c)
	}
	committedOnce := map[string]bool{}
	for name, tt := range cases {
		for _, text := range tt.commits {
			g.awaitCommit(name, text)
			committedOnce[text] = true
		}
	}
	g.checkWrites(committedOnce)
}

// awaitWaiting waits until n statements have waited for held marks.
func (g *testGateway) awaitWaiting(n int64) {
	g.t.Helper()
	for range 500 {
		if g.waiting.Load() >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("%d statements waited, want %d", g.waiting.Load(), n)
}

// awaitCommit waits until a write is committed.
func (g *testGateway) awaitCommit(name, text string) {
	g.t.Helper()
	for range 500 {
		if g.store.Count(text) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Errorf("%s: %s was not committed", name, text)
}

// checkWrites checks that no write ran twice, that the given ones were committed once, and that no other one was.
func (g *testGateway) checkWrites(committedOnce map[string]bool) {
	g.t.Helper()
	runs := map[string]int{}
	for _, r := range g.ledger.Runs() {
		if strings.HasPrefix(r.Mark, "w-") {
			runs[r.Mark]++
		}
	}
	for mark, n := range runs {
		if n != 1 {
			g.t.Errorf("write %s ran %d times, want once", mark, n)
		}
		want := 0
		if committedOnce[write(mark)] {
			want = 1
		}
		if n := g.store.Count(write(mark)); n != want {
			g.t.Errorf("write %s was committed %d times, want %d", mark, n, want)
		}
	}
}

// TestUpgradeNewProcessDiesBehindManyMessages guards against a statement that runs twice because the old process
// forgets that the dead one had sent it: messages without an answer stand before it, which take more than one turn of
// the loop.
func TestUpgradeNewProcessDiesBehindManyMessages(t *testing.T) {
	const flushes = 100 // a turn handles 32 of them
	g := newTestGateway(t)
	c := g.newRawClient()
	c.answer()
	pid, _ := g.startProbation()
	g.hold("w-1-1")
	flush := pgproto.AppendMessage(nil, 'H')
	c.send(bytes.Repeat(flush, flushes), pgproto.AppendMessage(nil, 'Q', pgproto.CString(write("w-1-1"))))
	g.awaitRuns("w-1-1", 1)
	g.kill(pid)
	close(g.held["w-1-1"])
	if got, want := c.answer(), "E(40003) Z(I)"; got != want {
		t.Errorf("answer = %q, want %q", got, want)
	}
	g.awaitRuns("w-1-1", 1)
}
