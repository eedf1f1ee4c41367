package postgres

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

const (
	replaySeeds   = 60
	replayBatches = 60
	replayTimeout = 20 * time.Second
)

// TestReplay sends seeded streams of messages to a frontend whose engine is scripted, and compares
// digests of all that came back to the client and all that went to the engine with those that
// version c18a9bd gave.
func TestReplay(t *testing.T) {
	stored, err := os.ReadFile("testdata/replay.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(stored)), "\n")
	var got []string
	for seed := range uint64(replaySeeds) {
		client, engine := replay(t, seed)
		got = append(got, fmt.Sprintf("%d client %x engine %x", seed, sha256.Sum256(client), sha256.Sum256([]byte(engine))))
	}
	if len(want) != len(got) {
		t.Fatalf("%d digests stored, want %d", len(want), len(got))
	}
	for seed := range got {
		if got[seed] != want[seed] {
			t.Errorf("digests of a seed:\n got %s\nwant %s", got[seed], want[seed])
		}
	}
}

// replay runs one stream. It returns what the client read, and a transcript of the engine.
func replay(t *testing.T, seed uint64) (client []byte, engine string) {
	t.Helper()
	counters := metrics.New()
	r := startScripted(t, replayOptions(seed), counters)
	r.random = rand.New(rand.NewPCG(seed, 7))
	r.run()
	r.stop()
	sums := fmt.Sprintf("errors %d all %d\n", counters.Sum("pgwire.errors."), counters.Sum("pgwire."))
	return r.read, r.backend.transcript.String() + sums
}

// startScripted starts a frontend whose engine is scripted.
func startScripted(t *testing.T, opts Options, counters *metrics.Counters) *replayClient {
	t.Helper()
	c, loop := newTestCore(t, counters)
	backend := &replayBackend{core: c, loop: loop, hanging: make(chan bool, 1)}
	c.SetBackend(backend)
	f := New(loop, c, opts, counters)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	loop.Post(func() {
		c.UpdateEndpoints(policy.ListChanges, []core.Engine{{
			Addr: "127.0.0.1:1", Engine: policy.Engine{ID: "e1", Zone: "hall-a", Kind: "std-8", State: policy.EngineLive},
		}})
	})
	stop := func() {
		loop.Post(loop.Stop)
		<-done
	}
	return &replayClient{t: t, loop: loop, front: f, backend: backend, stop: stop}
}

func replayOptions(seed uint64) Options {
	o := Options{
		DefaultClass: "lookup", WriteClass: "write",
		Rules: []Rule{{Starts: "insert into", Class: "load", Key: 1}, {Starts: "select quiet", Class: "report", ReadOnly: true}},
	}
	switch seed % 4 {
	case 1:
		o.WriteClass = ""
	case 2:
		o.MaxHeldBytes = 20 // bytes: some portals keep too much
	case 3:
		o.Rules = nil
	}
	return o
}

// replayClient sends batches of messages and reads all that comes back.
type replayClient struct {
	t       *testing.T
	loop    *netio.Loop
	front   *Frontend
	backend *replayBackend
	stop    func() // ends the loop
	random  *rand.Rand
	conn    net.Conn
	cancel  []byte // body of a CancelRequest
	read    []byte
	lost    bool // the one connection to an engine that is lost
}

var replayQueries = []string{
	"", " ; ", "select 1 from t", "select a from b where c = $1", "select a, b from t /* both */", "select quiet()", "select loud()",
	"insert into t values ($1)", "insert into t values ($1, $2)", "/* class=report */ select 2 from u", "/* class=nosuch */ select 1",
	"/* key=$0 */ select 1", "/* class=load key=$1 */ insert into x values ($1)", "/* class=load */ update x set a = $1",
	"update t set a = 1", "delete from t where a = $1", "/* class=write */ update t set a = $1",
	"begin", "BEGIN READ ONLY", "start transaction", "commit", "end", "rollback", "abort", "commit;", "begin", "commit", "rollback",
	"savepoint a", "rollback to a", "rollback to savepoint a", "release a", "commit and chain", "rollback and no chain", "commit prepared 'x'",
	"set application_name = 'x'", "set session search_path to a, b", "set local x = 1", "set time zone 'UTC'", "set role x", "set a.b = 3",
	"set application_name to default", "set statement_timeout = '5s'", "SET statement_timeout TO 5 weeks", "set fail = 1",
	"reset all", "reset application_name", "reset statement_timeout", "reset", "reset a b", "discard all", "discard", "discard temp",
	"copy t from stdin", "listen x", "declare c cursor for select 1", "declare c cursor with hold for select 1",
	"declare c cursor without hold for select 1", "fetch 1 from c", "close c", "lock t", "set local x = 2", "set transaction read only",
	"select fail()", "update t set fail = 1", "insert into t values ('fail')", "select set_config('a', 'b', false)",
	"select 1; select 2", "begin; select 1; commit", "select 1; begin", "update t set a = 1; update t set fail = 1; select 3",
	"update t set b = 2; select 3 from t", "savepoint a; select 1", "begin; update t set a = 1; select fail; rollback",
	"begin; update t set a = 1", "select 4; rollback; select 5", "rollback; begin; select 6", "select 1; copy t from stdin",
	"select 7; set a = 1", "/* unclosed", "select 'unclosed",
}

func (r *replayClient) query() string { return replayQueries[r.random.IntN(len(replayQueries))] }

func (r *replayClient) pick(names ...string) string { return names[r.random.IntN(len(names))] }

func (r *replayClient) run() {
	for range 4 { // connections: a fatal error ends one
		if !r.connect() {
			r.disconnect()
			continue
		}
		for range replayBatches {
			batch, hangs := r.batch()
			if _, err := r.conn.Write(batch); err != nil {
				break
			}
			over := make(chan bool)
			var cancelling sync.WaitGroup
			if hangs {
				cancelling.Go(func() { r.cancelOnceHanging(over) })
			}
			ready := r.readReady()
			close(over)
			cancelling.Wait()
			if !ready {
				break
			}
		}
		_, _ = r.conn.Write(pgproto.AppendMessage(nil, pgproto.MessageTerminate))
		r.readReady()
		r.disconnect()
	}
}

func (r *replayClient) dial() {
	var err error
	if r.conn, err = net.Dial("tcp", r.front.Addr()); err != nil {
		r.t.Fatal(err)
	}
	_ = r.conn.SetDeadline(time.Now().Add(replayTimeout))
}

// connectAs starts a session without ado.
func (r *replayClient) connectAs(user string) {
	r.t.Helper()
	r.dial()
	body := slices.Concat(pgproto.CString("user"), pgproto.CString(user), []byte{0})
	r.write(pgproto.AppendStartup(nil, pgproto.Version, body))
	if !r.readReady() {
		r.t.Fatal("the connection has ended before ReadyForQuery")
	}
}

// connect starts a session with seeded parameters, some of which are wrong.
func (r *replayClient) connect() bool {
	r.dial()
	body := slices.Concat(pgproto.CString("user"), pgproto.CString(r.pick("app", "billing")))
	switch r.random.IntN(8) {
	case 0:
		body = append(body, slices.Concat(pgproto.CString("options"), pgproto.CString("-c statement_timeout=7s"))...)
	case 1:
		body = append(body, slices.Concat(pgproto.CString("_pq_.x"), pgproto.CString("1"))...)
	case 2:
		body = append(body, slices.Concat(pgproto.CString("statement_timeout"), pgproto.CString("x"))...)
	case 3:
		body = body[:len(body)-1]
	case 4:
		body = nil
	}
	var out []byte
	if r.random.IntN(3) == 0 {
		out = pgproto.AppendStartup(out, pgproto.SSLRequest, nil)
	}
	if r.random.IntN(3) == 0 {
		out = pgproto.AppendStartup(out, pgproto.GSSENCRequest, nil)
	}
	if len(out) > 0 {
		r.write(out)
		if _, err := io.ReadFull(r.conn, make([]byte, len(out)/8)); err != nil {
			r.t.Fatal(err)
		}
	}
	version := uint32(pgproto.Version)
	switch r.random.IntN(8) {
	case 0:
		version++
	case 1:
		version = 2 << 16
	}
	r.write(pgproto.AppendStartup(nil, version, append(body, 0)))
	return r.readReady()
}

func (r *replayClient) write(b []byte) {
	if _, err := r.conn.Write(b); err != nil {
		r.t.Fatal(err)
	}
}

// disconnect waits until the frontend has seen the end of the connection: a transaction that was
// open is cancelled then.
func (r *replayClient) disconnect() {
	_ = r.conn.Close()
	for idle := make(chan bool); ; {
		r.loop.Post(func() { idle <- r.front.Idle() })
		if <-idle {
			return
		}
	}
}

// batch is a number of messages to which exactly one ReadyForQuery is due, unless the connection
// ends. It tells whether the last statement hangs until it is cancelled.
func (r *replayClient) batch() (batch []byte, hangs bool) {
	switch n := r.random.IntN(100); {
	case n < 1:
		return []byte("!garbage"), false
	case n < 2:
		return pgproto.AppendMessage(nil, pgproto.MessageFunctionCall, make([]byte, 8)), false
	case n < 6:
		return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(r.pick("select hang() from t", "update t set hang = 1"))), true
	case n < 7 && !r.lost:
		r.lost = true
		return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString("update t set lose = 1")), false
	case n < 50:
		return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(r.query())), false
	}
	for range r.random.IntN(4) + 1 {
		batch = r.extended(batch)
	}
	return pgproto.AppendMessage(batch, pgproto.MessageSync), false
}

