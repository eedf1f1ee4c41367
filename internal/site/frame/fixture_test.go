package frame

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixtureFrames are the frames of testdata/frames.bin, which was written by the code before
// the link's packages were reworked.
func fixtureFrames() []Frame {
	return []Frame{
		{Kind: Hello, Value: Version, Body: []byte("\xa1\x01\x61x")},
		{Kind: Request, Stream: 1, Body: []byte("an ask")},
		{Kind: Data, Stream: 1, Body: []byte("SELECT ")},
		{Kind: Data, Stream: 1, Value: 1, Body: []byte("1")},
		{Kind: Response, Stream: 0xfffffffe, Body: []byte("an answer")},
		{Kind: Cancel, Stream: 3},
		{Kind: Credit, Stream: 3, Value: 1 << 20},
		{Kind: LoadReport, Value: 7, Body: []byte("a digest")},
		{Kind: Ping, Value: 0xdeadbeef},
		{Kind: Pong, Value: 0xdeadbeef},
		{Kind: GoAway},
		{Kind: SentKeys, Body: []byte("keys")},
	}
}

func readFrames(b []byte) (frames []Frame, rest int, err error) {
	for {
		f, n, err := Next(b)
		if n == 0 || err != nil {
			return frames, len(b), err
		}
		frames = append(frames, f)
		b = b[n:]
	}
}

// TestFixture reads the file to the same frames and writes these to the same bytes; cut short
// it gives fewer frames, and with a changed byte other frames or a typed error.
func TestFixture(t *testing.T) {
	raw, err := os.ReadFile("testdata/frames.bin")
	if err != nil {
		t.Fatal(err)
	}
	want := fixtureFrames()
	got, rest, err := readFrames(raw)
	if err != nil || rest != 0 {
		t.Fatalf("%d bytes left: %v", rest, err)
	}
	text := cmp.Transformer("text", func(b []byte) string { return string(b) })
	if diff := cmp.Diff(want, got, text); diff != "" {
		t.Errorf("frames (-want +got):\n%s", diff)
	}
	var again []byte
	for _, f := range got {
		again = Append(again, f)
	}
	if !bytes.Equal(again, raw) {
		t.Errorf("written = %x, want %x", again, raw)
	}
	for n := range raw {
		frames, _, err := readFrames(raw[:n])
		if err != nil || len(frames) >= len(want) {
			t.Errorf("cut at %d of %d bytes: %d frames, %v", n, len(raw), len(frames), err)
		}
		for bit := range 8 {
			damaged := bytes.Clone(raw)
			damaged[n] ^= 1 << bit
			_, _, err := readFrames(damaged)
			if err != nil && !errors.Is(err, ErrKind) && !errors.Is(err, ErrLength) && !errors.Is(err, ErrForm) {
				t.Errorf("byte %d, bit %d changed: untyped error %v", n, bit, err)
			}
		}
	}
}
