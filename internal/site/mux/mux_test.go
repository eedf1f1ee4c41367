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

// end is one side for tests: it records what it receives, and may respond to requests.
type end struct {
	t       testing.TB
	link    *Link
	heard   []string
	answers map[uint32][]byte // by stream
	asks    map[uint32][]byte
	answer  func(stream uint32, statement []byte)
	pulling bool
}

func (e *end) pull(about int) []byte {
	e.pulling = true
	defer func() { e.pulling = false }()
	return e.link.Pull(nil, about)
}

func (e *end) HandleHello(g message.Hello) error {
	if g.Format != "lines" {
		return errors.New("another form")
	}
	return nil
}
func (e *end) HandleRequest(id uint32, _ message.Request, s []byte) {
	e.asks[id] = bytes.Clone(s)
	if e.answer != nil {
		e.answer(id, s)
	}
}
func (e *end) HandleResponse(id uint32, a message.Response, b []byte) {
	e.answers[id] = bytes.Clone(b)
	e.heard = append(e.heard, fmt.Sprintf("answer %d %d", id, a.Verdict))
}
func (e *end) HandleCancel(id uint32) { e.heard = append(e.heard, fmt.Sprintf("cancel %d", id)) }
func (e *end) HandleLoadReport(d message.LoadReport) {
	e.heard = append(e.heard, fmt.Sprintf("takes %g", d.WorkSeconds))
}
func (e *end) HandleSentKeys(k message.SentKeys) {
	e.heard = append(e.heard, fmt.Sprintf("%d keys", len(k.Keys)))
}
func (e *end) HandlePong(n uint32) { e.heard = append(e.heard, fmt.Sprintf("pong %d", n)) }
func (e *end) HandleGoAway()       { e.heard = append(e.heard, "leaves") }
func (e *end) OutputReady() {
	if e.pulling { // what is pulled from here would overtake
		e.t.Fatal("OutputReady was called within Pull")
	}
}
func (e *end) must(err error) { e.t.Helper(); fatal(e.t, err) }
func fatal(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

func newEnd(tb testing.TB, cfg Config) *end {
	tb.Helper()
	e := &end{t: tb, answers: map[uint32][]byte{}, asks: map[uint32][]byte{}}
	cfg.Hello = message.Hello{Site: "s", Gateway: "g", Format: "lines"}
	l, err := New(cfg, e)
	fatal(tb, err)
	e.link = l
	return e
}

// pass moves what waits from one end to the other, in pieces, until neither has more.
func pass(tb testing.TB, a, b *end, piece func() int) {
	tb.Helper()
	type way struct {
		from, to *end
		held     []byte
	}
	ways := []*way{{a, b, nil}, {b, a, nil}}
	for moved := true; moved; {
		moved = false
		for _, w := range ways {
			out := w.from.pull(piece())
			moved = moved || len(out) > 0
			for len(out) > 0 {
				n := min(max(piece(), 1), len(out))
				w.held = append(w.held, out[:n]...)
				out = out[n:]
				took, err := w.to.link.Input(w.held)
				fatal(tb, err)
				w.held = w.held[took:]
			}
		}
	}
}

func pair(tb testing.TB, cfg Config) (a, b *end) {
	tb.Helper()
	d := cfg
	d.Dialled = true
	a, b = newEnd(tb, d), newEnd(tb, cfg)
	pass(tb, a, b, func() int { return 1 << 20 })
	return a, b
}

// Whatever the requests and responses, in whatever pieces they travel: each arrives complete and
// unchanged, once; nothing is left open; and what is held stays within the bounds.
func TestAllArrivesComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{Window: 1 << rapid.IntRange(4, 17).Draw(rt, "window"), MaxHeldBytes: 1 << rapid.IntRange(10, 20).Draw(rt, "held")}
		a, b := pair(t, cfg)
		size := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(0, 150_000))
		want := map[uint32][]byte{}
		refused := 0
		for _, e := range []*end{a, b} {
			e.answer = func(id uint32, s []byte) {
				e.must(e.link.Respond(id, message.Response{Verdict: 2, MayHaveRun: true}, bytes.Repeat(s, 2)))
			}
		}
		for range rapid.IntRange(1, 20).Draw(rt, "asks") {
			from := []*end{a, b}[rapid.IntRange(0, 1).Draw(rt, "side")]
			body := bytes.Repeat([]byte{byte(rapid.IntRange(1, 255).Draw(rt, "fill"))}, 1+size.Draw(rt, "size"))
			id, ok, err := from.link.Request(message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1}, body)
			if err != nil || !ok {
				rt.Fatal(ok, err)
			}
			if rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
				from.link.Cancel(id)
				continue
			}
			want[id] = bytes.Repeat(body, 2)
		}
		pieces, n := rapid.SliceOfN(rapid.IntRange(500, 50_000), 1, 8).Draw(rt, "pieces"), 0
		pass(t, a, b, func() int { n++; return pieces[n%len(pieces)] })
		got := map[uint32][]byte{}
		for _, e := range []*end{a, b} {
			for id, s := range e.answers {
				if len(s) == 0 { // rejected for want of capacity: nothing of it ran
					delete(want, id)
					refused++
					continue
				}
				got[id] = s
			}
			if e.link.OpenStreams() != 0 || e.link.HeldBytes() != 0 || e.link.HasOutput() {
				rt.Fatalf("left behind: %d streams, %d bytes, waiting %v", e.link.OpenStreams(), e.link.HeldBytes(), e.link.HasOutput())
			}
		}
		if !maps.EqualFunc(want, got, bytes.Equal) {
			rt.Fatalf("%d of %d answers are as they were, %d refused", len(got), len(want), refused)
		}
	})
}

