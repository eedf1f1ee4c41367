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

const settle = 300 * time.Millisecond

// ordered has loads run at most once, and one at a time for each key.
func ordered(s *policy.Settings) {
	for i, c := range s.Classes {
		if c.Name == "load" {
			s.Classes[i].Idempotency, s.Classes[i].Ordered = policy.NotIdempotent, true
		}
	}
	s.Rules.SettleTime, s.Rules.OverloadWindow = settle, 0
}

// keyed words a load of a key.
func keyed(n int, key string) string {
	return strings.Replace(post("load", "Req-Key: "+key+"\r\n"), id, fmt.Sprintf("%016x", n), 1)
}

// orderedEngine reports each want, and ends one when it is told its id. Unless it hangs it tells that it
// knows no query whose page it is asked for.
type orderedEngine struct {
	addr  string
	wants chan string
	asks  chan string // for pages
	ends  chan string // an id to end, "break", or an answer
	hangs bool
}

func newOrderedEngine(t *testing.T) *orderedEngine {
	t.Helper()
	e := &orderedEngine{wants: make(chan string, 100), asks: make(chan string, 100), ends: make(chan string, 100)}
	e.start(t)
	return e
}

// newHangingEngine returns one that never tells that it knows no query of a page.
func newHangingEngine(t *testing.T) *orderedEngine {
	t.Helper()
	e := &orderedEngine{wants: make(chan string, 100), asks: make(chan string, 100), ends: make(chan string, 100), hangs: true}
	e.start(t)
	return e
}

