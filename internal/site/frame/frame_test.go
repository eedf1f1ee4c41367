package frame

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Frames are read as they were written, also byte by byte.
func TestFrames(t *testing.T) {
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
	var held []byte
	for _, c := range b {
		held = append(held, c)
		f, n, err := Next(held)
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			f.Body = bytes.Clone(f.Body)
			got = append(got, f)
			held = held[n:]
		}
	}
	norm := cmp.Transformer("empty", func(b []byte) string { return string(b) })
	if diff := cmp.Diff(all, got, norm); diff != "" || len(held) > 0 {
		t.Errorf("%d bytes over (-want +got):\n%.2000s", len(held), diff)
	}
}

// An invalid frame is reported from its header, before any body has come.
func TestInvalidFrames(t *testing.T) {
	for name, tt := range map[string]struct {
		b    string
		want error
	}{
		"no kind":           {"\x00\x00\x00\x00", ErrKind},
		"unknown kind":      {"\x00\x00\x00\x0c", ErrKind},
		"too long":          {"\xff\xff\xff\x03", ErrLength},
		"ask of no stream":  {"\x00\x00\x01\x02\x00\x00\x00\x00\x00\x00\x00\x00", ErrForm},
		"ping on a stream":  {"\x00\x00\x00\x08\x00\x00\x00\x01\x00\x00\x00\x00", ErrForm},
		"greet of nobody":   {"\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01", ErrForm},
		"credit of nothing": {"\x00\x00\x00\x06\x00\x00\x00\x01\x00\x00\x00\x00", ErrForm},
		"cancel and more":   {"\x00\x00\x01\x05\x00\x00\x00\x01\x00\x00\x00\x00", ErrForm},
		"last or what":      {"\x00\x00\x00\x03\x00\x00\x00\x01\x00\x00\x00\x02", ErrForm},
		"leaves how":        {"\x00\x00\x00\x0a\x00\x00\x00\x00\x00\x00\x00\x01", ErrForm},
	} {
		if _, n, err := Next([]byte(tt.b)); n != 0 || !errors.Is(err, tt.want) {
			t.Errorf("%s: %d, %v", name, n, err)
		}
	}
}

// Any bytes give frames that are written back the same, an error, or need more bytes.
func FuzzNext(f *testing.F) {
	f.Add(Append(nil, Frame{Kind: Request, Stream: 1, Body: []byte("head")}))
	f.Add([]byte("\x00\x00\x00\x0a\x00\x00\x00\x00\x00\x00\x00\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, n, err := Next(b)
		if n > 0 && (err != nil || !bytes.Equal(Append(nil, got), b[:n])) {
			t.Errorf("%+v, %d, %v", got, n, err)
		}
	})
}
