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
	replaySeeds   = 60               // number of streams
	replayBatches = 60               // per connection, at most
	replayTimeout = 20 * time.Second // limit for a whole connection
)

// TestReplay guards against unintended changes of what clients and engines receive. It sends seeded
// streams of messages to a frontend with a scripted engine, and compares digests of everything that the
// client and the engine received with those of version c18a9bd.
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
		t.Fatalf("testdata/replay.txt has %d digests, want %d", len(want), len(got))
	}
	for seed := range got {
		if got[seed] != want[seed] {
			t.Errorf("digests of seed %d:\n got %s\nwant %s", seed, got[seed], want[seed])
		}
	}
}

// replay runs the stream of one seed. It returns the bytes that the client read, and the engine's
// transcript followed by sums of the counters.
func replay(t *testing.T, seed uint64) (client []byte, engine string) {
	t.Helper()
	counters := metrics.New()
	r := startScripted(t, replayOptions(seed), counters)
	r.random = rand.New(rand.NewPCG(seed, 7))
	r.run()
	r.stop()
	sums := fmt.Sprintf("errors %d all %d\n", counters.Sum("pgwire.errors."), counters.Sum("pgwire."))
	return r.received, r.backend.transcript.String() + sums
}

// startScripted starts a frontend with a scripted engine, and returns a client that has not connected
// yet.
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
	return &replayClient{t: t, loop: loop, frontend: f, backend: backend, stop: stop}
}

// replayOptions returns options that vary with the seed: without a class for writes, with little memory
// for portals, or without rules.
func replayOptions(seed uint64) Options {
	o := Options{
		DefaultClass: "lookup", WriteClass: "write",
		Rules: []Rule{{Starts: "insert into", Class: "load", Key: 1}, {Starts: "select quiet", Class: "report", ReadOnly: true}},
	}
	switch seed % 4 {
	case 1:
		o.WriteClass = ""
	case 2:
		o.MaxHeldBytes = 20 // so low that some portals exceed it
	case 3:
		o.Rules = nil
	}
	return o
}

// replayClient sends batches of messages and records everything that it receives.
type replayClient struct {
	t          *testing.T
	loop       *netio.Loop
	frontend   *Frontend
	backend    *replayBackend
	stop       func() // stops the loop and waits for its end
	random     *rand.Rand
	conn       net.Conn
	cancelBody []byte // body of the CancelRequest for the current connection
	received   []byte // everything received, except secret keys
	loseSent   bool   // the statement that loses its engine connection was sent; each stream has one at most
}

// replayQueries are the queries that a stream chooses from.
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

// query returns a random element of replayQueries.
func (r *replayClient) query() string { return replayQueries[r.random.IntN(len(replayQueries))] }

// pick returns a random one of the texts.
func (r *replayClient) pick(texts ...string) string { return texts[r.random.IntN(len(texts))] }

// run sends the client's whole stream, on several connections.
func (r *replayClient) run() {
	for range 4 { // connections, because a fatal error ends the current one
		if !r.connect() {
			r.disconnect()
			continue
		}
		for range replayBatches {
			batch, hangs := r.batch()
			if _, err := r.conn.Write(batch); err != nil {
				break
			}
			answered := make(chan bool)
			var canceling sync.WaitGroup
			if hangs {
				canceling.Go(func() { r.cancelOnceHanging(answered) })
			}
			ready := r.readReady()
			close(answered)
			canceling.Wait()
			if !ready {
				break
			}
		}
		_, _ = r.conn.Write(pgproto.AppendMessage(nil, pgproto.MessageTerminate))
		r.readReady()
		r.disconnect()
	}
}

// dial opens a connection to the frontend.
func (r *replayClient) dial() {
	var err error
	if r.conn, err = net.Dial("tcp", r.frontend.Addr()); err != nil {
		r.t.Fatal(err)
	}
	_ = r.conn.SetDeadline(time.Now().Add(replayTimeout))
}

