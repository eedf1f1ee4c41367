package integration

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

// settleTime is the time for which a key waits after an attempt that may still run.
const settleTime = 300 * time.Millisecond

// ordered changes the settings so that loads run at most once, and one at a time for each key.
func ordered(s *policy.Settings) {
	for i, c := range s.Classes {
		if c.Name == "load" {
			s.Classes[i].Idempotency, s.Classes[i].Ordered = policy.NotIdempotent, true
		}
	}
	s.Rules.SettleTime, s.Rules.OverloadWindow = settleTime, 0
}

// loadWithKey is a load with request ID n and an ordering key.
func loadWithKey(n int, key string) string {
	return strings.Replace(post("load", "Req-Key: "+key+"\r\n"), id, fmt.Sprintf("%016x", n), 1)
}

// orderedEngine is an engine of the line protocol that reports each "want" line and answers it when the test
// says so. Unless it hangs, it answers a request for a page with BROKE, which says that it knows no such query.
type orderedEngine struct {
	addr    string
	wants   chan string // request IDs of "want" lines
	pages   chan string // request IDs of requests for pages
	replies chan string // a request ID to answer with DONE, "break" to close the connection, or an answer as it is
	hangs   bool        // whether requests for pages stay unanswered
}

// newOrderedEngine starts an orderedEngine that answers requests for pages.
func newOrderedEngine(t *testing.T) *orderedEngine {
	t.Helper()
	e := &orderedEngine{wants: make(chan string, 100), pages: make(chan string, 100), replies: make(chan string, 100)}
	e.start(t)
	return e
}

// newHangingEngine starts an orderedEngine that never answers requests for pages.
func newHangingEngine(t *testing.T) *orderedEngine {
	t.Helper()
	e := &orderedEngine{wants: make(chan string, 100), pages: make(chan string, 100), replies: make(chan string, 100), hangs: true}
	e.start(t)
	return e
}

// start listens for the gateway's connections and serves them until the test ends.
func (e *orderedEngine) start(t *testing.T) {
	t.Helper()
	e.addr = listen(t, func(c net.Conn) {
		closed := make(chan struct{})
		defer close(closed)
		go func() {
			for {
				select {
				case <-closed:
					return
				case reply := <-e.replies:
					switch {
					case reply == "break":
						_ = c.Close()
					case strings.Contains(reply, " "):
						_, _ = fmt.Fprint(c, reply)
					default:
						_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", reply)
					}
				}
			}
		}()
		b := make([]byte, 1<<16)
		for {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			for _, line := range strings.Split(string(b[:n]), "\r\n") {
				switch w := strings.Fields(line); {
				case len(w) < 2:
				case w[0] == "want":
					e.wants <- w[1]
				case w[0] == "turn":
					e.pages <- w[1]
					if !e.hangs {
						_, _ = fmt.Fprintf(c, "%s BROKE - 0\r\n\r\n", w[1])
					}
				}
			}
		}
	})
}

// expectNoWant fails the test if a request has reached the engine.
func (e *orderedEngine) expectNoWant(t *testing.T, why string) {
	t.Helper()
	select {
	case id := <-e.wants:
		t.Fatalf("engine: got request %s %s, want none", id, why)
	default:
	}
}

// TestOrderOfAKey guards against loads of one key that run out of order or at the same time. They run one at a
// time in the order of acceptance, whichever connections they came on; other keys are not held up. After a load
// that may still run, because its client or connection was lost, the key waits for the settle time.
func TestOrderOfAKey(t *testing.T) {
	e := newOrderedEngine(t)
	g := newGateway(t, ordered).startHTTP(e.addr)
	var clients []*httpClient
	ids := func(n int) string { return fmt.Sprintf("%016x", n) }
	take := func(n int, key string) {
		t.Helper()
		k := httpConnect(t, g.addr)
		text := loadWithKey(n, key)
		_, _ = io.WriteString(k.c, text[:len(text)-3]) // a request is accepted with its last byte
		_, _ = io.WriteString(k.c, text[len(text)-3:])
		for g.count("taken.") < int64(len(clients)+1) {
			time.Sleep(time.Millisecond)
		}
		clients = append(clients, k)
	}
	for n := range 4 {
		take(n, "a")
	}
	take(4, "b")
	assertEqual(t, "first", await(t, e.wants), ids(0))
	assertEqual(t, "other key", await(t, e.wants), ids(4))
	e.expectNoWant(t, "out of turn")
	e.replies <- ids(0)
	assertEqual(t, "second, after the first has ended", await(t, e.wants), ids(1))
	left := time.Now()
	_ = clients[1].c.Close()
	assertEqual(t, "third", await(t, e.wants), ids(2))
	if waited := time.Since(left); waited < settleTime {
		t.Errorf("wait after a client disconnected: got %v, want at least %v", waited, settleTime)
	}
	broke := time.Now()
	e.replies <- "break"
	assertEqual(t, "fourth", await(t, e.wants), ids(3))
	if waited := time.Since(broke); waited < settleTime {
		t.Errorf("wait after a connection broke: got %v, want at least %v", waited, settleTime)
	}
	e.replies <- ids(3)
	if got, _ := clients[3].answer(); !strings.HasPrefix(got, "200") {
		t.Errorf("fourth: got %s, want status 200", got)
	}
	if got, _ := clients[2].answer(); !strings.HasPrefix(got, "500") { // it may have run, so it is not sent again
		t.Errorf("third: got %s, want status 500", got)
	}
	e.expectNoWant(t, "a second time")
}