// One large response starves no other: a small one that is requested later overtakes it.
func TestSmallResponseOvertakesLarge(t *testing.T) {
	a, b := pair(t, Config{})
	b.answer = func(id uint32, s []byte) {
		b.must(b.link.Respond(id, message.Response{Verdict: 2, MayHaveRun: true}, bytes.Repeat([]byte("x"), len(s))))
	}
	large, _, err := a.link.Request(message.Request{ID: "large", Class: "c", RemainingUS: 1, MaxSends: 1}, make([]byte, 4<<20))
	fatal(t, err)
	for range 40 { // its answer is on its way
		pass1(t, a, b)
		if b.link.HasOutput() && len(b.asks) > 0 {
			break
		}
	}
	small, _, err := a.link.Request(message.Request{ID: "small", Class: "c", RemainingUS: 1, MaxSends: 1}, []byte("s"))
	fatal(t, err)
	pass(t, a, b, func() int { return 32 << 10 })
	want := []string{fmt.Sprintf("answer %d 2", small), fmt.Sprintf("answer %d 2", large)}
	if diff := cmp.Diff(want, a.heard); diff != "" {
		t.Error(diff)
	}
}

// pass1 moves one piece each way.
func pass1(t *testing.T, a, b *end) {
	t.Helper()
	for _, w := range [][2]*end{{a, b}, {b, a}} {
		out := w[0].pull(256 << 10)
		if n, err := w[1].link.Input(out); err != nil || n != len(out) {
			t.Fatal(n, err)
		}
	}
}

// What a link sends beside requests and responses.
func TestControlFrames(t *testing.T) {
	a, b := pair(t, Config{MaxStreams: 1})
	one, _, err := a.link.Request(message.Request{ID: "1", Class: "c", RemainingUS: 1, MaxSends: 1}, []byte("s"))
	fatal(t, err)
	two, _, err := a.link.Request(message.Request{ID: "2", Class: "c", RemainingUS: 1, MaxSends: 1}, []byte("s"))
	fatal(t, err)
	pass(t, a, b, func() int { return 100 })
	a.link.Cancel(one)
	a.link.Ping(7)
	fatal(t, b.link.SendLoadReport(1, message.LoadReport{WorkSeconds: 3}))
	fatal(t, b.link.SendKeys(message.SentKeys{Keys: []message.SentKey{{Key: "k", AgoUS: 1}}}))
	b.link.GoAway()
	fatal(t, b.link.Respond(one, message.Response{Verdict: 2, MayHaveRun: true}, []byte("too late")))
	pass(t, a, b, func() int { return 100 })
	if !a.link.PeerGoingAway() {
		t.Error("peer going away = false, want true")
	}
	if a.link.LateFrames == 0 {
		t.Error("late frames = 0, want some")
	}
	want := [][]string{{fmt.Sprintf("answer %d 1", two), "takes 3", "1 keys", "leaves", "pong 7"}, {fmt.Sprintf("cancel %d", one)}}
	if diff := cmp.Diff(want, [][]string{a.heard, b.heard}); diff != "" {
		t.Error(diff)
	}
}