func (r *replayClient) extended(b []byte) []byte {
	statement, portal := r.pick("", "", "a", "b"), r.pick("", "", "p", "q")
	switch r.random.IntN(12) {
	case 0:
		return pgproto.AppendMessage(b, pgproto.MessageClose, []byte(r.pick("S", "P", "X")), pgproto.CString(r.pick("", "a", "b", "p", "q")))
	case 1:
		return pgproto.AppendMessage(b, pgproto.MessageDescribe, []byte(r.pick("S", "P")), pgproto.CString(r.pick("", "a", "b", "p", "q")))
	case 2:
		return pgproto.AppendMessage(b, r.pick("H", "d", "c", "f", "p")[0], pgproto.CString("x"))
	case 3:
		return pgproto.AppendMessage(b, r.pick("P", "B", "D", "E", "C")[0], []byte(r.pick("", "a", "\x00a", "S\x00x")))
	case 4:
		return r.execute(b, portal)
	}
	b = pgproto.AppendMessage(b, pgproto.MessageClose, []byte("S"), pgproto.CString(statement))
	query := r.query()
	b = pgproto.AppendMessage(b, pgproto.MessageParse, pgproto.CString(statement), pgproto.CString(query), r.types())
	if r.random.IntN(4) == 0 {
		b = pgproto.AppendMessage(b, pgproto.MessageDescribe, []byte("S"), pgproto.CString(statement))
	}
	b = pgproto.AppendMessage(b, pgproto.MessageClose, []byte("P"), pgproto.CString(portal))
	b = pgproto.AppendMessage(b, pgproto.MessageBind, pgproto.CString(portal), pgproto.CString(statement), r.bind(strings.Count(query, "$")))
	if r.random.IntN(2) == 0 {
		b = pgproto.AppendMessage(b, pgproto.MessageDescribe, []byte("P"), pgproto.CString(portal))
	}
	for range r.random.IntN(3) {
		b = r.execute(b, portal)
	}
	return b
}

