package mux

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"testing"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// end is one side of a link. It records what it receives, and may respond to requests.
type end struct {
	t         testing.TB
	link      *Link
	events    []string                              // responses, cancels and messages of the link itself, in order
	responses map[uint32][]byte                     // bodies by stream
	requests  map[uint32][]byte                     // statements by stream
	respond   func(stream uint32, statement []byte) // nil: no response
	pulling   bool                                  // Pull is running
}

// pull pulls output and marks that Pull is running.
func (e *end) pull(about int) []byte {
	e.pulling = true
	defer func() { e.pulling = false }()
	return e.link.Pull(nil, about)
}

func (e *end) HandleHello(g message.Hello) error {
	if g.Format != "lines" {
		return fmt.Errorf("format %q, want lines", g.Format)
	}
	return nil
}
func (e *end) HandleRequest(id uint32, _ message.Request, s []byte) {
	e.requests[id] = bytes.Clone(s)
	if e.respond != nil {
		e.respond(id, s)
	}
}
func (e *end) HandleResponse(id uint32, a message.Response, b []byte) {
	e.responses[id] = bytes.Clone(b)
	e.events = append(e.events, fmt.Sprintf("response %d %d", id, a.Verdict))
}
func (e *end) HandleCancel(id uint32) { e.events = append(e.events, fmt.Sprintf("cancel %d", id)) }
func (e *end) HandleLoadReport(d message.LoadReport) {
	e.events = append(e.events, fmt.Sprintf("load report %g", d.WorkSeconds))
}
func (e *end) HandleSentKeys(k message.SentKeys) {
	e.events = append(e.events, fmt.Sprintf("%d keys", len(k.Keys)))
}
func (e *end) HandlePong(n uint32) { e.events = append(e.events, fmt.Sprintf("pong %d", n)) }
func (e *end) HandleGoAway()       { e.events = append(e.events, "go away") }
func (e *end) OutputReady() {
	if e.pulling { // a nested Pull would overtake the outer one
		e.t.Fatal("OutputReady called within Pull, want no call")
	}
}

// must fails the test on an error.
func (e *end) must(err error) { e.t.Helper(); must(e.t, err) }

// must fails the test on an error.
func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// newEnd returns an end whose Hello is not pulled yet.
func newEnd(tb testing.TB, cfg Config) *end {
	tb.Helper()
	e := &end{t: tb, responses: map[uint32][]byte{}, requests: map[uint32][]byte{}}
	cfg.Hello = message.Hello{Site: "s", Gateway: "g", Format: "lines"}
	l, err := New(cfg, e)
	must(tb, err)
	e.link = l
	return e
}

// transfer moves output in both directions, in parts of the size that piece returns, until neither end has
// any.
func transfer(tb testing.TB, a, b *end, piece func() int) {
	tb.Helper()
	type direction struct {
		from, to *end
		buffered []byte // output that is not consumed yet
	}
	directions := []*direction{{a, b, nil}, {b, a, nil}}
	for moved := true; moved; {
		moved = false
		for _, d := range directions {
			out := d.from.pull(piece())
			moved = moved || len(out) > 0
			for len(out) > 0 {
				n := min(max(piece(), 1), len(out))
				d.buffered = append(d.buffered, out[:n]...)
				out = out[n:]
				consumed, err := d.to.link.Input(d.buffered)
				must(tb, err)
				d.buffered = d.buffered[consumed:]
			}
		}
	}
}

// pair returns two ends that have exchanged their Hello; a dialled.
func pair(tb testing.TB, cfg Config) (a, b *end) {
	tb.Helper()
	d := cfg
	d.Dialled = true
	a, b = newEnd(tb, d), newEnd(tb, cfg)
	transfer(tb, a, b, func() int { return 1 << 20 })
	return a, b
}