// connectAs starts a session of a user with no other parameters.
func (r *replayClient) connectAs(user string) {
	r.t.Helper()
	r.dial()
	body := slices.Concat(pgproto.CString("user"), pgproto.CString(user), []byte{0})
	r.write(pgproto.AppendStartup(nil, pgproto.Version, body))
	if !r.readReady() {
		r.t.Fatal("the connection ended before ReadyForQuery")
	}
}

// connect starts a session with random parameters, some of which are invalid. It reports whether the
// session started.
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

// write sends bytes to the frontend.
func (r *replayClient) write(b []byte) {
	if _, err := r.conn.Write(b); err != nil {
		r.t.Fatal(err)
	}
}

// disconnect closes the connection and waits until the frontend has handled that, because a transaction
// that was open is canceled then.
func (r *replayClient) disconnect() {
	_ = r.conn.Close()
	for idle := make(chan bool); ; {
		r.loop.Post(func() { idle <- r.frontend.Idle() })
		if <-idle {
			return
		}
	}
}

// batch returns random messages that are answered by exactly one ReadyForQuery, unless the connection
// ends. hangs reports whether the last statement hangs until it is canceled.
func (r *replayClient) batch() (batch []byte, hangs bool) {
	switch n := r.random.IntN(100); {
	case n < 1:
		return []byte("!garbage"), false
	case n < 2:
		return pgproto.AppendMessage(nil, pgproto.MessageFunctionCall, make([]byte, 8)), false
	case n < 6:
		return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(r.pick("select hang() from t", "update t set hang = 1"))), true
	case n < 7 && !r.loseSent:
		r.loseSent = true
		return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString("update t set lose = 1")), false
	case n < 50:
		return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(r.query())), false
	}
	for range r.random.IntN(4) + 1 {
		batch = r.extended(batch)
	}
	return pgproto.AppendMessage(batch, pgproto.MessageSync), false
}

// extended appends random messages of the extended query protocol.
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

// execute appends an Execute with a random row limit.
func (r *replayClient) execute(b []byte, portal string) []byte {
	return pgproto.AppendMessage(b, pgproto.MessageExecute, pgproto.CString(portal), pgproto.Int32(r.random.IntN(4)))
}

// types returns random parameter types for a Parse.
func (r *replayClient) types() []byte {
	n := r.random.IntN(3)
	types := pgproto.Int32(n)[2:]
	for range n {
		types = append(types, pgproto.Int32(25)...)
	}
	return types
}

// bind returns the part of a Bind after the names, with random values. The number of values is wrong in
// some cases.
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

// cancelOnceHanging cancels a statement once it hangs at the engine. It returns when answered is closed,
// because a statement in a failed transaction, for example, is answered without reaching the engine.
func (r *replayClient) cancelOnceHanging(answered chan bool) {
	select {
	case <-answered:
		return
	case <-r.backend.hanging:
	}
	conn, err := net.Dial("tcp", r.frontend.Addr())
	if err != nil {
		r.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, r.cancelBody)); err != nil {
		r.t.Error(err)
	}
	_, _ = io.ReadAll(conn) // the only answer is the end of the connection
}

// readReady reads up to the next ReadyForQuery. It returns false if the connection has ended.
func (r *replayClient) readReady() bool {
	for {
		kind, body, ok := r.readMessage()
		if !ok {
			return false
		}
		if kind == pgproto.MessageBackendKeyData {
			r.cancelBody = slices.Clone(body)
		}
		if kind == pgproto.MessageReadyForQuery {
			return true
		}
	}
}

// readMessage reads and records one message, with a secret key zeroed. ok is false if the connection
// has ended.
func (r *replayClient) readMessage() (kind byte, body []byte, ok bool) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r.conn, head); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.t.Fatalf("got no complete answer within %v of connecting, want one", replayTimeout)
		}
		r.received = append(r.received, "end"...)
		return 0, nil, false
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(r.conn, body); err != nil {
		r.t.Fatal(err)
	}
	r.received = append(append(r.received, head...), body...)
	if head[0] == pgproto.MessageBackendKeyData {
		secret := r.received[len(r.received)-4:]
		clear(secret) // it differs between runs
	}
	return head[0], body, true
}