// What a hostile peer may send ends the link, each with its error.
func TestHostilePeer(t *testing.T) {
	enc := func(h message.Message) []byte {
		b, err := message.Append(nil, h)
		fatal(t, err)
		return b
	}
	greet := frame.Frame{Kind: frame.Hello, Value: frame.Version, Body: enc(&message.Hello{Site: "s", Gateway: "g", Format: "lines"})}
	ask := func(id uint32, size int) frame.Frame {
		return frame.Frame{Kind: frame.Request, Stream: id, Body: enc(&message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1, Size: size})}
	}
	data := func(id uint32, n int, last uint32) frame.Frame {
		return frame.Frame{Kind: frame.Data, Stream: id, Value: last, Body: make([]byte, n)}
	}
	answer := func(id uint32) frame.Frame {
		return frame.Frame{Kind: frame.Response, Stream: id, Body: enc(&message.Response{Verdict: 1})}
	}
	for name, tt := range map[string]struct {
		frames []frame.Frame
		want   error
	}{
		"no greeting":            {[]frame.Frame{ask(1, 1)}, ErrOrder},
		"two greetings":          {[]frame.Frame{greet, greet}, ErrOrder},
		"another version":        {[]frame.Frame{{Kind: frame.Hello, Value: 99, Body: greet.Body}}, ErrVersion},
		"a stream of ours":       {[]frame.Frame{greet, ask(2, 1)}, ErrOrder},
		"a number twice":         {[]frame.Frame{greet, ask(3, 1), ask(3, 1)}, ErrOrder},
		"a number that went by":  {[]frame.Frame{greet, ask(3, 1), ask(1, 1)}, ErrOrder},
		"3 GB announced":         {[]frame.Frame{greet, ask(1, 3<<30)}, message.ErrBounds},
		"more than credit":       {[]frame.Frame{greet, ask(1, 1<<20), data(1, 17<<10, 0)}, ErrCredit},
		"more than announced":    {[]frame.Frame{greet, ask(1, 10), data(1, 11, 1)}, ErrOrder},
		"less than announced":    {[]frame.Frame{greet, ask(1, 10), data(1, 9, 1)}, ErrOrder},
		"no end":                 {[]frame.Frame{greet, ask(1, 10), data(1, 10, 0)}, ErrOrder},
		"data behind the end":    {[]frame.Frame{greet, ask(1, 1), data(1, 1, 1), data(1, 1, 1)}, ErrOrder},
		"an answer to nothing":   {[]frame.Frame{greet, answer(2)}, ErrOrder},
		"data of no stream":      {[]frame.Frame{greet, data(5, 1, 1)}, ErrOrder},
		"cancels what we asked":  {[]frame.Frame{greet, {Kind: frame.Cancel, Stream: 2}}, ErrOrder},
		"boundless credit":       {[]frame.Frame{greet, ask(1, 1), {Kind: frame.Credit, Stream: 1, Value: 1 << 31}}, ErrCredit},
		"room that is no number": {[]frame.Frame{greet, {Kind: frame.LoadReport, Body: []byte("\xa2\x01\xa1\x61c\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00\x02\x01")}}, message.ErrBounds},
	} {
		e := newEnd(t, Config{Window: 16 << 10})
		var b []byte
		for _, f := range tt.frames {
			b = frame.Append(b, f)
		}
		if _, err := e.link.Input(b); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", name, err, tt.want)
		}
		if e.link.HeldBytes() > DefaultMaxHeldBytes {
			t.Errorf("%s: holds %d bytes", name, e.link.HeldBytes())
		}
	}
}

// Any bytes behind a hello end in an error or need more bytes, and stay within bounds.
func FuzzInput(f *testing.F) {
	h, err := message.Append(nil, &message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1, Size: 3})
	fatal(f, err)
	f.Add(frame.Append(frame.Append(nil, frame.Frame{Kind: frame.Request, Stream: 1, Body: h}), frame.Frame{Kind: frame.Data, Stream: 1, Value: 1, Body: []byte("abc")}))
	f.Add(frame.Append(nil, frame.Frame{Kind: frame.LoadReport, Body: []byte{0xa1, 1, 0xa0}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := newEnd(t, Config{})
		greet := e.link.Pull(nil, 1)
		if _, err := e.link.Input(greet); err != nil {
			t.Fatal(err)
		}
		if n, err := e.link.Input(b); n > len(b) || err == nil && len(b)-n > frame.HeaderSize+frame.MaxBodySize {
			t.Errorf("took %d of %d: %v", n, len(b), err)
		}
		if e.link.HeldBytes() > DefaultMaxHeldBytes || e.link.HeldBytes() < 0 {
			t.Errorf("holds %d bytes", e.link.HeldBytes())
		}
	})
}
