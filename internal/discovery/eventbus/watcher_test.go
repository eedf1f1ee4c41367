package eventbus

import (
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint/endpointtest"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// update is one call of an endpoint.Updater.
type update struct {
	mode    policy.ListMode
	engines []core.Engine
}

// recorder is an endpoint.Updater that sends each update on the channel.
type recorder chan update

func (r recorder) UpdateEndpoints(mode policy.ListMode, engines []core.Engine) {
	r <- update{mode, engines}
}

// EndpointsUnavailable and EndpointsCurrent implement endpoint.Updater.
func (recorder) EndpointsUnavailable(time.Duration) {}
func (recorder) EndpointsCurrent()                  {}

// run starts the watcher and its loop, and stops both at the end of the test.
func run(t *testing.T, loop *netio.Loop, w *Watcher) {
	t.Helper()
	loop.Post(w.Start)
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() {
		loop.Post(func() { w.Stop(); loop.Stop() })
		<-done
	})
}

// TestResumeAfterLastEvent checks that the watcher resumes after the last event applied when the bus
// fails between two events, in the middle of a frame. An event that is sent again is applied once, and
// an invalid frame ends only the connection.
func TestResumeAfterLastEvent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	resumedAfter := make(chan uint64, 10) // event number that each connection begins with
	responses := [][]byte{                // by connection; the last connection stays open
		append(appendFrame(4, 1, record(7, 70, 0, 0)...), appendFrame(5, 2, record(8, 80, 0, 5000)...)[:20]...),
		append(appendFrame(0, 0), appendFrame(5, 9)...),
		append(appendFrame(4, 1), appendFrame(5, 2, record(8, 80, 1, 5000)...)...),
	}
	go func() {
		for _, response := range responses {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var b [8]byte
			_, _ = io.ReadFull(c, b[:])
			resumedAfter <- binary.BigEndian.Uint64(b[:])
			_, _ = c.Write(response)
			if len(resumedAfter) < len(responses) {
				_ = c.Close()
			}
		}
	}()
	loop, err := netio.New(1024)
	if err != nil {
		t.Fatal(err)
	}
	updates := make(recorder, 10)
	opts := Options{Address: ln.Addr().String(), LastEvent: 3, Zones: []string{"a", "b"}, Kinds: []string{"std"}}
	run(t, loop, New(loop, opts, updates, metrics.New(), slog.New(slog.DiscardHandler)))
	var got []update
	for len(got) < 2 {
		select {
		case u := <-updates:
			got = append(got, u)
		case <-time.After(10 * time.Second):
			t.Fatalf("got the updates %v within 10 s, want 2", got)
		}
	}
	liveEngine := core.Engine{Addr: "127.0.0.9:70", Engine: policy.Engine{ID: "s-00000007", Zone: "b", Kind: "std", Cell: 3, State: policy.EngineLive}}
	drainingEngine := core.Engine{Addr: "127.0.0.9:80", Engine: policy.Engine{ID: "s-00000008", Zone: "b", Kind: "std", Cell: 3,
		State: policy.EngineDraining, Started: 5 * time.Second, StartKnown: true}}
	want := []update{{policy.ListFull, []core.Engine{liveEngine}}, {policy.ListChanges, []core.Engine{drainingEngine}}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(update{})); diff != "" {
		t.Errorf("updates (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]uint64{3, 4, 4}, []uint64{<-resumedAfter, <-resumedAfter, <-resumedAfter}); diff != "" {
		t.Errorf("event numbers sent on connecting (-want +got):\n%s", diff)
	}
}

// TestReconnectAfterSilence checks that the watcher closes a connection without frames and reconnects,
// even if connections already use all descriptors of their limit.
func TestReconnectAfterSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	loop, err := netio.New(1024)
	if err != nil {
		t.Fatal(err)
	}
	w := New(loop, Options{Address: ln.Addr().String()}, make(recorder, 1), metrics.New(), slog.New(slog.DiscardHandler))
	w.maxSilence = 50 * time.Millisecond
	if err := loop.LimitDescriptors(1, 0); err != nil {
		t.Fatal(err)
	}
	run(t, loop, w)
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	for range 2 { // the bus closes neither connection
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestAnotherBusAtTheAddress guards against an endpoint list that stands still: a new event bus at the address of one that
// has gone numbers its events anew, and all of them were taken for events that had been applied.
func TestAnotherBusAtTheAddress(t *testing.T) {
	list := appendFrame(2, 1, record(7, 70, 0, 0)...)
	change := appendFrame(3, 2, record(8, 80, 0, 0)...)
	for name, c := range map[string]struct {
		responses [][]byte // by connection; the last connection stays open
		asked     []uint64 // event number that each connection begins with
	}{
		"complete list first": {[][]byte{append(list, change...)}, []uint64{50}},
		"change first":        {[][]byte{change, append(list, change...)}, []uint64{50, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			asked := make(chan uint64, 10)
			go func() {
				for _, response := range c.responses {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					var b [8]byte
					_, _ = io.ReadFull(conn, b[:])
					asked <- binary.BigEndian.Uint64(b[:])
					_, _ = conn.Write(response)
				}
				_, _ = ln.Accept() // until the end of the test
			}()
			loop, err := netio.New(0)
			if err != nil {
				t.Fatal(err)
			}
			updates := make(recorder, 10)
			w := New(loop, Options{Address: ln.Addr().String(), LastEvent: 50, Zones: []string{"z"}, Kinds: []string{"k"}}, updates, metrics.New(), slog.New(slog.DiscardHandler))
			run(t, loop, w)
			for _, want := range []policy.ListMode{policy.ListFull, policy.ListChanges} {
				select {
				case got := <-updates:
					if got.mode != want || len(got.engines) != 1 {
						t.Errorf("update = %v, want mode %v with one engine", got, want)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("no update within 5 s, want mode %v", want)
				}
			}
			for _, want := range c.asked {
				if got := <-asked; got != want {
					t.Errorf("asked for events after %d, want %d", got, want)
				}
			}
		})
	}
}

// TestLostBusMakesTheListUnavailable checks that the endpoints are told when the connection to the bus ends, and when the
// next one has sent a frame, be it a heartbeat.
func TestLostBusMakesTheListUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for i := range 2 {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if i == 0 {
				_ = c.Close()
				continue
			}
			_, _ = c.Write(appendFrame(4, 0))
		}
	}()
	loop, err := netio.New(1024)
	if err != nil {
		t.Fatal(err)
	}
	list := make(endpointtest.Availability, 10)
	run(t, loop, New(loop, Options{Address: listener.Addr().String(), LastEvent: 4}, list, metrics.New(), slog.New(slog.DiscardHandler)))
	list.Expect(t, false, true)
}
