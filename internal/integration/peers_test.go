package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	gosync "sync"
	"testing"
	"time"

	"gannetspur/internal/backend/lineproto"
	pgbackend "gannetspur/internal/backend/postgres"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/frontend/httpapi"
	pgfrontend "gannetspur/internal/frontend/postgres"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

// patience bounds every wait, so that a story that goes wrong fails and ends.
const patience = 10 * time.Second

// gateway is a program in the test's own process.
type gateway struct {
	t       *testing.T
	loop    *netio.Loop
	core    *core.Core
	stats   *metrics.Counters
	site    config.Site
	log     *slog.Logger
	addr    string
	lines   *lineproto.Backend
	rest    *httpapi.Frontend
	options httpapi.Options
	pgwire  pgfrontend.Options
	front   *pgfrontend.Frontend
	engine  pgbackend.Options // how engines are spoken to, beside user and database
}

// newGateway reads the settings of the deploy folder; change may change them.
func newGateway(t *testing.T, change func(*policy.Settings)) *gateway {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{t: t, stats: metrics.New(), log: slog.New(slog.DiscardHandler)}
	if err := json.Unmarshal(raw, &g.site); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&g.site.Policy)
	}
	if g.loop, err = netio.New(1024); err != nil {
		t.Fatal(err)
	}
	if g.core, err = core.New(g.site.Policy, 1, g.loop, g.loop.Timers, g.stats, g.log); err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *gateway) run() {
	done := make(chan struct{})
	go func() { g.loop.Run(); close(done) }()
	g.t.Cleanup(func() {
		g.loop.Post(g.loop.Stop)
		<-done
		g.balance()
	})
}

// balance checks, at the end of every story, that each request taken had one final
// answer or a client that left, and each attempt sent had one end.
func (g *gateway) balance() {
	if g.core.Unanswered() > 0 { // cut off by the end of the test
		return
	}
	if taken, over := g.stats.Sum("taken."), g.stats.Sum("answered.")+g.stats.Sum("gone."); taken != over {
		g.t.Errorf("%d requests taken, %d answered or gone", taken, over)
	}
	if sent, ended := g.stats.Sum("sent."), g.stats.Sum("ended."); sent != ended {
		g.t.Errorf("%d attempts sent, %d ended", sent, ended)
	}
}

// do runs f on the loop's goroutine and waits for it.
func (g *gateway) do(f func()) {
	done := make(chan struct{})
	g.loop.Post(func() { f(); close(done) })
	<-done
}

func (g *gateway) count(name string) (n int64) {
	g.do(func() { n = g.stats.Sum(name) })
	return n
}

func (g *gateway) roster(state policy.EngineState, addrs ...string) {
	g.do(func() { g.hear(state, addrs...) })
}

// hear is roster on the loop.
func (g *gateway) hear(state policy.EngineState, addrs ...string) {
	var list []core.Engine
	for _, a := range addrs {
		list = append(list, core.Engine{Addr: a, Engine: policy.Engine{ID: "e" + a, Zone: "hall-a", Kind: "std-8", State: state}})
	}
	g.core.UpdateEndpoints(policy.ListChanges, list)
}

// platform starts the platform's front with engines at the addresses.
func platform(t *testing.T, engines ...string) *gateway {
	t.Helper()
	return newGateway(t, nil).platform(engines...)
}

func (g *gateway) platform(engines ...string) *gateway {
	t := g.t
	t.Helper()
	g.site.MaxStreams = 32
	g.lines = lineproto.New(g.loop, g.core, g.site, g.stats, g.log)
	g.core.SetBackend(g.lines)
	f := httpapi.New(g.loop, g.core, g.options, g.stats)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.addr, g.rest = f.Addr(), f
	g.run()
	g.roster(policy.EngineLive, engines...)
	return g
}

// postgresGateway starts the second front with engines at the addresses.
func postgresGateway(t *testing.T, engines ...string) *gateway {
	t.Helper()
	return newGateway(t, nil).postgres(engines...)
}