// Requests and responses of any size, transferred in parts of any size, arrive complete and unchanged.
// Afterwards no stream is open, no bytes are held and no output is pending.
func TestRequestsAndResponsesArriveComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{Window: 1 << rapid.IntRange(4, 17).Draw(rt, "window"), MaxHeldBytes: 1 << rapid.IntRange(10, 20).Draw(rt, "held")}
		a, b := pair(t, cfg)
		size := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(0, 150_000))
		want := map[uint32][]byte{}
		rejected := 0
		for _, e := range []*end{a, b} {
			e.respond = func(id uint32, s []byte) {
				e.must(e.link.Respond(id, message.Response{Verdict: 2, MayHaveRun: true}, bytes.Repeat(s, 2)))
			}
		}
		for range rapid.IntRange(1, 20).Draw(rt, "requests") {
			from := []*end{a, b}[rapid.IntRange(0, 1).Draw(rt, "side")]
			body := bytes.Repeat([]byte{byte(rapid.IntRange(1, 255).Draw(rt, "fill"))}, 1+size.Draw(rt, "size"))
			id, ok, err := from.link.Request(message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1}, body)
			if err != nil || !ok {
				rt.Fatalf("request: ok = %v, error %v; want true and no error", ok, err)
			}
			if rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
				from.link.Cancel(id)
				continue
			}
			want[id] = bytes.Repeat(body, 2)
		}
		pieces, n := rapid.SliceOfN(rapid.IntRange(500, 50_000), 1, 8).Draw(rt, "pieces"), 0
		transfer(t, a, b, func() int { n++; return pieces[n%len(pieces)] })
		got := map[uint32][]byte{}
		for _, e := range []*end{a, b} {
			for id, s := range e.responses {
				if len(s) == 0 { // rejected because a limit was reached; it has not run
					delete(want, id)
					rejected++
					continue
				}
				got[id] = s
			}
			if e.link.OpenStreams() != 0 || e.link.HeldBytes() != 0 || e.link.HasOutput() {
				rt.Fatalf("left over: %d streams, %d bytes held, output %v; want 0, 0, false", e.link.OpenStreams(), e.link.HeldBytes(), e.link.HasOutput())
			}
		}
		if !maps.EqualFunc(want, got, bytes.Equal) {
			rt.Fatalf("got %d responses, want %d with equal bodies; %d rejected", len(got), len(want), rejected)
		}
	})
}