func (e *orderedEngine) start(t *testing.T) {
	t.Helper()
	e.addr = listen(t, func(c net.Conn) {
		over := make(chan struct{})
		defer close(over)
		go func() {
			for {
				select {
				case <-over:
					return
				case id := <-e.ends:
					switch {
					case id == "break":
						_ = c.Close()
					case strings.Contains(id, " "):
						_, _ = fmt.Fprint(c, id)
					default:
						_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", id)
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
					e.asks <- w[1]
					if !e.hangs {
						_, _ = fmt.Fprintf(c, "%s BROKE - 0\r\n\r\n", w[1])
					}
				}
			}
		}
	})
}

// none tells that nothing has reached the engine.
func (e *orderedEngine) none(t *testing.T, why string) {
	t.Helper()
	select {
	case id := <-e.wants:
		t.Fatalf("%s reached the engine %s", id, why)
	default:
	}
}

// Loads of one key run one at a time, in the order in which they were taken, whichever connections
// they came on; another key is not held up; and behind one that may run still, as its client left
// or its connection broke, the key rests.
func TestOrderOfAKey(t *testing.T) {
	e := newOrderedEngine(t)
	g := newGateway(t, ordered).platform(e.addr)
	var clients []*httpClient
	ids := func(n int) string { return fmt.Sprintf("%016x", n) }
	take := func(n int, key string) {
		t.Helper()
		k := httpConnect(t, g.addr)
		text := keyed(n, key)
		_, _ = io.WriteString(k.c, text[:len(text)-3]) // the last byte counts
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
	same(t, "first", await(t, e.wants), ids(0))
	same(t, "other key", await(t, e.wants), ids(4))
	e.none(t, "out of turn")
	e.ends <- ids(0)
	same(t, "second, once the first is over", await(t, e.wants), ids(1))
	left := time.Now()
	_ = clients[1].c.Close()
	same(t, "third", await(t, e.wants), ids(2))
	if rest := time.Since(left); rest < settle {
		t.Errorf("the key rested for %v behind a client that left", rest)
	}
	broke := time.Now()
	e.ends <- "break"
	same(t, "fourth", await(t, e.wants), ids(3))
	if rest := time.Since(broke); rest < settle {
		t.Errorf("the key rested for %v behind a connection that broke", rest)
	}
	e.ends <- ids(3)
	if got, _ := clients[3].answer(); !strings.HasPrefix(got, "200") {
		t.Errorf("fourth: %s", got)
	}
	if got, _ := clients[2].answer(); !strings.HasPrefix(got, "500") { // it may have run, and is not sent again
		t.Errorf("third: %s", got)
	}
	e.none(t, "a second time")
}

// A load that was given up on an engine which hangs is out until that engine is certain to be through with
// it, so the next of its key waits longer than its rest: until the engine tells, its connection breaks, or
// the roster tells of a new process.
func TestKeyWaitsForAnEngineThatHangs(t *testing.T) {
	first, second := fmt.Sprintf("%016x", 0), fmt.Sprintf("%016x", 1)
	for name, tt := range map[string]struct {
		end   string
		start bool
	}{
		"knows no such query": {end: first + " BROKE - 0\r\n\r\n"},
		"was through":         {end: first + " DONE batches=3 0\r\n\r\n"},
		"never ran it":        {end: first + " WAIT - 0\r\n\r\n"},
		"breaks off":          {end: "break"},
		"starts anew":         {start: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newHangingEngine(t)
			g := newGateway(t, ordered).platform(e.addr)
			k := httpConnect(t, g.addr)
			_, _ = io.WriteString(k.c, keyed(0, "a"))
			same(t, "first", await(t, e.wants), first)
			_ = k.c.Close()
			next := httpConnect(t, g.addr)
			_, _ = io.WriteString(next.c, strings.Replace(keyed(1, "a"), "2000", "20000", 1))
			for range 2 { // it is asked again a second later, past the rest
				same(t, "asked", await(t, e.asks), first)
			}
			e.ends <- first + " TELL res=0.5,num=1 0\r\n\r\n" // it runs still
			same(t, "asked", await(t, e.asks), first)
			e.none(t, "while its key is out")
			if tt.start {
				g.do(func() {
					g.core.UpdateEndpoints(policy.ListChanges, []core.Engine{{Addr: e.addr, Engine: policy.Engine{
						ID: "e" + e.addr, Zone: "hall-a", Kind: "std-8", State: policy.EngineLive, StartKnown: true, Started: g.loop.Now(),
					}}})
				})
			} else {
				e.ends <- tt.end
			}
			same(t, "second", await(t, e.wants), second)
			e.ends <- second
			if got, _ := next.answer(); !strings.HasPrefix(got, "200") {
				t.Errorf("second: %s", got)
			}
			if n := g.count("settling.load"); n != 1 {
				t.Errorf("%d attempts were waited for", n)
			}
		})
	}
}

// A load that waits for its turn until its time is up gets its one answer then, never having been
// sent, and the next in line goes on.
func TestWaitForATurnEnds(t *testing.T) {
	e := newOrderedEngine(t)
	g := newGateway(t, ordered).platform(e.addr)
	long, short, next := httpConnect(t, g.addr), httpConnect(t, g.addr), httpConnect(t, g.addr)
	for i, k := range []*httpClient{long, short, next} {
		text := keyed(i, "a")
		if k == short {
			text = strings.Replace(text, "2000", "200", 1)
		}
		_, _ = io.WriteString(k.c, text)
		for g.count("taken.") < int64(i+1) {
			time.Sleep(time.Millisecond)
		}
	}
	same(t, "first", await(t, e.wants), fmt.Sprintf("%016x", 0))
	if got, _ := short.answer(); !strings.HasPrefix(got, "503") {
		t.Errorf("the one that waited in vain: %s", got)
	}
	e.ends <- fmt.Sprintf("%016x", 0)
	same(t, "next", await(t, e.wants), fmt.Sprintf("%016x", 2))
	e.ends <- fmt.Sprintf("%016x", 2)
	if got, _ := next.answer(); !strings.HasPrefix(got, "200") {
		t.Errorf("the one after it: %s", got)
	}
}

// A class in order needs a key of a plain form; without one nothing is sent.
func TestOrderNeedsAKey(t *testing.T) {
	e := newOrderedEngine(t)
	g := newGateway(t, ordered).platform(e.addr)
	for name, head := range map[string]string{
		"missing": "", "empty": "Req-Key: \r\n", "oversized": "Req-Key: " + strings.Repeat("7", 65) + "\r\n",
		"repeated": "Req-Key: a\r\nReq-Key: a\r\n", "odd": "Req-Key: a b\r\n",
	} {
		if got, _ := httpConnect(t, g.addr).call(post("load", head)); !strings.HasPrefix(got, "400") {
			t.Errorf("%s: %s", name, got)
		}
	}
	e.none(t, "without a key")
}

// The PostgreSQL front keeps the order too, by the parameter that a rule or a comment names.
func TestOrderOnPostgres(t *testing.T) {
	asked, release := make(chan string, 10), make(chan struct{})
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		asked <- c.bind
		<-release
		return pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), '2'), 'n'), 'C', pgproto.CString("INSERT 0 1"))
	})
	g := newGateway(t, ordered).postgres(addr)
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
			t.Errorf("asked %q, want load %s", got, n)
		}
	}
	if len(asked) > 0 {
		t.Error("two loads of a key at once")
	}
	close(release)
	if got := await(t, asked); !strings.HasSuffix(strings.TrimRight(got, "\x00"), "2") {
		t.Errorf("asked %q, want load 2", got)
	}
	for _, k := range []*pgClient{first, second, other} {
		same(t, "answer", k.until('Z'), "1 2 C(INSERT 0 1) Z")
	}
	k := connect(t, g.addr)
	k.send(parse("", "/* class=load */ DELETE FROM stock_1.parts WHERE part = $1"), bind("", "", "x"), execute("", 0), sync)
	same(t, "load without a key", k.until('Z'), "1 E(22023) Z")
}

// A load on PostgreSQL that its client has left is out until its engine has ended it, however long that takes
// after the cancel.
func TestOrderWaitsForACancelledLoad(t *testing.T) {
	asked, release := make(chan string, 10), make(chan []byte, 1)
	done := pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), '2'), 'n'), 'C', pgproto.CString("INSERT 0 1"))
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		asked <- c.bind
		return <-release
	})
	g := newGateway(t, ordered).postgres(addr)
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
	same(t, "engine heard", await(t, seen).query, "cancel")
	rested := make(chan bool)
	g.do(func() { g.loop.Timers.Add(g.loop.Now()+settle+settle, func() { close(rested) }) })
	await(t, rested)
	if len(asked) > 0 {
		t.Fatal("the next load of the key went out while the first may run")
	}
	release <- pgError("57014")
	await(t, asked)
	release <- done
	same(t, "answer", clients[1].until('Z'), "1 2 C(INSERT 0 1) Z")
}