func (g *gateway) postgres(engines ...string) *gateway {
	t := g.t
	t.Helper()
	g.engine.User, g.engine.Database = "ringwood", "register"
	g.core.SetBackend(pgbackend.New(g.loop, g.core, g.engine, g.stats, g.log))
	if g.pgwire.DefaultClass == "" {
		g.pgwire = pgfrontend.Options{
			DefaultClass: "lookup", WriteClass: "write", Rules: []pgfrontend.Rule{{Starts: "insert into", Class: "load", Key: 1}},
		}
	}
	f := pgfrontend.New(g.loop, g.core, g.pgwire, g.stats)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.addr, g.front = f.Addr(), f
	g.run()
	g.roster(policy.EngineLive, engines...)
	return g
}

// listen accepts for a scripted peer until the test ends.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(patience))
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func await[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(patience):
		t.Fatal("waited in vain")
	}
	return v
}

// lineEngine is an engine of the platform: it reports each line, with the
// statement of a want after it, and answers as the script says.
func lineEngine(t *testing.T, script func(line string) (answer string)) (addr string, seen chan string) {
	t.Helper()
	seen = make(chan string, 100)
	var one gosync.Mutex // scripts keep state, and connections are served side by side
	return listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimRight(line, "\r\n")
			if strings.HasPrefix(line, "want ") {
				var n int
				_, _ = fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &n)
				body := make([]byte, n+2)
				if _, err := io.ReadFull(r, body); err != nil {
					return
				}
				line += " " + string(body[:n])
			}
			one.Lock()
			answer := script(line)
			one.Unlock()
			seen <- line
			if answer == "hang up" {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}), seen
}

// pgCall is what a scripted PostgreSQL engine was asked.
type pgCall struct {
	query    string
	bind     string // past the names
	describe bool
	parsed   bool   // and not prepared before
	end      func() // ends the connection
}

var parseComplete = pgproto.AppendMessage(nil, '1')

// pgEngine is a PostgreSQL engine: the script answers each batch; nil leaves the
// batch open until a CancelRequest, which is reported as a call of its own.
func pgEngine(t *testing.T, script func(pgCall) []byte) (addr string, seen chan pgCall) {
	t.Helper()
	return slowPgEngine(t, 0, script)
}

// slowPgEngine is one whose startup takes a while.
// breakOff as an answer has the engine end the connection in place of one.
const breakOff = "break off"

func slowPgEngine(t *testing.T, startup time.Duration, script func(pgCall) []byte) (addr string, seen chan pgCall) {
	t.Helper()
	seen = make(chan pgCall, 100)
	return listen(t, func(c net.Conn) {
		var in []byte
		more := func() bool {
			p := make([]byte, 4096)
			n, err := c.Read(p)
			in = append(in, p[:n]...)
			return err == nil
		}
		for {
			code, _, n, _ := pgproto.ReadStartup(in)
			if n > 0 && code == pgproto.CancelRequest {
				seen <- pgCall{query: "cancel"}
				return
			}
			if in = in[n:]; n > 0 {
				break
			}
			if !more() {
				return
			}
		}
		time.Sleep(startup)
		out := pgproto.AppendMessage(nil, 'R', pgproto.Int32(0))
		out = pgproto.AppendMessage(out, 'K', pgproto.Int32(7), pgproto.Int32(9))
		_, _ = c.Write(pgproto.AppendMessage(out, 'Z', []byte("I")))
		var call pgCall
		named := map[string]string{}
		for {
			kind, body, n, _ := pgproto.ReadMessage(in, 1<<20)
			if n == 0 {
				if !more() {
					return
				}
				continue
			}
			r := pgproto.Reader{Rest: body}
			switch kind {
			case 'P':
				name := r.CString()
				named[name] = r.CString()
				call.parsed = true
			case 'D':
				if r.Byte() == 'S' {
					call.query, call.describe = named[r.CString()], true
				}
			case 'B':
				r.CString()
				call.query = named[r.CString()]
				call.bind = string(r.Rest)
			case 'S':
				call.end = func() { _ = c.Close() }
				answer := script(call)
				seen <- call
				if string(answer) == breakOff {
					return
				}
				if !call.parsed { // no ParseComplete then
					answer = bytes.TrimPrefix(answer, parseComplete)
				}
				call = pgCall{}
				if answer != nil {
					_, _ = c.Write(pgproto.AppendMessage(answer, 'Z', []byte("I")))
				}
			}
			in = in[n:]
		}
	}), seen
}