// TestKeyWaitsForAnEngineThatHangs guards against two loads of a key at once because the first was given up on
// an engine that hangs. The next one waits longer than the settle time: until the engine answers for the first,
// its connection breaks, or the endpoint list shows a new process.
func TestKeyWaitsForAnEngineThatHangs(t *testing.T) {
	first, second := fmt.Sprintf("%016x", 0), fmt.Sprintf("%016x", 1)
	for name, tt := range map[string]struct {
		reply   string // what the engine then does, as in orderedEngine.replies
		restart bool   // whether the endpoint list shows a new process instead
	}{
		"engine knows no such query": {reply: first + " BROKE - 0\r\n\r\n"},
		"engine had completed it":    {reply: first + " DONE batches=3 0\r\n\r\n"},
		"engine never ran it":        {reply: first + " WAIT - 0\r\n\r\n"},
		"connection breaks":          {reply: "break"},
		"engine restarts":            {restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newHangingEngine(t)
			g := newGateway(t, ordered).startHTTP(e.addr)
			k := httpConnect(t, g.addr)
			_, _ = io.WriteString(k.c, loadWithKey(0, "a"))
			assertEqual(t, "first", await(t, e.wants), first)
			_ = k.c.Close()
			next := httpConnect(t, g.addr)
			_, _ = io.WriteString(next.c, strings.Replace(loadWithKey(1, "a"), "2000", "20000", 1))
			for range 2 { // the engine is asked again a second later, after the settle time
				assertEqual(t, "request for a page", await(t, e.pages), first)
			}
			e.replies <- first + " TELL res=0.5,num=1 0\r\n\r\n" // says that it still runs
			assertEqual(t, "request for a page", await(t, e.pages), first)
			e.expectNoWant(t, "while the first of its key may run")
			if tt.restart {
				g.do(func() {
					g.core.UpdateEndpoints(policy.ListChanges, []core.Engine{{Addr: e.addr, Engine: policy.Engine{
						ID: "e" + e.addr, Zone: "hall-a", Kind: "std-8", State: policy.EngineLive, StartKnown: true, Started: g.loop.Now(),
					}}})
				})
			} else {
				e.replies <- tt.reply
			}
			assertEqual(t, "second", await(t, e.wants), second)
			e.replies <- second
			if got, _ := next.answer(); !strings.HasPrefix(got, "200") {
				t.Errorf("second: got %s, want status 200", got)
			}
			if n := g.count("settling.load"); n != 1 {
				t.Errorf("got %d attempts that were waited for, want 1", n)
			}
		})
	}
}

// TestWaitForATurnEnds guards against a load that waits for its key for ever: at its timeout it gets its one
// answer, is never sent, and the next load in the queue goes on.
func TestWaitForATurnEnds(t *testing.T) {
	e := newOrderedEngine(t)
	g := newGateway(t, ordered).startHTTP(e.addr)
	long, short, next := httpConnect(t, g.addr), httpConnect(t, g.addr), httpConnect(t, g.addr)
	for i, k := range []*httpClient{long, short, next} {
		text := loadWithKey(i, "a")
		if k == short {
			text = strings.Replace(text, "2000", "200", 1)
		}
		_, _ = io.WriteString(k.c, text)
		for g.count("taken.") < int64(i+1) {
			time.Sleep(time.Millisecond)
		}
	}
	assertEqual(t, "first", await(t, e.wants), fmt.Sprintf("%016x", 0))
	if got, _ := short.answer(); !strings.HasPrefix(got, "503") {
		t.Errorf("load whose timeout passed while it waited: got %s, want status 503", got)
	}
	e.replies <- fmt.Sprintf("%016x", 0)
	assertEqual(t, "next", await(t, e.wants), fmt.Sprintf("%016x", 2))
	e.replies <- fmt.Sprintf("%016x", 2)
	if got, _ := next.answer(); !strings.HasPrefix(got, "200") {
		t.Errorf("load after it: got %s, want status 200", got)
	}
}

