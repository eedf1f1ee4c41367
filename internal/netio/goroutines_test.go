package netio

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"
)

// These tests are meant for the race detector: they call the methods that any goroutine may call while the
// loop's and the poller's goroutines are at work.

const (
	testGoroutines = 4  // goroutines of callConcurrently
	testCalls      = 50 // calls on each of them
)

// callConcurrently calls f testCalls times on each of testGoroutines goroutines, and returns once all have ended.
func callConcurrently(f func()) {
	var all sync.WaitGroup
	for range testGoroutines {
		all.Go(func() {
			for range testCalls {
				f()
			}
		})
	}
	all.Wait()
}

// onLoop calls f on the loop's goroutine and returns once f has.
func onLoop(t *testing.T, l *Loop, f func()) {
	t.Helper()
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	await(t, "a call on the loop", done)
}

// echo is a handler that sends back its input. closed receives the error of Closed.
type echo struct{ closed chan error }

func (h echo) Data(c *Conn, in *Buffer) {
	c.Write(in.Bytes())
	in.Consume(in.Len())
}

func (h echo) Closed(_ *Conn, err error) { h.closed <- err }

// exchange writes single bytes and reads back their echo until stop is closed.
func exchange(client net.Conn, stop <-chan struct{}) error {
	b := make([]byte, 1)
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		if _, err := client.Write([]byte("x")); err != nil {
			return err
		}
		if _, err := client.Read(b); err != nil {
			return err
		}
	}
}

// While a client exchanges bytes with the loop, other goroutines post functions, set the buffer budget, read
// BufferedBytes and call Disconnected. Each posted function must run exactly once, on the loop's goroutine.
func TestLoopFromOtherGoroutines(t *testing.T) {
	l := startLoop(t)
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan *Conn, 1)
	h := echo{make(chan error, 1)}
	l.Serve(ln, 1<<10, 1, func(c *Conn) Handler {
		conns <- c
		return h
	})
	t.Cleanup(func() { _ = ln.Close() })
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := await(t, "a connection", conns)
	stop, exchanged := make(chan struct{}), make(chan error, 1)
	go func() { exchanged <- exchange(client, stop) }()
	ran := 0 // needs no lock, as only the loop's goroutine uses it
	callConcurrently(func() {
		l.Post(func() { ran++ })
		l.work.postFirst(func() { ran++ })
		l.SetBufferBudget(DefaultBufferBudget)
		if n := l.BufferedBytes(); n < 0 {
			t.Errorf("got BufferedBytes %d, want 0 or more", n)
		}
		if c.Disconnected() {
			t.Error("got a disconnected connection, want an open one")
		}
		runtime.Gosched()
	})
	onLoop(t, l, func() {
		if want := 2 * testGoroutines * testCalls; ran != want {
			t.Errorf("%d functions ran, want %d", ran, want)
		}
	})
	close(stop)
	if err := await(t, "the end of the exchange", exchanged); err != nil {
		t.Error(err)
	}
	_ = client.Close()
	_ = await(t, "the end", h.closed)
}

// Other goroutines pause and resume a listener while clients connect: all clients are accepted in the end. Then two
// goroutines close it at the same time.
func TestListenerFromOtherGoroutines(t *testing.T) {
	l := startLoop(t)
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const clients = 20
	accepted := make(chan struct{}, clients)
	l.Serve(ln, 1<<10, 0, func(*Conn) Handler {
		accepted <- struct{}{}
		return echo{make(chan error, 1)}
	})
	dialed := make(chan error, 1)
	go func() {
		for range clients {
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				dialed <- err
				return
			}
			defer func() { _ = client.Close() }()
		}
		dialed <- nil
	}()
	callConcurrently(func() {
		ln.Pause()
		runtime.Gosched()
		ln.Resume()
	})
	ln.Resume()
	if err := await(t, "the end of dialing", dialed); err != nil {
		t.Fatal(err)
	}
	for range clients {
		await(t, "a connection", accepted)
	}
	var closers sync.WaitGroup
	for range 2 {
		closers.Go(func() { _ = ln.Close() }) // the second call fails, as it is closed
	}
	closers.Wait()
}

// Other goroutines send datagrams and call Dropped while the socket is read: each datagram is received or counted as
// dropped. Then several goroutines close the socket.
func TestDatagramSocketFromOtherGoroutines(t *testing.T) {
	l := startLoop(t)
	received := 0 // needs no lock, as only the loop's goroutine uses it
	d, err := l.ListenDatagrams("127.0.0.1:0", func(netip.AddrPort, []byte) { received++ })
	if err != nil {
		t.Fatal(err)
	}
	callConcurrently(func() {
		if err := d.Send(d.Addr(), []byte("x")); err != nil {
			t.Error(err)
		}
		if n := d.Dropped(); n < 0 {
			t.Errorf("got Dropped %d, want 0 or more", n)
		}
	})
	const sent = testGoroutines * testCalls
	for deadline := time.Now().Add(awaitLimit); ; time.Sleep(time.Millisecond) {
		all := false
		onLoop(t, l, func() { all = received+int(d.Dropped()) >= sent })
		if all {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("got fewer than the %d sent datagrams received or dropped within %v", sent, awaitLimit)
		}
	}
	callConcurrently(d.Close)
}
