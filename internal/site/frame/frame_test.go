package frame

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Frames that arrive byte by byte are decoded as they were encoded.
func TestRoundTrip(t *testing.T) {
	all := []Frame{
		{Kind: Hello, Value: Version, Body: []byte{0xa0}}, {Kind: Request, Stream: 1, Body: []byte("head")},
		{Kind: Data, Stream: 1, Value: 1, Body: bytes.Repeat([]byte("x"), MaxBodySize)}, {Kind: Data, Stream: 1, Body: []byte{}},
		{Kind: Response, Stream: 1, Body: []byte("end")}, {Kind: Cancel, Stream: 3}, {Kind: Credit, Stream: 3, Value: 1 << 20},
		{Kind: LoadReport, Value: 7, Body: []byte{0xa0}}, {Kind: Ping, Value: 9}, {Kind: Pong, Value: 9}, {Kind: GoAway}, {Kind: SentKeys, Body: []byte{0xa0}},
	}
	var b []byte
	for _, f := range all {
		b = Append(b, f)
	}
	var got []Frame
	var buffered []byte
	for _, c := range b {
		buffered = append(buffered, c)
		f, n, err := Next(buffered)
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			f.Body = bytes.Clone(f.Body)
			got = append(got, f)
			buffered = buffered[n:]
		}
	}
	bodyText := cmp.Transformer("text", func(b []byte) string { return string(b) })
	if diff := cmp.Diff(all, got, bodyText); diff != "" || len(buffered) > 0 {
		t.Errorf("%d bytes left over, want 0; frames (-want +got):\n%.2000s", len(buffered), diff)
	}
}

// An invalid frame is reported from its header, before any of its body has arrived.
func TestInvalidFrames(t *testing.T) {
	for name, tt := range map[string]struct {
		b    string
		want error
	}{
		"kind 0":                 {"\x00\x00\x00\x00", ErrKind},
		"unknown kind":           {"\x00\x00\x00\x0c", ErrKind},
		"too long":               {"\xff\xff\xff\x03", ErrLength},
		"request without stream": {"\x00\x00\x01\x02\x00\x00\x00\x00\x00\x00\x00\x00", ErrForm},
		"ping on a stream":       {"\x00\x00\x00\x08\x00\x00\x00\x01\x00\x00\x00\x00", ErrForm},
		"hello without body":     {"\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01", ErrForm},
		"credit of 0":            {"\x00\x00\x00\x06\x00\x00\x00\x01\x00\x00\x00\x00", ErrForm},
		"cancel with body":       {"\x00\x00\x01\x05\x00\x00\x00\x01\x00\x00\x00\x00", ErrForm},
		"data with value 2":      {"\x00\x00\x00\x03\x00\x00\x00\x01\x00\x00\x00\x02", ErrForm},
		"go away with value":     {"\x00\x00\x00\x0a\x00\x00\x00\x00\x00\x00\x00\x01", ErrForm},
	} {
		if _, n, err := Next([]byte(tt.b)); n != 0 || !errors.Is(err, tt.want) {
			t.Errorf("%s: consumed %d bytes, error %v; want 0 bytes, error %v", name, n, err, tt.want)
		}
	}
}

// Arbitrary bytes yield a frame that encodes to the same bytes, an error, or a request for more bytes.
func FuzzNext(f *testing.F) {
	f.Add(Append(nil, Frame{Kind: Request, Stream: 1, Body: []byte("head")}))
	f.Add([]byte("\x00\x00\x00\x0a\x00\x00\x00\x00\x00\x00\x00\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, n, err := Next(b)
		if n > 0 && (err != nil || !bytes.Equal(Append(nil, got), b[:n])) {
			t.Errorf("frame %+v of %d bytes, error %v; want the input bytes when encoded, and no error", got, n, err)
		}
	})
}