// TestOrderNeedsAKey guards against loads of an ordered class without a valid key: nothing is sent.
func TestOrderNeedsAKey(t *testing.T) {
	e := newOrderedEngine(t)
	g := newGateway(t, ordered).startHTTP(e.addr)
	for name, head := range map[string]string{
		"missing": "", "empty": "Req-Key: \r\n", "oversized": "Req-Key: " + strings.Repeat("7", 65) + "\r\n",
		"repeated": "Req-Key: a\r\nReq-Key: a\r\n", "spaced": "Req-Key: a b\r\n",
	} {
		if got, _ := httpConnect(t, g.addr).call(post("load", head)); !strings.HasPrefix(got, "400") {
			t.Errorf("%s key: got %s, want status 400", name, got)
		}
	}
	e.expectNoWant(t, "without a key")
}

// TestOrderOnPostgres guards against loads of one key that overlap on the PostgreSQL front end, where a rule or
// a comment names the parameter that is the key.
func TestOrderOnPostgres(t *testing.T) {
	asked, release := make(chan string, 10), make(chan struct{})
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		asked <- c.bind
		<-release
		return pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), '2'), 'n'), 'C', pgproto.CString("INSERT 0 1"))
	})
	g := newGateway(t, ordered).startPostgres(addr)
	send := func(text, key string, n int) *pgClient {
		t.Helper()
		k := connect(t, g.addr)
		k.send(parse("", text), bind("", "", key, strconv.Itoa(n)), execute("", 0), sync)
		for g.count("taken.load") < int64(n) {
			time.Sleep(time.Millisecond)
		}
		return k
	}
	first := send("INSERT INTO stock_1.parts VALUES ($1, $2)", "a", 1)
	second := send("/* class=load key=$1 */ INSERT INTO stock_1.parts VALUES ($1, $2)", "a", 2)
	other := send("INSERT INTO stock_1.parts VALUES ($1, $2)", "b", 3)
	for _, n := range []string{"1", "3"} {
		if got := await(t, asked); !strings.HasSuffix(strings.TrimRight(got, "\x00"), n) {
			t.Errorf("engine: got Bind %q, want load %s", got, n)
		}
	}
	if len(asked) > 0 {
		t.Errorf("engine: got %d more loads, want none: the key's first load still runs", len(asked))
	}
	close(release)
	if got := await(t, asked); !strings.HasSuffix(strings.TrimRight(got, "\x00"), "2") {
		t.Errorf("engine: got Bind %q, want load 2", got)
	}
	for _, k := range []*pgClient{first, second, other} {
		assertEqual(t, "answer", k.until('Z'), "1 2 C(INSERT 0 1) Z")
	}
	k := connect(t, g.addr)
	k.send(parse("", "/* class=load */ DELETE FROM stock_1.parts WHERE part = $1"), bind("", "", "x"), execute("", 0), sync)
	assertEqual(t, "load without a key", k.until('Z'), "1 E(22023) Z")
}

// TestOrderWaitsForACancelledLoad guards against two PostgreSQL loads of a key at once after the first one's
// client disconnected: the next one waits until the engine has ended the first, however long after the cancel.
func TestOrderWaitsForACancelledLoad(t *testing.T) {
	asked, release := make(chan string, 10), make(chan []byte, 1)
	done := pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), '2'), 'n'), 'C', pgproto.CString("INSERT 0 1"))
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		asked <- c.bind
		return <-release
	})
	g := newGateway(t, ordered).startPostgres(addr)
	var clients []*pgClient
	for n := range 2 {
		k := connect(t, g.addr)
		k.send(parse("", "INSERT INTO stock_1.parts VALUES ($1, $2)"), bind("", "", "a", strconv.Itoa(n)), execute("", 0), sync)
		for g.count("taken.load") < int64(n+1) {
			time.Sleep(time.Millisecond)
		}
		clients = append(clients, k)
	}
	await(t, asked)
	_ = clients[0].c.Close()
	assertEqual(t, "engine received", await(t, seen).query, "cancel")
	settled := make(chan bool)
	g.do(func() { g.loop.Timers.Add(g.loop.Now()+settleTime+settleTime, func() { close(settled) }) })
	await(t, settled)
	if len(asked) > 0 {
		t.Fatalf("engine: got %d more loads, want none while the key's first load may run", len(asked))
	}
	release <- pgError("57014")
	await(t, asked)
	release <- done
	assertEqual(t, "answer", clients[1].until('Z'), "1 2 C(INSERT 0 1) Z")
}
