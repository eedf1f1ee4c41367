package netio

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"
)

// These tests are for the race detector: what a type lets any goroutine call is called while the loop's and the
// poller's goroutines work.

const (
	testGoroutines = 4
	testCalls      = 50
)

// fromGoroutines calls f on several goroutines, some times on each, and returns when all have ended.
func fromGoroutines(f func()) {
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

// onLoop calls f on the loop's goroutine and returns after it.
func onLoop(t *testing.T, l *Loop, f func()) {
	t.Helper()
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	await(t, "call on the loop", done)
}

// echo is a handler that sends back what it is told.
type echo struct{ closed chan error }

func (h echo) Data(c *Conn, in *Buffer) {
	c.Write(in.Bytes())
	in.Consume(in.Len())
}

func (h echo) Closed(_ *Conn, err error) { h.closed <- err }

// exchange writes and reads back what an echo returns, until stop is closed.
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

// Other goroutines post, read and set the buffer budget and ask whether a connection has ended, while bytes come
// and go: each posted function runs once, on one goroutine.
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
	c := await(t, "connection", conns)
	stop, exchanged := make(chan struct{}), make(chan error, 1)
	go func() { exchanged <- exchange(client, stop) }()
	ran := 0 // without a lock: the loop's goroutine alone changes it
	fromGoroutines(func() {
		l.Post(func() { ran++ })
		l.work.postFirst(func() { ran++ })
		l.SetBufferBudget(DefaultBufferBudget)
		if l.BufferedBytes() < 0 {
			t.Error("the buffers hold less than nothing")
		}
		if c.Disconnected() {
			t.Error("the connection has ended")
		}
		runtime.Gosched()
	})
	onLoop(t, l, func() {
		if want := 2 * testGoroutines * testCalls; ran != want {
			t.Errorf("%d functions ran, want %d", ran, want)
		}
	})
	close(stop)
	if err := await(t, "end of the exchange", exchanged); err != nil {
		t.Error(err)
	}
	_ = client.Close()
	_ = await(t, "end", h.closed)
}

// Other goroutines pause and resume a listener and ask for its address while clients come: all are accepted in the end. Two
// close it at once.
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
	fromGoroutines(func() {
		ln.Pause()
		runtime.Gosched()
		ln.Resume()
	})
	ln.Resume()
	if err := await(t, "end of dialling", dialed); err != nil {
		t.Fatal(err)
	}
	for range clients {
		await(t, "connection", accepted)
	}
	var closers sync.WaitGroup
	for range 2 {
		closers.Go(func() { _ = ln.Close() }) // the second finds it closed
	}
	closers.Wait()
}

// Other goroutines send datagrams and ask how many were dropped while the socket is read, and close it.
func TestDatagramSocketFromOtherGoroutines(t *testing.T) {
	l := startLoop(t)
	received := 0 // without a lock: the loop's goroutine alone changes it
	d, err := l.ListenDatagrams("127.0.0.1:0", func(netip.AddrPort, []byte) { received++ })
	if err != nil {
		t.Fatal(err)
	}
	fromGoroutines(func() {
		if err := d.Send(d.Addr(), []byte("x")); err != nil {
			t.Error(err)
		}
		if d.Dropped() < 0 {
			t.Error("fewer than none were dropped")
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
			t.Fatalf("of %d datagrams some never came", sent)
		}
	}
	fromGoroutines(d.Close)
}
