package pgproto

import (
	"bytes"
	"errors"
	"testing"
)

// Whatever a peer sends, a message lies within it and its fields within that.
func FuzzMessages(f *testing.F) {
	f.Add(AppendMessage(nil, 'E', (&Error{Severity: "ERROR", Code: "42P01", Message: "m", Hint: "h"}).Body()), []byte{0, 0, 0, 0, 0, 1, 0, 1})
	f.Add(AppendStartup(nil, Version, []byte("user\x00x\x00\x00")), []byte{})
	f.Fuzz(func(t *testing.T, b, bind []byte) {
		if _, body, n, err := ReadStartup(b); n > len(b) || len(body) > n || err != nil && n != 0 {
			t.Fatalf("startup: %d of %d bytes, %v", n, len(b), err)
		}
		_, body, n, err := ReadMessage(b, 1<<16)
		if n > len(b) || len(body) > n || err != nil && n != 0 {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		_, _ = ReadError(body)
		_, _ = WithResultFormats(body, bind)
	})
}

// A first message is complete, awaited or malformed.
func TestReadStartup(t *testing.T) {
	message := AppendStartup(nil, SSLRequest, []byte("body"))
	code, body, size, err := ReadStartup(append(message, "next"...))
	if code != SSLRequest || string(body) != "body" || size != len(message) || err != nil {
		t.Errorf("code %d, body %q, size %d, error %v", code, body, size, err)
	}
	for n := range message {
		if _, _, size, err := ReadStartup(message[:n]); size != 0 || err != nil {
			t.Errorf("%d of %d bytes: size %d, error %v", n, len(message), size, err)
		}
	}
	for _, length := range []int{7, MaxStartupBytes + 1} {
		if _, _, _, err := ReadStartup(Int32(length)); !errors.Is(err, ErrMalformed) {
			t.Errorf("length %d: error %v, want %v", length, err, ErrMalformed)
		}
	}
}

// A message is complete, awaited or malformed.
func TestReadMessage(t *testing.T) {
	const maxLength = 100
	message := AppendMessage(nil, 'Q', []byte("SELECT "), CString("1"))
	kind, body, size, err := ReadMessage(append(message, "next"...), maxLength)
	if kind != 'Q' || string(body) != "SELECT 1\x00" || size != len(message) || err != nil {
		t.Errorf("kind %c, body %q, size %d, error %v", kind, body, size, err)
	}
	for n := range message {
		if _, _, size, err := ReadMessage(message[:n], maxLength); size != 0 || err != nil {
			t.Errorf("%d of %d bytes: size %d, error %v", n, len(message), size, err)
		}
	}
	for _, length := range []int{3, maxLength + 1} {
		if _, _, _, err := ReadMessage(append([]byte{'Q'}, Int32(length)...), maxLength); !errors.Is(err, ErrMalformed) {
			t.Errorf("length %d: error %v, want %v", length, err, ErrMalformed)
		}
	}
}

// An error is written with the fields that it has, and passes on as an engine sent it.
func TestErrorBody(t *testing.T) {
	const body = "SERROR\x00VERROR\x00C42P01\x00Mno such table\x00\x00"
	e := &Error{Severity: "ERROR", Code: "42P01", Message: "no such table"}
	if got := string(e.Body()); got != body {
		t.Errorf("body = %q, want %q", got, body)
	}
	const sent = "SERROR\x00C42P01\x00Mno such table\x00Wcontext\x00\x00"
	read, err := ReadError([]byte(sent))
	if err != nil || read.Code != e.Code || read.Message != e.Message || string(read.Body()) != sent {
		t.Errorf("read %+v, error %v", read, err)
	}
	for _, malformed := range []string{"", "SERROR\x00\x00", "C42P01\x00", "C42P01\x00\x00more"} {
		if _, err := ReadError([]byte(malformed)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v, want %v", malformed, err, ErrMalformed)
		}
	}
}

// A description of two columns gets the formats of a Bind: none, one for all, or one each.
func TestWithResultFormats(t *testing.T) {
	column := func(format byte) []byte { return append(append(CString("c"), make([]byte, columnSize)...), 0, format) }
	describe := func(first, second byte) []byte {
		return append(append([]byte{0, 2}, column(first)...), column(second)...)
	}
	parameters := []byte{0, 1, 0, 0, 0, 2, 0, 0, 0, 1, '7', 0xff, 0xff, 0xff, 0xff} // one format; "7" and NULL
	bind := func(formats ...byte) []byte {
		b := append(bytes.Clone(parameters), 0, byte(len(formats)))
		for _, f := range formats {
			b = append(b, 0, f)
		}
		return b
	}
	for name, c := range map[string]struct{ bind, want []byte }{
		"none":        {bind(), describe(0, 0)},
		"one for all": {bind(1), describe(1, 1)},
		"one each":    {bind(0, 1), describe(0, 1)},
	} {
		description := describe(0, 0)
		got, err := WithResultFormats(description, c.bind)
		if !bytes.Equal(got, c.want) || err != nil {
			t.Errorf("%s: %x, error %v, want %x", name, got, err, c.want)
		}
		if !bytes.Equal(description, describe(0, 0)) {
			t.Errorf("%s: the description itself was changed", name)
		}
	}
	for name, c := range map[string]struct{ description, bind []byte }{
		"bind cut in a value":   {describe(0, 0), parameters[:10]},
		"bind cut in a format":  {describe(0, 0), bind(0, 1)[:len(bind(0, 1))-1]},
		"description cut short": {describe(0, 0)[:20], bind(1)},
	} {
		if _, err := WithResultFormats(c.description, c.bind); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want %v", name, err, ErrMalformed)
		}
	}
}
