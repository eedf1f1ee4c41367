package eventbus

import (
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

type told struct {
	mode policy.ListMode
	list []core.Engine
}

type recorder chan told

func (r recorder) UpdateEndpoints(mode policy.ListMode, list []core.Engine) { r <- told{mode, list} }

func frame(number uint64, kind byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	return append(b, payload...)
}

func record(id uint32, port uint16, state byte, boot uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = binary.BigEndian.AppendUint16(append(b, 127, 0, 0, 9), port)
	b = append(b, state, 1, 0, 0, 3, 0, 0, 3, 232)
	return binary.BigEndian.AppendUint64(b, boot)
}

// The bus dies between two events, in the middle of a frame, and comes back: the
// follower resumes from the last number that it has taken. What it is told twice
// counts once, and garbage ends the connection alone.
func TestResumesFromTheLastNumber(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	starts := make(chan uint64, 10)
	scripts := [][]byte{
		append(frame(4, 1, record(7, 70, 0, 0)...), frame(5, 2, record(8, 80, 0, 5000)...)[:20]...),
		append(frame(0, 0), frame(5, 9)...),
		append(frame(4, 1), frame(5, 2, record(8, 80, 1, 5000)...)...),
	}
	go func() {
		for _, s := range scripts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var b [8]byte
			_, _ = io.ReadFull(c, b[:])
			starts <- binary.BigEndian.Uint64(b[:])
			_, _ = c.Write(s)
			if len(starts) < len(scripts) {
				c.Close()
			}
		}
	}()
	loop, err := netio.New(1024)
	if err != nil {
		t.Fatal(err)
	}
	news := make(recorder, 10)
	f := New(loop, ln.Addr().String(), 3, []string{"a", "b"}, []string{"std"}, news, metrics.New(), slog.New(slog.DiscardHandler))
	loop.Post(f.Start)
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	defer func() { loop.Post(func() { f.Stop(); loop.Stop() }); <-done }()
	var got []told
	for len(got) < 2 {
		select {
		case n := <-news:
			got = append(got, n)
		case <-time.After(10 * time.Second):
			t.Fatalf("told only %v", got)
		}
	}
	one := core.Engine{Addr: "127.0.0.9:70", Engine: policy.Engine{ID: "s-00000007", Zone: "b", Kind: "std", Cell: 3, State: policy.EngineLive}}
	two := core.Engine{Addr: "127.0.0.9:80", Engine: policy.Engine{ID: "s-00000008", Zone: "b", Kind: "std", Cell: 3,
		State: policy.EngineDraining, Started: 5 * time.Second, StartKnown: true}}
	want := []told{{policy.ListFull, []core.Engine{one}}, {policy.ListChanges, []core.Engine{two}}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(told{})); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint64{3, 4, 4}, []uint64{<-starts, <-starts, <-starts}); diff != "" {
		t.Error("numbers told on connecting:", diff)
	}
}

// A bus that vanishes without a word is given up, and connected to anew, also where connections have taken all
// descriptors that they may.
func TestSilentBus(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop, err := netio.New(1024)
	if err != nil {
		t.Fatal(err)
	}
	f := New(loop, ln.Addr().String(), 0, nil, nil, make(recorder, 1), metrics.New(), slog.New(slog.DiscardHandler))
	f.quiet = 50 * time.Millisecond
	if err := loop.LimitDescriptors(1, 0); err != nil {
		t.Fatal(err)
	}
	loop.Post(f.Start)
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	defer func() { loop.Post(func() { f.Stop(); loop.Stop() }); <-done }()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	for range 2 { // both stay open
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
}

// Frames from a broken bus are refused, never read past their end.
func FuzzParse(f *testing.F) {
	f.Add(frame(4, 2, record(7, 70, 0, 0)...))
	f.Add([]byte{0, 0, 0, 1, 0})
	follower := &Follower{}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, payload, n, err := parse(b)
		if n > len(b) || err != nil && n != 0 {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		if list, err := follower.records(payload); err == nil && len(list)*recordLen != len(payload) {
			t.Fatalf("%d records of %d bytes", len(list), len(payload))
		}
	})
}
