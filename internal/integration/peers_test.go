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

// waitTimeout bounds every wait and every socket, so that a failing test ends.
const waitTimeout = 10 * time.Second

// gateway is a whole gateway in the test's own process, with one front end and its backend.
type gateway struct {
	t              *testing.T
	loop           *netio.Loop
	core           *core.Core
	stats          *metrics.Counters
	site           config.Site
	log            *slog.Logger
	addr           string               // where clients connect
	lines          *lineproto.Backend   // nil without the HTTP front end
	httpFront      *httpapi.Frontend    // nil without the HTTP front end
	httpOptions    httpapi.Options      // options of the HTTP front end, read when it starts
	pgOptions      pgfrontend.Options   // options of the PostgreSQL front end, read when it starts
	pgFront        *pgfrontend.Frontend // nil without the PostgreSQL front end
	backendOptions pgbackend.Options    // options of the PostgreSQL backend; startPostgres sets user and database
}

// newGateway creates a gateway with the settings of the deploy directory, which change may modify; nil leaves
// them as they are. It does not serve before startHTTP or startPostgres.
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

// run starts the event loop. At the end of the test it stops the loop and checks the balance of the counters.
func (g *gateway) run() {
	done := make(chan struct{})
	go func() { g.loop.Run(); close(done) }()
	g.t.Cleanup(func() {
		g.loop.Post(g.loop.Stop)
		<-done
		g.checkBalance()
	})
}

// checkBalance checks at the end of every test that each accepted request had one final answer or a client that
// disconnected, and that each attempt sent had one end.
func (g *gateway) checkBalance() {
	if g.core.Unanswered() > 0 { // requests that the end of the test cut off have no end to count
		return
	}
	if taken, finished := g.stats.Sum("taken."), g.stats.Sum("answered.")+g.stats.Sum("gone."); taken != finished {
		g.t.Errorf("got %d requests answered or left by their clients, want %d, the number accepted", finished, taken)
	}
	if sent, ended := g.stats.Sum("sent."), g.stats.Sum("ended."); sent != ended {
		g.t.Errorf("got %d attempts ended, want %d, the number sent", ended, sent)
	}
}

// do runs f on the loop's goroutine and waits until it has returned.
func (g *gateway) do(f func()) {
	done := make(chan struct{})
	g.loop.Post(func() { f(); close(done) })
	<-done
}

// count returns the sum of all counters whose names begin with name.
func (g *gateway) count(name string) (n int64) {
	g.do(func() { n = g.stats.Sum(name) })
	return n
}

// updateEngines gives the gateway an endpoint list change: the engines at the addresses, each in the given
// state.
func (g *gateway) updateEngines(state policy.EngineState, addrs ...string) {
	g.do(func() { g.updateEnginesOnLoop(state, addrs...) })
}

// updateEnginesOnLoop is updateEngines for callers that already run on the loop's goroutine.
func (g *gateway) updateEnginesOnLoop(state policy.EngineState, addrs ...string) {
	var list []core.Engine
	for _, a := range addrs {
		list = append(list, core.Engine{Addr: a, Engine: policy.Engine{ID: "e" + a, Zone: "hall-a", Kind: "std-8", State: state}})
	}
	g.core.UpdateEndpoints(policy.ListChanges, list)
}

// httpGateway starts a gateway with the HTTP front end, default settings and engines at the addresses.
func httpGateway(t *testing.T, engines ...string) *gateway {
	t.Helper()
	return newGateway(t, nil).startHTTP(engines...)
}

// startHTTP starts the HTTP front end and the line protocol backend, with engines at the addresses.
func (g *gateway) startHTTP(engines ...string) *gateway {
	t := g.t
	t.Helper()
	g.site.MaxStreams = 32
	g.lines = lineproto.New(g.loop, g.core, g.site, g.stats, g.log)
	g.core.SetBackend(g.lines)
	f := httpapi.New(g.loop, g.core, g.httpOptions, g.stats)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.addr, g.httpFront = f.Addr(), f
	g.run()
	g.updateEngines(policy.EngineLive, engines...)
	return g
}

// postgresGateway starts a gateway with the PostgreSQL front end, default settings and engines at the addresses.
func postgresGateway(t *testing.T, engines ...string) *gateway {
	t.Helper()
	return newGateway(t, nil).startPostgres(engines...)
}

// startPostgres starts the PostgreSQL front end and backend, with engines at the addresses. Without a default
// class in g.pgOptions it sets options of its own.
func (g *gateway) startPostgres(engines ...string) *gateway {
	t := g.t
	t.Helper()
	g.backendOptions.User, g.backendOptions.Database = "ringwood", "register"
	g.core.SetBackend(pgbackend.New(g.loop, g.core, g.backendOptions, g.stats, g.log))
	if g.pgOptions.DefaultClass == "" {
		g.pgOptions = pgfrontend.Options{
			DefaultClass: "lookup", WriteClass: "write", Rules: []pgfrontend.Rule{{Starts: "insert into", Class: "load", Key: 1}},
		}
	}
	f := pgfrontend.New(g.loop, g.core, g.pgOptions, g.stats)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.addr, g.pgFront = f.Addr(), f
	g.run()
	g.updateEngines(policy.EngineLive, engines...)
	return g
}