func (r *replayClient) execute(b []byte, portal string) []byte {
	return pgproto.AppendMessage(b, pgproto.MessageExecute, pgproto.CString(portal), pgproto.Int32(r.random.IntN(4)))
}

func (r *replayClient) types() []byte {
	n := r.random.IntN(3)
	types := pgproto.Int32(n)[2:]
	for range n {
		types = append(types, pgproto.Int32(25)...)
	}
	return types
}

func (r *replayClient) bind(parameters int) []byte {
	if r.random.IntN(6) == 0 {
		parameters += r.random.IntN(2)
	}
	var b []byte
	b = append(b, pgproto.Int32(1)[2:]...)
	b = append(b, 0, byte(r.random.IntN(2)))
	b = append(b, pgproto.Int32(parameters)[2:]...)
	for range parameters {
		if r.random.IntN(5) == 0 {
			b = append(b, 255, 255, 255, 255)
			continue
		}
		value := r.pick("", "7", "key-1", "a longer value")
		b = append(append(b, pgproto.Int32(len(value))...), value...)
	}
	return append(b, 0, 1, 0, byte(r.random.IntN(2)))
}

// cancelOnceHanging cancels a statement once it hangs at the engine; over is closed where it was
// answered without getting there, in a transaction that has failed, say.
func (r *replayClient) cancelOnceHanging(over chan bool) {
	select {
	case <-over:
		return
	case <-r.backend.hanging:
	}
	conn, err := net.Dial("tcp", r.front.Addr())
	if err != nil {
		r.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, r.cancel)); err != nil {
		r.t.Error(err)
	}
	_, _ = io.ReadAll(conn) // up to its end, which is all the answer there is
}

// readReady reads up to the next ReadyForQuery; false: the connection has ended.
func (r *replayClient) readReady() bool {
	for {
		kind, body, ok := r.readMessage()
		if !ok {
			return false
		}
		if kind == pgproto.MessageBackendKeyData {
			r.cancel = slices.Clone(body)
		}
		if kind == pgproto.MessageReadyForQuery {
			return true
		}
	}
}

// readMessage reads one message and notes it, but for a secret key in it; ok: the connection has not
// ended.
func (r *replayClient) readMessage() (kind byte, body []byte, ok bool) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r.conn, head); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.t.Fatalf("no answer in %v", replayTimeout)
		}
		r.read = append(r.read, "end"...)
		return 0, nil, false
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(r.conn, body); err != nil {
		r.t.Fatal(err)
	}
	r.read = append(append(r.read, head...), body...)
	if head[0] == pgproto.MessageBackendKeyData {
		secret := r.read[len(r.read)-4:]
		clear(secret) // it is random
	}
	return head[0], body, true
}
