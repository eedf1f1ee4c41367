package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// The tests of this file end a connection, request or drain at a critical instant: everything before it must be
// completed, and nothing after it may be started.

// healthCall is a call that the gateway answers without an engine.
const healthCall = "GET /health HTTP/1.1\r\n\r\n"

// whileLoopBlocked runs f while the event loop stands still in the middle of a turn, as it does under load: what
// the poller reads waits for the next turn. f gets a function that looks up a client's connection.
func (g *gateway) whileLoopBlocked(f func(find func(*httpClient) *netio.Conn)) {
	g.do(func() { f(func(k *httpClient) *netio.Conn { return g.conn(k.c.LocalAddr().String()) }) })
}

// conn returns the connection whose peer has the address. It must be called on the loop's goroutine.
func (g *gateway) conn(addr string) *netio.Conn {
	for c := range g.loop.Conns() {
		if c.RemoteAddr() == addr {
			return c
		}
	}
	g.t.Errorf("got no connection to %s, want one", addr)
	return nil
}

// waitUntil spins until a condition holds that another goroutine brings about.
func waitUntil(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}

// expectClose fails the test unless the connection is closed without a reset and without further bytes.
func (k *httpClient) expectClose() {
	k.t.Helper()
	if b, err := io.ReadAll(k.r); err != nil || len(b) > 0 {
		k.t.Errorf("connection: got %q, %v, want its end without further bytes", b, err)
	}
}

// expectNoRequest fails the test if the engine got a line.
func expectNoRequest(t *testing.T, seen chan string) {
	t.Helper()
	select {
	case line := <-seen:
		t.Errorf("engine: got %q, want nothing", line)
	default:
	}
}

// numbered is the call with request ID n.
func numbered(n int, call string) string {
	return strings.Replace(call, id, fmt.Sprintf("%016x", n), 1)
}

// TestCallReadDuringADrain guards against a call that runs twice: it was read but not yet handled when its
// idle connection is closed by a drain. It must not be sent on, because its client sees the close and repeats
// it.
func TestCallReadDuringADrain(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string { return done(line, "") })
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	k.call(healthCall)
	g.whileLoopBlocked(func(find func(*httpClient) *netio.Conn) {
		_, _ = io.WriteString(k.c, post("lookup", ""))
		waitUntil(func() bool { return find(k).Unread() > 0 })
		g.httpFront.Drain()
	})
	k.expectClose()
	if n := g.count("taken."); n != 0 {
		t.Errorf("got %d accepted requests, want 0", n)
	}
	expectNoRequest(t, seen)
}

// TestDrainAmongCalls guards against a drain that loses calls: it waits for a call that has arrived in part, and
// answers all calls that a client pipelined before it closes the connection, as the last answer announces.
func TestDrainAmongCalls(t *testing.T) {
	hold := make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		if strings.HasPrefix(line, fmt.Sprintf("want %016x", 1)) {
			<-hold
		}
		return done(line, "")
	})
	g := httpGateway(t, addr)
	slow, pipelined := httpConnect(t, g.addr), httpConnect(t, g.addr)
	half := numbered(9, post("lookup", ""))
	_, _ = io.WriteString(slow.c, half[:40])
	waitUntil(func() bool { return partialCallBuffered(g) })
	_, _ = io.WriteString(pipelined.c, numbered(1, post("lookup", ""))+numbered(2, post("lookup", ""))+numbered(3, post("lookup", "")))
	waitUntil(func() bool { return g.count("taken.") == 1 })
	g.do(g.httpFront.Drain)
	close(hold)
	await(t, seen)
	for n := range 3 {
		got, _ := pipelined.answer()
		assertEqual(t, fmt.Sprintf("call %d", n+1), got, `200 {"result":[]}`)
	}
	pipelined.expectClose()
	got, _ := slow.call(half[40:])
	assertEqual(t, "call that had arrived in part", got, `200 {"result":[]}`)
	slow.expectClose()
}

