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

// The instants in which something ends: what came before is settled, what comes after is nobody's.

const healthCall = "GET /health HTTP/1.1\r\n\r\n"

// meanwhile has the loop stand still in the middle of a turn while f runs, as it does under load: what the
// poller reads waits for the next turn. f is given what looks a client's connection up.
func (g *gateway) meanwhile(f func(find func(*httpClient) *netio.Conn)) {
	g.do(func() { f(func(k *httpClient) *netio.Conn { return g.conn(k.c.LocalAddr().String()) }) })
}

// conn is the connection whose peer is at an address. It is for the loop.
func (g *gateway) conn(addr string) *netio.Conn {
	for c := range g.loop.Conns() {
		if c.RemoteAddr() == addr {
			return c
		}
	}
	g.t.Error("no such connection")
	return nil
}

// until spins until something holds that another goroutine brings about.
func until(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}

// ends fails unless the connection ends, in good order, without another word.
func (k *httpClient) ends() {
	k.t.Helper()
	if b, err := io.ReadAll(k.r); err != nil || len(b) > 0 {
		k.t.Errorf("the connection goes on with %q, %v", b, err)
	}
}

// unasked fails if an engine was asked anything.
func unasked(t *testing.T, seen chan string) {
	t.Helper()
	select {
	case line := <-seen:
		t.Errorf("the engine was asked %q", line)
	default:
	}
}

// numbered is a call under another id.
func numbered(n int, call string) string {
	return strings.Replace(call, id, fmt.Sprintf("%016x", n), 1)
}

// A call lies read and not yet handled when its resting connection is ended: it is never sent on, as its
// client hears of the end and brings it again.
func TestCallInTheMomentOfADrain(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string { return done(line, "") })
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	k.call(healthCall)
	g.meanwhile(func(find func(*httpClient) *netio.Conn) {
		_, _ = io.WriteString(k.c, post("lookup", ""))
		until(func() bool { return find(k).Unread() > 0 })
		g.rest.Drain()
	})
	k.ends()
	if n := g.count("taken."); n != 0 {
		t.Errorf("%d taken, want none", n)
	}
	unasked(t, seen)
}

// A drain waits for a call that has come in part, and answers all that a client wrote ahead before it
// ends the connection, which the last answer tells.
func TestDrainAmongCalls(t *testing.T) {
	hold := make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		if strings.HasPrefix(line, fmt.Sprintf("want %016x", 1)) {
			<-hold
		}
		return done(line, "")
	})
	g := platform(t, addr)
	slow, ahead := httpConnect(t, g.addr), httpConnect(t, g.addr)
	half := numbered(9, post("lookup", ""))
	_, _ = io.WriteString(slow.c, half[:40])
	until(func() bool { return begun(g) })
	_, _ = io.WriteString(ahead.c, numbered(1, post("lookup", ""))+numbered(2, post("lookup", ""))+numbered(3, post("lookup", "")))
	until(func() bool { return g.count("taken.") == 1 })
	g.do(g.rest.Drain)
	close(hold)
	await(t, seen)
	for n := range 3 {
		got, _ := ahead.answer()
		same(t, fmt.Sprintf("call %d", n+1), got, `200 {"result":[]}`)
	}
	ahead.ends()
	got, _ := slow.call(half[40:])
	same(t, "what had come in part", got, `200 {"result":[]}`)
	slow.ends()
}

// Bytes lie unread when a connection ends behind its answer: it ends without a reset, which could
// overtake the answer.
func TestNoResetBehindAnAnswer(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	call := post("lookup", "Connection: close\r\n") + strings.Repeat(healthCall, 8000)
	go func() { _, _ = io.WriteString(k.c, call) }()
	got, _ := k.answer()
	same(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	k.ends()
}

// waiting has a call's attempt wait for its connection while f comes about: what f posts runs once the call
// was taken, and before the connection, which is up by then, is the loop's.
func waiting(t *testing.T, g *gateway, f func(k *httpClient, find func(*httpClient) *netio.Conn)) *httpClient {
	t.Helper()
	k := httpConnect(t, g.addr)
	k.call(healthCall)
	g.meanwhile(func(find func(*httpClient) *netio.Conn) {
		_, _ = io.WriteString(k.c, post("lookup", ""))
		until(func() bool { return find(k).Unread() > 0 })
		f(k, find)
	})
	return k
}

// A client leaves while its attempt waits for a connection, and the settings allow no cancels: the
// attempt never begins.
func TestClientLeavesBeforeItsConnectionIsUp(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := newGateway(t, func(s *policy.Settings) { s.Limits.AllowCancel = false }).platform(addr)
	waiting(t, g, func(k *httpClient, find func(*httpClient) *netio.Conn) {
		c := find(k)
		_ = k.c.Close()
		until(c.Disconnected)
	})
	until(func() bool { return g.count("ended.") == 1 })
	if n := g.count("ended.not-sent"); n != 1 {
		t.Errorf("%d ended as not sent, want the attempt", n)
	}
	unasked(t, seen)
}

// An engine is told to drain while an attempt waits for a connection to it: the attempt never begins
// there, and another engine has the request.
func TestEngineDrainsBeforeItsConnectionIsUp(t *testing.T) {
	drains, seen := lineEngine(t, func(line string) string { return done(line, "") })
	other, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := platform(t, drains)
	k := waiting(t, g, func(*httpClient, func(*httpClient) *netio.Conn) {
		g.loop.Post(func() {
			g.hear(policy.EngineDraining, drains)
			g.hear(policy.EngineLive, other)
		})
	})
	got, _ := k.answer()
	same(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	unasked(t, seen)
}

// A client writes calls ahead on one connection. The time of each runs from its last byte: one whose time is
// over before its turn is answered at once, and is never sent.
func TestTimeOfACallWrittenAhead(t *testing.T) {
	hold := make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		<-hold
		return done(line, "")
	})
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	brief := strings.Replace(numbered(2, post("lookup", "")), "2000", "100", 1)
	_, _ = io.WriteString(k.c, numbered(1, post("lookup", ""))+brief)
	until(func() bool { return g.count("taken.") == 1 })
	over := time.Now().Add(150 * time.Millisecond)
	until(func() bool { return time.Now().After(over) })
	close(hold)
	got, _ := k.answer()
	same(t, "the first", got, `200 {"result":[]}`)
	got, _ = k.answer()
	same(t, "the one whose time was over", got, `503 {"fault":"Busy"}`)
	await(t, seen)
	unasked(t, seen)
}

