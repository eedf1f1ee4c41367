package frame

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixtureFrames returns the frames encoded in testdata/frames.bin. The file was written before the link's
// packages were refactored, so that it guards the wire format.
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

// readFrames decodes all complete frames of b; rest is the number of bytes left over.
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

// TestFixture decodes the file to the expected frames and encodes them to the same bytes. A truncated file
// must yield fewer frames and no error; a file with a flipped bit must yield frames or a typed error.
func TestFixture(t *testing.T) {
	raw, err := os.ReadFile("testdata/frames.bin")
	if err != nil {
		t.Fatal(err)
	}
	want := fixtureFrames()
	got, rest, err := readFrames(raw)
	if err != nil || rest != 0 {
		t.Fatalf("decoding left %d bytes, error %v, want 0 bytes and no error", rest, err)
	}
	text := cmp.Transformer("text", func(b []byte) string { return string(b) })
	if diff := cmp.Diff(want, got, text); diff != "" {
		t.Errorf("frames (-want +got):\n%s", diff)
	}
	var encoded []byte
	for _, f := range got {
		encoded = Append(encoded, f)
	}
	if !bytes.Equal(encoded, raw) {
		t.Errorf("encoded = %x, want %x", encoded, raw)
	}
	for n := range raw {
		frames, _, err := readFrames(raw[:n])
		if err != nil || len(frames) >= len(want) {
			t.Errorf("truncated to %d of %d bytes: %d frames, error %v, want fewer than %d and no error", n, len(raw), len(frames), err, len(want))
		}
		for bit := range 8 {
			damaged := bytes.Clone(raw)
			damaged[n] ^= 1 << bit
			_, _, err := readFrames(damaged)
			if err != nil && !errors.Is(err, ErrKind) && !errors.Is(err, ErrLength) && !errors.Is(err, ErrForm) {
				t.Errorf("byte %d, bit %d flipped: error = %v, want ErrKind, ErrLength or ErrForm", n, bit, err)
			}
		}
	}
}