// TestNoResetAfterAnAnswer guards against a reset that overtakes the last answer, as happens when a connection
// is closed with unread bytes: the connection must close without one.
func TestNoResetAfterAnAnswer(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	call := post("lookup", "Connection: close\r\n") + strings.Repeat(healthCall, 8000)
	go func() { _, _ = io.WriteString(k.c, call) }()
	got, _ := k.answer()
	assertEqual(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	k.expectClose()
}

// whileConnecting sends a call whose attempt has to wait for its connection, and runs f meanwhile: what f posts
// to the loop runs after the call was accepted and before the loop handles the connection, which is established
// by then.
func whileConnecting(t *testing.T, g *gateway, f func(k *httpClient, find func(*httpClient) *netio.Conn)) *httpClient {
	t.Helper()
	k := httpConnect(t, g.addr)
	k.call(healthCall)
	g.whileLoopBlocked(func(find func(*httpClient) *netio.Conn) {
		_, _ = io.WriteString(k.c, post("lookup", ""))
		waitUntil(func() bool { return find(k).Unread() > 0 })
		f(k, find)
	})
	return k
}

// TestClientLeavesBeforeItsConnectionIsUp guards against work for a client that disconnected while its attempt
// waited for a connection, with cancels not allowed: the attempt must never be sent.
func TestClientLeavesBeforeItsConnectionIsUp(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := newGateway(t, func(s *policy.Settings) { s.Limits.AllowCancel = false }).startHTTP(addr)
	whileConnecting(t, g, func(k *httpClient, find func(*httpClient) *netio.Conn) {
		c := find(k)
		_ = k.c.Close()
		waitUntil(c.Disconnected)
	})
	waitUntil(func() bool { return g.count("ended.") == 1 })
	if n := g.count("ended.not-sent"); n != 1 {
		t.Errorf("got %d attempts that ended as not sent, want 1", n)
	}
	expectNoRequest(t, seen)
}

// TestEngineDrainsBeforeItsConnectionIsUp guards against an attempt sent to an engine that began to drain while
// the attempt waited for a connection to it: another engine must get the request.
func TestEngineDrainsBeforeItsConnectionIsUp(t *testing.T) {
	drains, seen := lineEngine(t, func(line string) string { return done(line, "") })
	other, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := httpGateway(t, drains)
	k := whileConnecting(t, g, func(*httpClient, func(*httpClient) *netio.Conn) {
		g.loop.Post(func() {
			g.updateEnginesOnLoop(policy.EngineDraining, drains)
			g.updateEnginesOnLoop(policy.EngineLive, other)
		})
	})
	got, _ := k.answer()
	assertEqual(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	expectNoRequest(t, seen)
}

// TestTimeoutOfAPipelinedCall guards against sending a pipelined call whose timeout has passed. The timeout runs
// from the call's last byte; a call that reaches its turn too late is answered at once and never sent.
func TestTimeoutOfAPipelinedCall(t *testing.T) {
	hold := make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		<-hold
		return done(line, "")
	})
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	brief := strings.Replace(numbered(2, post("lookup", "")), "2000", "100", 1)
	_, _ = io.WriteString(k.c, numbered(1, post("lookup", ""))+brief)
	waitUntil(func() bool { return g.count("taken.") == 1 })
	expired := time.Now().Add(150 * time.Millisecond)
	waitUntil(func() bool { return time.Now().After(expired) })
	close(hold)
	got, _ := k.answer()
	assertEqual(t, "first call", got, `200 {"result":[]}`)
	got, _ = k.answer()
	assertEqual(t, "call whose timeout had passed", got, `503 {"fault":"Busy"}`)
	await(t, seen)
	expectNoRequest(t, seen)
}

// TestAnswerThatNeverEnds guards against an engine that holds a request by sending its answer byte by byte
// without end: the connection is closed long before the request's timeout, with all attempts on it.
func TestAnswerThatNeverEnds(t *testing.T) {
	engine := listen(t, func(c net.Conn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, err := io.WriteString(c, id+" DONE batches=1 16000\r\n")
		for err == nil { // often enough that the connection does not count as stalled
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, "a")
		}
	})
	g := httpGateway(t, engine)
	got, _ := httpConnect(t, g.addr).call(strings.Replace(post("write", ""), "2000", "9000", 1)) // a write runs at most once
	assertEqual(t, "answer", got, `500 {"fault":"Failed"}`)
	if n := g.count("ended.garbage"); n != 1 {
		t.Errorf("got %d attempts that ended as garbage, want 1", n)
	}
}