// An answer comes byte by byte and never ends: its connection ends all the same, long before the request's
// time is over, and with it all that was open there.
func TestAnswerThatNeverEnds(t *testing.T) {
	drip := listen(t, func(c net.Conn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, err := io.WriteString(c, id+" DONE batches=1 16000\r\n")
		for err == nil { // often enough not to stand still
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, "a")
		}
	})
	g := platform(t, drip)
	got, _ := httpConnect(t, g.addr).call(strings.Replace(post("write", ""), "2000", "9000", 1)) // once at most
	same(t, "answer", got, `500 {"fault":"Failed"}`)
	if n := g.count("ended.garbage"); n != 1 {
		t.Errorf("%d ended as garbage, want the attempt", n)
	}
}

// An engine closes a resting connection just as a request is about to be written on it: nothing of the request has
// left, so that even one that may run once at most goes out on another connection.
func TestRestingConnectionEndsUnderARequest(t *testing.T) {
	resting := make(chan net.Conn, 4)
	addr := listen(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "want ") {
				_, _ = io.WriteString(c, done(line, "a\tb\tc\n"))
				resting <- c
			}
		}
	})
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	k.call(post("write", ""))
	c := await(t, resting)
	g.meanwhile(func(find func(*httpClient) *netio.Conn) {
		_, _ = io.WriteString(k.c, numbered(2, post("write", "")))
		until(func() bool { return find(k).Unread() > 0 })
		link := g.conn(addr)
		_ = c.Close()
		until(link.Disconnected)
	})
	got, _ := k.answer()
	same(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	if n := g.count("sent."); n != 2 {
		t.Errorf("%d sent, want one for each", n)
	}
}

// The same between statements of PostgreSQL: what runs once at most goes out on another connection.
func TestRestingConnectionEndsUnderAStatement(t *testing.T) {
	addr, seen := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	const text = "DELETE FROM stock_1.parts"
	k.send(query(text))
	same(t, "first", k.until('Z'), "T D(a) C(SELECT 1) Z")
	first := await(t, seen)
	g.do(func() {
		k.send(query(text))
		until(func() bool { return g.conn(k.c.LocalAddr().String()).Unread() > 0 })
		link := g.conn(addr)
		first.end()
		until(link.Disconnected)
	})
	same(t, "second", k.until('Z'), "T D(a) C(SELECT 1) Z")
	if sent, failed := g.count("sent."), g.count("ended.reset"); sent != 2 || failed != 0 {
		t.Errorf("%d sent, %d reset, want 2 and none", sent, failed)
	}
}