// listen opens a loopback listener for a scripted peer and calls serve for each connection until the test ends.
// It returns the listener's address.
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
			_ = c.SetDeadline(time.Now().Add(waitTimeout))
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// dial opens a connection that is closed at the end of the test, with waitTimeout as its deadline.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// await receives a value from a channel, or fails the test after waitTimeout.
func await[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(waitTimeout):
		t.Fatalf("got nothing from the channel within %v, want a value", waitTimeout)
	}
	return v
}

// lineEngine is a scripted engine of the line protocol. It reports each line in seen, a "want" line followed by
// its statement, and writes the script's answer. The answer "hang up" closes the connection.
func lineEngine(t *testing.T, script func(line string) (answer string)) (addr string, seen chan string) {
	t.Helper()
	seen = make(chan string, 100)
	var scriptLock gosync.Mutex // scripts keep state, and connections are served concurrently
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
			scriptLock.Lock()
			answer := script(line)
			scriptLock.Unlock()
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

// pgCall is one batch of messages, up to Sync, that a scripted PostgreSQL engine received.
type pgCall struct {
	query    string
	bind     string // body of Bind after the portal and statement names
	describe bool   // whether a statement was described
	parsed   bool   // whether the batch has a Parse, so that the statement was not prepared before
	end      func() // closes the connection
}

// parseComplete is the message that answers Parse.
var parseComplete = pgproto.AppendMessage(nil, '1')

// pgEngine is a scripted PostgreSQL engine whose script answers each batch. A nil answer leaves the batch open
// until a CancelRequest, which is reported in seen as a call with the query "cancel".
func pgEngine(t *testing.T, script func(pgCall) []byte) (addr string, seen chan pgCall) {
	t.Helper()
	return slowPgEngine(t, 0, script)
}

// closeConnection as a script's answer makes the engine close the connection instead of answering.
const closeConnection = "break off"

// slowPgEngine is a pgEngine that waits for the duration startup before it completes a connection's startup.
func slowPgEngine(t *testing.T, startup time.Duration, script func(pgCall) []byte) (addr string, seen chan pgCall) {
	t.Helper()
	seen = make(chan pgCall, 100)
	return listen(t, func(c net.Conn) {
		var in []byte
		readMore := func() bool {
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
			if !readMore() {
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
				if !readMore() {
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
				if string(answer) == closeConnection {
					return
				}
				if !call.parsed { // the batch has no Parse, so no ParseComplete answers it
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

// oneColumn is the body of a RowDescription with one text column named part.
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

// pgError is an ErrorResponse with the SQLSTATE code.
func pgError(code string) []byte {
	return pgproto.AppendMessage(nil, 'E', (&pgproto.Error{Severity: "ERROR", Code: code, Message: "no"}).Body())
}

// pgClient is a PostgreSQL client that writes the messages that the test gives it.
type pgClient struct {
	t    *testing.T
	c    net.Conn
	in   []byte // bytes read and not yet parsed
	key  []byte // body of BackendKeyData, which a CancelRequest repeats
	last []byte // body of the latest message
}

// connect opens a connection as user desk with further startup parameters, given as name and value in turn, and
// completes the startup.
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

// parse is a Parse message without parameter types.
func parse(name, query string) []byte {
	return pgproto.AppendMessage(nil, 'P', pgproto.CString(name), pgproto.CString(query), []byte{0, 0})
}

// bind is a Bind message with text values for a portal and a prepared statement name.
func bind(portal, name string, values ...string) []byte {
	b := []byte{0, 0, 0, byte(len(values))}
	for _, v := range values {
		b = append(append(b, pgproto.Int32(len(v))...), v...)
	}
	return pgproto.AppendMessage(nil, 'B', pgproto.CString(portal), pgproto.CString(name), b, []byte{0, 0})
}

// execute is an Execute message; maxRows limits its rows, and 0 means no limit.
func execute(portal string, maxRows int) []byte {
	return pgproto.AppendMessage(nil, 'E', pgproto.CString(portal), pgproto.Int32(maxRows))
}

// describe is a Describe message; kind is "S" for a statement or "P" for a portal.
func describe(kind, name string) []byte {
	return pgproto.AppendMessage(nil, 'D', []byte(kind), pgproto.CString(name))
}

// query is a Query message of the simple protocol.
func query(text string) []byte { return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text)) }

var (
	sync  = pgproto.AppendMessage(nil, 'S')
	flush = pgproto.AppendMessage(nil, 'H')
)

// send writes the messages.
func (k *pgClient) send(messages ...[]byte) {
	k.t.Helper()
	for _, m := range messages {
		if _, err := k.c.Write(m); err != nil {
			k.t.Fatal(err)
		}
	}
}

// until reads messages up to one of the type last, or to the end of the connection, and returns a summary:
// the type byte of each message and, in parentheses after it, a CommandComplete's tag, a DataRow's value, or an
// ErrorResponse's code followed by "hint" if it has one. The word "end" stands for the end of the connection.
func (k *pgClient) until(last byte) string {
	k.t.Helper()
	var summary []string
	for {
		kind, body, n, _ := pgproto.ReadMessage(k.in, 1<<24)
		if n == 0 {
			p := make([]byte, 4096)
			m, err := k.c.Read(p)
			if k.in = append(k.in, p[:m]...); errors.Is(err, io.EOF) {
				return strings.Join(append(summary, "end"), " ")
			} else if err != nil {
				k.t.Fatalf("got the error %[2]v after %[1]q, want a message or the end of the connection", summary, err)
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
		summary = append(summary, word)
		k.last = append(k.last[:0], body...)
		k.in = k.in[n:]
		if kind == last {
			return strings.Join(summary, " ")
		}
	}
}