// TestIdleConnectionClosesUnderARequest guards against failing a request because the engine closed an idle
// connection just before it was to be written there. Nothing of it has left, so that even a request that may run
// at most once goes out on another connection.
func TestIdleConnectionClosesUnderARequest(t *testing.T) {
	idle := make(chan net.Conn, 4)
	addr := listen(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "want ") {
				_, _ = io.WriteString(c, done(line, "a\tb\tc\n"))
				idle <- c
			}
		}
	})
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	k.call(post("write", ""))
	c := await(t, idle)
	g.whileLoopBlocked(func(find func(*httpClient) *netio.Conn) {
		_, _ = io.WriteString(k.c, numbered(2, post("write", "")))
		waitUntil(func() bool { return find(k).Unread() > 0 })
		link := g.conn(addr)
		_ = c.Close()
		waitUntil(link.Disconnected)
	})
	got, _ := k.answer()
	assertEqual(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	if n := g.count("sent."); n != 2 {
		t.Errorf("got %d attempts sent, want 2: one for each request", n)
	}
}

// TestIdleConnectionClosesUnderAStatement guards against failing a PostgreSQL statement because the engine
// closed an idle connection just before the statement was to be written there. Nothing of it has left, so that
// even a statement that may run at most once goes out on another connection.
func TestIdleConnectionClosesUnderAStatement(t *testing.T) {
	addr, seen := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	const text = "DELETE FROM stock_1.parts"
	k.send(query(text))
	assertEqual(t, "first", k.until('Z'), "T D(a) C(SELECT 1) Z")
	first := await(t, seen)
	g.do(func() {
		k.send(query(text))
		waitUntil(func() bool { return g.conn(k.c.LocalAddr().String()).Unread() > 0 })
		link := g.conn(addr)
		first.end()
		waitUntil(link.Disconnected)
	})
	assertEqual(t, "second", k.until('Z'), "T D(a) C(SELECT 1) Z")
	if sent, failed := g.count("sent."), g.count("ended.reset"); sent != 2 || failed != 0 {
		t.Errorf("got %d attempts sent and %d reset, want 2 and 0", sent, failed)
	}
}

// TestClientLeavesWhileTheEngineDoesNotRead guards against sending requests of disconnected clients. The
// engine does not read, so that what is written for it waits in the gateway; the request of a client that comes
// and disconnects meanwhile must never reach the engine.
func TestClientLeavesWhileTheEngineDoesNotRead(t *testing.T) {
	stopped, reads := make(chan struct{}, 100), make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		switch {
		case strings.HasPrefix(line, fmt.Sprintf("want %016x", 1)):
			return done(line, "")
		case strings.HasPrefix(line, "want "):
			stopped <- struct{}{}
			<-reads
			return done(line, "")
		}
		return ""
	})
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	got, _ := k.call(numbered(1, post("lookup", "")))
	assertEqual(t, "first", got, `200 {"result":[]}`)
	shrinkSocketBuffers(t, addr)
	long := postText("lookup", "", "SELECT 1"+strings.Repeat(" ", 90000))
	for n := 2; n <= 3; n++ { // the engine stops at the first, and the kernel buffers only a part of the second
		_, _ = io.WriteString(httpConnect(t, g.addr).c, numbered(n, long))
		waitUntil(func() bool { return g.count("sent.") == int64(n) })
		if n == 2 {
			await(t, stopped)
		}
	}
	waitUntil(func() bool { return g.writePending(addr) })
	gone := httpConnect(t, g.addr)
	_, _ = io.WriteString(gone.c, numbered(4, post("lookup", "")))
	waitUntil(func() bool { return g.count("sent.") == 4 })
	_ = gone.c.Close()
	waitUntil(func() bool { return g.count("gone.") == 1 })
	close(reads)
	got, _ = k.call(numbered(5, strings.Replace(post("lookup", ""), "2000", "6000", 1))) // through the small buffers it takes 2.4 s
	assertEqual(t, "request after the engine reads again", got, `200 {"result":[]}`)
	for line := ""; !strings.Contains(line, fmt.Sprintf("%016x", 5)); {
		if line = await(t, seen); strings.Contains(line, fmt.Sprintf("%016x", 4)) {
			t.Errorf("engine: got %.40q, want nothing of request 4", line)
		}
	}
}