// An engine does not read, and what is written for it waits here. A client that comes then and leaves again has never
// been heard of by the engine, when it reads on.
func TestClientLeavesBehindAnEngineThatDoesNotRead(t *testing.T) {
	stands, reads := make(chan struct{}, 100), make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		switch {
		case strings.HasPrefix(line, fmt.Sprintf("want %016x", 1)):
			return done(line, "")
		case strings.HasPrefix(line, "want "):
			stands <- struct{}{}
			<-reads
			return done(line, "")
		}
		return ""
	})
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	got, _ := k.call(numbered(1, post("lookup", "")))
	same(t, "first", got, `200 {"result":[]}`)
	keepLittle(t, addr)
	long := postText("lookup", "", "SELECT 1"+strings.Repeat(" ", 90000))
	for n := 2; n <= 3; n++ { // the engine stands still with one, and the system takes but a part of the other
		_, _ = io.WriteString(httpConnect(t, g.addr).c, numbered(n, long))
		until(func() bool { return g.count("sent.") == int64(n) })
		if n == 2 {
			await(t, stands)
		}
	}
	until(func() bool { return g.waits(addr) })
	gone := httpConnect(t, g.addr)
	_, _ = io.WriteString(gone.c, numbered(4, post("lookup", "")))
	until(func() bool { return g.count("sent.") == 4 })
	_ = gone.c.Close()
	until(func() bool { return g.count("gone.") == 1 })
	close(reads)
	got, _ = k.call(numbered(5, strings.Replace(post("lookup", ""), "2000", "6000", 1))) // in small pieces it takes 2.4 s
	same(t, "one that comes later", got, `200 {"result":[]}`)
	for line := ""; !strings.Contains(line, fmt.Sprintf("%016x", 5)); {
		if line = await(t, seen); strings.Contains(line, fmt.Sprintf("%016x", 4)) {
			t.Errorf("the engine was told %.40q", line)
		}
	}
}

// keepLittle has the system keep little of what is written on connections to an address, whose both ends are this
// process's: less than a long statement.
func keepLittle(t *testing.T, addr string) {
	t.Helper()
	at := netip.MustParseAddrPort(addr)
	is := func(a syscall.Sockaddr, err error) bool {
		in, ok := a.(*syscall.SockaddrInet4)
		return err == nil && ok && netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)) == at
	}
	ends := 0
	for fd := range 1024 {
		peer, err := syscall.Getpeername(fd)
		own, ownErr := syscall.Getsockname(fd)
		for _, end := range []struct {
			is     bool
			option int
		}{{is(peer, err), syscall.SO_SNDBUF}, {err == nil && is(own, ownErr), syscall.SO_RCVBUF}} {
			if end.is && syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, end.option, 4096) == nil {
				ends++
			}
		}
	}
	if ends < 2 {
		t.Fatalf("%d ends of a connection to %s", ends, addr)
	}
}

// waits tells whether something that is written waits for the peer at an address.
func (g *gateway) waits(addr string) (does bool) {
	g.do(func() { does = g.conn(addr).Pending() > 0 })
	return does
}

// A connection breaks under a request, and its client brings the same again on a new one before the break has had its turn:
// that is no second request under an id that is open.
func TestTheSameAgainAsItsConnectionBreaks(t *testing.T) {
	first := true
	addr, seen := lineEngine(t, func(line string) string {
		if first || strings.HasPrefix(line, "never_mind") {
			first = false
			return ""
		}
		return done(line, "a\tb\tc\n")
	})
	g := platform(t, addr)
	k, again := httpConnect(t, g.addr), httpConnect(t, g.addr)
	again.call(healthCall)
	_, _ = io.WriteString(k.c, post("lookup", ""))
	await(t, seen)
	g.meanwhile(func(find func(*httpClient) *netio.Conn) {
		broken := find(k)
		_, _ = io.WriteString(again.c, post("lookup", ""))
		until(func() bool { return find(again).Unread() > 0 })
		_ = k.c.Close()
		until(broken.Disconnected)
	})
	got, _ := again.answer()
	same(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
}

// Hundreds of clients send a call and are gone before any has had its turn: no attempt begins, though a connection to an
// engine stands ready.
func TestBurstOfClientsThatLeave(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string { return done(line, "") })
	g := platform(t, addr)
	first := httpConnect(t, g.addr)
	first.call(post("lookup", ""))
	await(t, seen)
	var burst []*httpClient
	for range 200 {
		k := httpConnect(t, g.addr)
		k.call(healthCall)
		burst = append(burst, k)
	}
	g.meanwhile(func(find func(*httpClient) *netio.Conn) {
		for i, k := range burst {
			c := find(k)
			_, _ = io.WriteString(k.c, numbered(i+1, post("lookup", "")))
			until(func() bool { return c.Unread() > 0 })
			_ = k.c.Close()
			until(c.Disconnected)
		}
	})
	until(func() bool { return g.count("gone.")+g.count("answered.") == 201 })
	unasked(t, seen)
}

// A client that was accepted before the listener closed has its call answered, and one that is told to go in the middle of
// nothing sees the end.
func TestCallBehindTheListenersClose(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := platform(t, addr)
	k, silent := httpConnect(t, g.addr), httpConnect(t, g.addr)
	until(func() bool { return g.count("rest.connections") == 2 })
	g.do(g.rest.CloseListener)
	got, _ := k.call(post("lookup", ""))
	same(t, "answer", got, `200 {"result":[["a","b","c"]]}`)
	g.do(g.rest.Drain)
	k.ends()
	silent.ends()
	until(func() bool { return g.idle() })
}

// idle tells whether all clients have had all of their answers, and have gone.
func (g *gateway) idle() (yes bool) {
	g.do(func() { yes = g.rest.Idle() })
	return yes
}
