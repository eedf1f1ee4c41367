package pgproto

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzMessages checks that for any input a decoded message lies within the input, its body lies within the
// message, and decoding the body does not panic.
func FuzzMessages(f *testing.F) {
	f.Add(AppendMessage(nil, 'E', (&Error{Severity: "ERROR", Code: "42P01", Message: "m", Hint: "h"}).Body()), []byte{0, 0, 0, 0, 0, 1, 0, 1})
	f.Add(AppendStartup(nil, Version, []byte("user\x00x\x00\x00")), []byte{})
	f.Fuzz(func(t *testing.T, b, bind []byte) {
		if _, body, n, err := ReadStartup(b); n > len(b) || len(body) > n || err != nil && n != 0 {
			t.Fatalf("ReadStartup: size %d with input of %d bytes, body of %d bytes, error %v; want body <= size <= input, and size 0 with an error", n, len(b), len(body), err)
		}
		_, body, n, err := ReadMessage(b, 1<<16)
		if n > len(b) || len(body) > n || err != nil && n != 0 {
			t.Fatalf("ReadMessage: size %d with input of %d bytes, body of %d bytes, error %v; want body <= size <= input, and size 0 with an error", n, len(b), len(body), err)
		}
		_, _ = ReadError(body)
		_, _ = WithResultFormats(body, bind)
	})
}

// TestReadStartup checks that a complete first message is decoded, that a truncated one has size 0 and no error,
// and that invalid lengths are rejected.
func TestReadStartup(t *testing.T) {
	message := AppendStartup(nil, SSLRequest, []byte("body"))
	code, body, size, err := ReadStartup(append(message, "next"...))
	if code != SSLRequest || string(body) != "body" || size != len(message) || err != nil {
		t.Errorf("ReadStartup = code %d, body %q, size %d, error %v, want code %d, body \"body\", size %d", code, body, size, err, SSLRequest, len(message))
	}
	for n := range message {
		if _, _, size, err := ReadStartup(message[:n]); size != 0 || err != nil {
			t.Errorf("first %d of %d bytes: size %d, error %v, want size 0 and no error", n, len(message), size, err)
		}
	}
	for _, length := range []int{7, MaxStartupBytes + 1} {
		if _, _, _, err := ReadStartup(Int32(length)); !errors.Is(err, ErrMalformed) {
			t.Errorf("length %d: error %v, want %v", length, err, ErrMalformed)
		}
	}
}

// TestReadMessage checks that a complete message is decoded, that a truncated one has size 0 and no error, and that
// invalid lengths are rejected.
func TestReadMessage(t *testing.T) {
	const maxLength = 100
	message := AppendMessage(nil, 'Q', []byte("SELECT "), CString("1"))
	kind, body, size, err := ReadMessage(append(message, "next"...), maxLength)
	if kind != 'Q' || string(body) != "SELECT 1\x00" || size != len(message) || err != nil {
		t.Errorf("ReadMessage = kind %c, body %q, size %d, error %v, want kind Q, body \"SELECT 1\\x00\", size %d", kind, body, size, err, len(message))
	}
	for n := range message {
		if _, _, size, err := ReadMessage(message[:n], maxLength); size != 0 || err != nil {
			t.Errorf("first %d of %d bytes: size %d, error %v, want size 0 and no error", n, len(message), size, err)
		}
	}
	for _, length := range []int{3, maxLength + 1} {
		if _, _, _, err := ReadMessage(append([]byte{'Q'}, Int32(length)...), maxLength); !errors.Is(err, ErrMalformed) {
			t.Errorf("length %d: error %v, want %v", length, err, ErrMalformed)
		}
	}
}

// TestErrorBody checks that an error is encoded with the fields that it has, that an engine's error is relayed
// unchanged, and that malformed errors are rejected.
func TestErrorBody(t *testing.T) {
	const body = "SERROR\x00VERROR\x00C42P01\x00Mno such table\x00\x00"
	e := &Error{Severity: "ERROR", Code: "42P01", Message: "no such table"}
	if got := string(e.Body()); got != body {
		t.Errorf("Body = %q, want %q", got, body)
	}
	const sent = "SERROR\x00C42P01\x00Mno such table\x00Wcontext\x00\x00"
	read, err := ReadError([]byte(sent))
	if err != nil || read.Code != e.Code || read.Message != e.Message || string(read.Body()) != sent {
		t.Errorf("ReadError = %+v, error %v, want code %s, message %q and body %q", read, err, e.Code, e.Message, sent)
	}
	for _, malformed := range []string{"", "SERROR\x00\x00", "C42P01\x00", "C42P01\x00\x00more"} {
		if _, err := ReadError([]byte(malformed)); !errors.Is(err, ErrMalformed) {
			t.Errorf("ReadError(%q): error %v, want %v", malformed, err, ErrMalformed)
		}
	}
}

// TestWithResultFormats checks that a description of two columns gets the result formats of a Bind, which may
// contain no format, one for all columns or one for each, and that truncated messages are rejected.
func TestWithResultFormats(t *testing.T) {
	column := func(format byte) []byte { return append(append(CString("c"), make([]byte, columnSize)...), 0, format) }
	describe := func(first, second byte) []byte {
		return append(append([]byte{0, 2}, column(first)...), column(second)...)
	}
	parameters := []byte{0, 1, 0, 0, 0, 2, 0, 0, 0, 1, '7', 0xff, 0xff, 0xff, 0xff} // one format; two values, "7" and NULL
	bind := func(formats ...byte) []byte {
		b := append(bytes.Clone(parameters), 0, byte(len(formats)))
		for _, f := range formats {
			b = append(b, 0, f)
		}
		return b
	}
	for name, c := range map[string]struct{ bind, want []byte }{
		"no format":           {bind(), describe(0, 0)},
		"one format for all":  {bind(1), describe(1, 1)},
		"one format for each": {bind(0, 1), describe(0, 1)},
	} {
		description := describe(0, 0)
		got, err := WithResultFormats(description, c.bind)
		if !bytes.Equal(got, c.want) || err != nil {
			t.Errorf("%s: WithResultFormats = %x, error %v, want %x", name, got, err, c.want)
		}
		if !bytes.Equal(description, describe(0, 0)) {
			t.Errorf("%s: WithResultFormats changed its argument to %x, want a copy", name, description)
		}
	}
	for name, c := range map[string]struct{ description, bind []byte }{
		"Bind truncated in a value":  {describe(0, 0), parameters[:10]},
		"Bind truncated in a format": {describe(0, 0), bind(0, 1)[:len(bind(0, 1))-1]},
		"truncated description":      {describe(0, 0)[:20], bind(1)},
	} {
		if _, err := WithResultFormats(c.description, c.bind); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want %v", name, err, ErrMalformed)
		}
	}
}