// shrinkSocketBuffers limits the kernel's buffers of the connections to an address to less than a long
// statement. Both ends belong to this process.
func shrinkSocketBuffers(t *testing.T, addr string) {
	t.Helper()
	at := netip.MustParseAddrPort(addr)
	isAddr := func(a syscall.Sockaddr, err error) bool {
		in, ok := a.(*syscall.SockaddrInet4)
		return err == nil && ok && netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)) == at
	}
	ends := 0
	for fd := range 1024 {
		peer, err := syscall.Getpeername(fd)
		own, ownErr := syscall.Getsockname(fd)
		for _, end := range []struct {
			matches bool
			option  int
		}{{isAddr(peer, err), syscall.SO_SNDBUF}, {err == nil && isAddr(own, ownErr), syscall.SO_RCVBUF}} {
			if end.matches && syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, end.option, 4096) == nil {
				ends++
			}
		}
	}
	if ends < 2 {
		t.Fatalf("got %d ends of connections to %s, want at least 2", ends, addr)
	}
}

// writePending reports whether bytes for the peer at an address wait in the gateway.
func (g *gateway) writePending(addr string) (pending bool) {
	g.do(func() { pending = g.conn(addr).Pending() > 0 })
	return pending
}

// TestRepeatedRequestAsItsConnectionBreaks guards against rejecting a repeated request as a duplicate of an open
// ID: its connection broke, and the client repeats it on a new one before the loop has handled the break.
func TestRepeatedRequestAsItsConnectionBreaks(t *testing.T) {
	first := true
	addr, seen := lineEngine(t, func(line string) string {
		if first || strings.HasPrefix(line, "never_mind") {
			first = false
			return ""
		}
		return done(line, "a\tb\tc\n")
	})
	g := httpGateway(t, addr)
	k, again := httpConnect(t, g.addr), httpConnect(t, g.addr)
	again.call(healthCall)
	_, _ = io.WriteString(k.c, post("lookup", ""))
	await(t, seen)
	g.whileLoopBlocked(func(find func(*httpClient) *netio.Conn) {
		broken := find(k)
		_, _ = io.WriteString(again.c, post("lookup", ""))
		waitUntil(func() bool { return find(again).Unread() > 0 })
		_ = k.c.Close()
		waitUntil(broken.Disconnected)
	})
	got, _ := again.answer()
	assertEqual(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
}

// TestBurstOfClientsThatLeave guards against work for clients that have disconnected: hundreds send a call and
// leave before any is handled. No attempt is sent, although an established connection to the engine is idle.
func TestBurstOfClientsThatLeave(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string { return done(line, "") })
	g := httpGateway(t, addr)
	first := httpConnect(t, g.addr)
	first.call(post("lookup", ""))
	await(t, seen)
	var burst []*httpClient
	for range 200 {
		k := httpConnect(t, g.addr)
		k.call(healthCall)
		burst = append(burst, k)
	}
	g.whileLoopBlocked(func(find func(*httpClient) *netio.Conn) {
		for i, k := range burst {
			c := find(k)
			_, _ = io.WriteString(k.c, numbered(i+1, post("lookup", "")))
			waitUntil(func() bool { return c.Unread() > 0 })
			_ = k.c.Close()
			waitUntil(c.Disconnected)
		}
	})
	waitUntil(func() bool { return g.count("gone.")+g.count("answered.") == 201 })
	expectNoRequest(t, seen)
}

// TestCallAfterTheListenerCloses guards against dropping clients that were accepted before the listener closed:
// their calls are answered, and idle ones see the connection close at the drain.
func TestCallAfterTheListenerCloses(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := httpGateway(t, addr)
	k, silent := httpConnect(t, g.addr), httpConnect(t, g.addr)
	waitUntil(func() bool { return g.count("rest.connections") == 2 })
	g.do(g.httpFront.CloseListener)
	got, _ := k.call(post("lookup", ""))
	assertEqual(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	g.do(g.httpFront.Drain)
	k.expectClose()
	silent.expectClose()
	waitUntil(func() bool { return g.idle() })
}

// idle reports whether all clients have had their answers and have disconnected.
func (g *gateway) idle() (idle bool) {
	g.do(func() { idle = g.httpFront.Idle() })
	return idle
}