// A large response does not starve others: a small response that is requested later overtakes it.
func TestSmallResponseOvertakesLarge(t *testing.T) {
	a, b := pair(t, Config{})
	b.respond = func(id uint32, s []byte) {
		b.must(b.link.Respond(id, message.Response{Verdict: 2, MayHaveRun: true}, bytes.Repeat([]byte("x"), len(s))))
	}
	large, _, err := a.link.Request(message.Request{ID: "large", Class: "c", RemainingUS: 1, MaxSends: 1}, make([]byte, 4<<20))
	must(t, err)
	for range 40 { // until b has received the request and has a part of the response to send
		transferOnce(t, a, b)
		if b.link.HasOutput() && len(b.requests) > 0 {
			break
		}
	}
	small, _, err := a.link.Request(message.Request{ID: "small", Class: "c", RemainingUS: 1, MaxSends: 1}, []byte("s"))
	must(t, err)
	transfer(t, a, b, func() int { return 32 << 10 })
	want := []string{fmt.Sprintf("response %d 2", small), fmt.Sprintf("response %d 2", large)}
	if diff := cmp.Diff(want, a.events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// transferOnce moves output once in each direction.
func transferOnce(t *testing.T, a, b *end) {
	t.Helper()
	for _, ends := range [][2]*end{{a, b}, {b, a}} {
		out := ends[0].pull(256 << 10)
		if n, err := ends[1].link.Input(out); err != nil || n != len(out) {
			t.Fatalf("consumed %d of %d bytes, error %v; want all and no error", n, len(out), err)
		}
	}
}

// Load reports, keys, pings, cancels and GoAway arrive, a request over MaxStreams is rejected, and a
// response to a cancelled request is counted as late.
func TestControlFrames(t *testing.T) {
	a, b := pair(t, Config{MaxStreams: 1})
	one, _, err := a.link.Request(message.Request{ID: "1", Class: "c", RemainingUS: 1, MaxSends: 1}, []byte("s"))
	must(t, err)
	two, _, err := a.link.Request(message.Request{ID: "2", Class: "c", RemainingUS: 1, MaxSends: 1}, []byte("s"))
	must(t, err)
	transfer(t, a, b, func() int { return 100 })
	a.link.Cancel(one)
	a.link.Ping(7)
	must(t, b.link.SendLoadReport(1, message.LoadReport{WorkSeconds: 3}))
	must(t, b.link.SendKeys(message.SentKeys{Keys: []message.SentKey{{Key: "k", AgoUS: 1}}}))
	b.link.GoAway()
	must(t, b.link.Respond(one, message.Response{Verdict: 2, MayHaveRun: true}, []byte("too late")))
	transfer(t, a, b, func() int { return 100 })
	if !a.link.PeerGoingAway() {
		t.Error("peer going away = false, want true")
	}
	if a.link.LateFrames == 0 {
		t.Error("late frames = 0, want at least 1")
	}
	want := [][]string{{fmt.Sprintf("response %d 1", two), "load report 3", "1 keys", "go away", "pong 7"}, {fmt.Sprintf("cancel %d", one)}}
	if diff := cmp.Diff(want, [][]string{a.events, b.events}); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Invalid input from a hostile peer is reported as the matching error, and the bytes held stay bounded.
func TestHostilePeer(t *testing.T) {
	encode := func(h message.Message) []byte {
		b, err := message.Append(nil, h)
		must(t, err)
		return b
	}
	hello := frame.Frame{Kind: frame.Hello, Value: frame.Version, Body: encode(&message.Hello{Site: "s", Gateway: "g", Format: "lines"})}
	request := func(id uint32, size int) frame.Frame {
		return frame.Frame{Kind: frame.Request, Stream: id, Body: encode(&message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1, Size: size})}
	}
	data := func(id uint32, n int, last uint32) frame.Frame {
		return frame.Frame{Kind: frame.Data, Stream: id, Value: last, Body: make([]byte, n)}
	}
	response := func(id uint32) frame.Frame {
		return frame.Frame{Kind: frame.Response, Stream: id, Body: encode(&message.Response{Verdict: 1})}
	}
	for name, tt := range map[string]struct {
		frames []frame.Frame
		want   error
	}{
		"request before hello":     {[]frame.Frame{request(1, 1)}, ErrOrder},
		"two hellos":               {[]frame.Frame{hello, hello}, ErrOrder},
		"unsupported version":      {[]frame.Frame{{Kind: frame.Hello, Value: 99, Body: hello.Body}}, ErrVersion},
		"request on our stream":    {[]frame.Frame{hello, request(2, 1)}, ErrOrder},
		"stream number used twice": {[]frame.Frame{hello, request(3, 1), request(3, 1)}, ErrOrder},
		"decreasing stream number": {[]frame.Frame{hello, request(3, 1), request(1, 1)}, ErrOrder},
		"3 GB announced":           {[]frame.Frame{hello, request(1, 3<<30)}, message.ErrBounds},
		"data above credit":        {[]frame.Frame{hello, request(1, 1<<20), data(1, 17<<10, 0)}, ErrCredit},
		"data above size":          {[]frame.Frame{hello, request(1, 10), data(1, 11, 1)}, ErrOrder},
		"data below size":          {[]frame.Frame{hello, request(1, 10), data(1, 9, 1)}, ErrOrder},
		"last data not marked":     {[]frame.Frame{hello, request(1, 10), data(1, 10, 0)}, ErrOrder},
		"data after last data":     {[]frame.Frame{hello, request(1, 1), data(1, 1, 1), data(1, 1, 1)}, ErrOrder},
		"response without request": {[]frame.Frame{hello, response(2)}, ErrOrder},
		"data without stream":      {[]frame.Frame{hello, data(5, 1, 1)}, ErrOrder},
		"cancel of our stream":     {[]frame.Frame{hello, {Kind: frame.Cancel, Stream: 2}}, ErrOrder},
		"credit too large":         {[]frame.Frame{hello, request(1, 1), {Kind: frame.Credit, Stream: 1, Value: 1 << 31}}, ErrCredit},
		"capacity NaN":             {[]frame.Frame{hello, {Kind: frame.LoadReport, Body: []byte("\xa2\x01\xa1\x61c\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00\x02\x01")}}, message.ErrBounds},
	} {
		e := newEnd(t, Config{Window: 16 << 10})
		var b []byte
		for _, f := range tt.frames {
			b = frame.Append(b, f)
		}
		if _, err := e.link.Input(b); !errors.Is(err, tt.want) {
			t.Errorf("%s: error = %v, want %v", name, err, tt.want)
		}
		if e.link.HeldBytes() > DefaultMaxHeldBytes {
			t.Errorf("%s: %d bytes held, want at most %d", name, e.link.HeldBytes(), DefaultMaxHeldBytes)
		}
	}
}

// Arbitrary bytes after a hello are an error or leave at most one incomplete frame, and the bytes held
// stay within bounds.
func FuzzInput(f *testing.F) {
	h, err := message.Append(nil, &message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1, Size: 3})
	must(f, err)
	f.Add(frame.Append(frame.Append(nil, frame.Frame{Kind: frame.Request, Stream: 1, Body: h}), frame.Frame{Kind: frame.Data, Stream: 1, Value: 1, Body: []byte("abc")}))
	f.Add(frame.Append(nil, frame.Frame{Kind: frame.LoadReport, Body: []byte{0xa1, 1, 0xa0}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := newEnd(t, Config{})
		hello := e.link.Pull(nil, 1)
		if _, err := e.link.Input(hello); err != nil {
			t.Fatal(err)
		}
		if n, err := e.link.Input(b); n > len(b) || err == nil && len(b)-n > frame.HeaderSize+frame.MaxBodySize {
			t.Errorf("consumed %d of %d bytes, error %v; want at most one incomplete frame left", n, len(b), err)
		}
		if e.link.HeldBytes() > DefaultMaxHeldBytes || e.link.HeldBytes() < 0 {
			t.Errorf("%d bytes held, want 0 to %d", e.link.HeldBytes(), DefaultMaxHeldBytes)
		}
	})
}