var oneColumn = append([]byte{0, 1}, append([]byte("part\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)...)

// pgRows answers a batch with text rows of one column.
func pgRows(rows ...string) []byte {
	b := pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), '2')
	b = pgproto.AppendMessage(b, 'T', oneColumn)
	for _, r := range rows {
		b = pgproto.AppendMessage(b, 'D', []byte{0, 1}, pgproto.Int32(len(r)), []byte(r))
	}
	return pgproto.AppendMessage(b, 'C', pgproto.CString(fmt.Sprintf("SELECT %d", len(rows))))
}

func pgError(code string) []byte {
	return pgproto.AppendMessage(nil, 'E', (&pgproto.Error{Severity: "ERROR", Code: code, Message: "no"}).Body())
}

// pgClient is a PostgreSQL client that writes messages as it is told.
type pgClient struct {
	t    *testing.T
	c    net.Conn
	in   []byte
	key  []byte
	last []byte // body of the latest message
}

func connect(t *testing.T, addr string, params ...string) *pgClient {
	t.Helper()
	k := &pgClient{t: t, c: dial(t, addr)}
	var body []byte
	for _, p := range append([]string{"user", "desk"}, params...) {
		body = append(body, pgproto.CString(p)...)
	}
	_, _ = k.c.Write(pgproto.AppendStartup(nil, pgproto.Version, append(body, 0)))
	k.until('Z')
	return k
}

func parse(name, query string) []byte {
	return pgproto.AppendMessage(nil, 'P', pgproto.CString(name), pgproto.CString(query), []byte{0, 0})
}

func bind(portal, name string, values ...string) []byte {
	b := []byte{0, 0, 0, byte(len(values))}
	for _, v := range values {
		b = append(append(b, pgproto.Int32(len(v))...), v...)
	}
	return pgproto.AppendMessage(nil, 'B', pgproto.CString(portal), pgproto.CString(name), b, []byte{0, 0})
}

func execute(portal string, most int) []byte {
	return pgproto.AppendMessage(nil, 'E', pgproto.CString(portal), pgproto.Int32(most))
}

func describe(kind, name string) []byte {
	return pgproto.AppendMessage(nil, 'D', []byte(kind), pgproto.CString(name))
}

func query(text string) []byte { return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text)) }

var (
	sync  = pgproto.AppendMessage(nil, 'S')
	flush = pgproto.AppendMessage(nil, 'H')
)

func (k *pgClient) send(messages ...[]byte) {
	k.t.Helper()
	for _, m := range messages {
		if _, err := k.c.Write(m); err != nil {
			k.t.Fatal(err)
		}
	}
}

// until reads up to a message of the kind, or the end, and words what came.
func (k *pgClient) until(last byte) string {
	k.t.Helper()
	var words []string
	for {
		kind, body, n, _ := pgproto.ReadMessage(k.in, 1<<24)
		if n == 0 {
			p := make([]byte, 4096)
			m, err := k.c.Read(p)
			if k.in = append(k.in, p[:m]...); errors.Is(err, io.EOF) {
				return strings.Join(append(words, "end"), " ")
			} else if err != nil {
				k.t.Fatalf("after %q: %v", words, err)
			}
			continue
		}
		word := string(kind)
		switch kind {
		case 'C':
			word += "(" + strings.TrimRight(string(body), "\x00") + ")"
		case 'D':
			word += "(" + string(body[6:]) + ")"
		case 'E':
			e, err := pgproto.ReadError(body)
			if err != nil {
				k.t.Fatal(err)
			}
			word += "(" + e.Code
			if e.Hint != "" {
				word += " hint"
			}
			word += ")"
		case 'K':
			k.key = append([]byte{}, body...)
		}
		words = append(words, word)
		k.last = append(k.last[:0], body...)
		k.in = k.in[n:]
		if kind == last {
			return strings.Join(words, " ")
		}
	}
}
