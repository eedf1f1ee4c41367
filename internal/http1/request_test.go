package http1

import (
	"fmt"
	"strings"
	"testing"
)

// lookupRequest is a complete request with a body.
const lookupRequest = "POST /rpc/lookup HTTP/1.1\r\nHost: gateway\r\nReq-Id: 0123456789abcdef\r\nReq-Wait-Ms: 250\r\nContent-Length: 2\r\n\r\nab"

// FuzzParseRequest checks that a parsed request lies within its input, and that further bytes after
// a complete request do not change how it is parsed.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\nab"), []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b, more []byte) {
		r, size, statusErr := ParseRequest(b)
		if size > len(b) || len(r.Body) > size || statusErr != nil && size != 0 {
			t.Fatalf("size = %d with input of %d bytes, body of %d bytes, error %v; want body <= size <= input, and size 0 with an error",
				size, len(b), len(r.Body), statusErr)
		}
		if size == 0 || statusErr != nil {
			return
		}
		longer, longerSize, statusErr := ParseRequest(append(b[:len(b):len(b)], more...))
		if longerSize != size || statusErr != nil || longer.Path != r.Path || string(longer.Body) != string(r.Body) {
			t.Fatalf("with further bytes: size = %d, path = %q, body = %q, error %v; want %d, %q, %q, no error",
				longerSize, longer.Path, longer.Body, statusErr, size, r.Path, r.Body)
		}
	})
}

// TestParseRequest checks that complete requests are accepted, that size is 0 for incomplete ones,
// and that invalid ones are rejected with the right status.
func TestParseRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		input  string
		size   int
		status int // 0: no error
	}{
		{"complete", lookupRequest, len(lookupRequest), 0},
		{"followed by another request", lookupRequest + "GET /", len(lookupRequest), 0},
		{"without a body", "GET /ready HTTP/1.1\r\n\r\n", 23, 0},
		{"incomplete head", lookupRequest[:40], 0, 0},
		{"incomplete body", lookupRequest[:len(lookupRequest)-1], 0, 0},
		{"head too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadSize), 0, 431},
		{"lone LF", "GET / HTTP/1.1\r\nA: b\nReq-Id: 1\r\n\r\n", 0, 400},
		{"request line of two words", "GET /\r\n\r\n", 0, 400},
		{"path without a leading slash", "GET x HTTP/1.1\r\n\r\n", 0, 400},
		{"unsupported HTTP version", "GET / HTTP/2.0\r\n\r\n", 0, 505},
		{"space before the colon", "GET / HTTP/1.1\r\nReq-Id : 1\r\n\r\n", 0, 400},
		{"repeated field", "GET / HTTP/1.1\r\nReq-Id: 1\r\nreq-id: 2\r\n\r\n", 0, 400},
		{"empty Transfer-Encoding", "POST / HTTP/1.1\r\nTransfer-Encoding:\r\nContent-Length: 1\r\n\r\na", 0, 501},
		{"invalid Content-Length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 0, 400},
		{"body too large", fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", maxBodySize+1), 0, 413},
		{"POST without a body", "POST / HTTP/1.1\r\n\r\n", 0, 411},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, size, statusErr := ParseRequest([]byte(c.input))
			status := 0
			if statusErr != nil {
				status = statusErr.Status
			}
			if size != c.size || status != c.status {
				t.Errorf("size = %d, status = %d (%v), want %d, %d", size, status, statusErr, c.size, c.status)
			}
		})
	}
}

// TestRequestInPieces guards against a request that is parsed anew with each piece of it: a client that wrote a head of
// thousands of fields byte by byte kept all others waiting. The parser must not read again what it has read, and
// must give the same result as for the whole request.
func TestRequestInPieces(t *testing.T) {
	head := "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 9000\r\n" + strings.Repeat("a:b\r\n", 3000) + "\r\n"
	input := []byte(head + strings.Repeat("x", 9000))
	var parser Parser
	for n := range input {
		if _, size, err := parser.Parse(input[:n]); size != 0 || err != nil {
			t.Fatalf("after %d bytes: size = %d, error %v, want an incomplete request", n, size, err)
		}
		if unread := n - parser.searched; parser.start == 0 && unread >= len(endOfHead) {
			t.Fatalf("after %d bytes: %d bytes are read again, want fewer than %d", n, unread, len(endOfHead))
		}
		if n >= len(head) && parser.start != len(head) {
			t.Fatalf("after %d bytes: the body begins at %d, want %d: the head is read again", n, parser.start, len(head))
		}
	}
	r, size, err := parser.Parse(input)
	if size != len(input) || err != nil || len(r.Body) != 9000 || r.Header["req-id"] != "1" || parser.start != 0 {
		t.Errorf("size = %d, body of %d bytes, error %v, want the whole request", size, len(r.Body), err)
	}
}

// TestParseRequestFields checks that recognized header fields are stored by lower-case name, and that
// Close is set for HTTP/1.0 and for "Connection: close" in any case.
func TestParseRequestFields(t *testing.T) {
	r, _, statusErr := ParseRequest([]byte(lookupRequest))
	if statusErr != nil {
		t.Fatal(statusErr)
	}
	got := fmt.Sprintf("%s %s %v %s %v", r.Method, r.Path, r.Header, r.Body, r.Close)
	want := "POST /rpc/lookup map[content-length:2 req-id:0123456789abcdef req-wait-ms:250] ab false"
	if got != want {
		t.Errorf("request = %s, want %s", got, want)
	}
	for _, input := range []string{"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"} {
		if r, _, statusErr := ParseRequest([]byte(input)); statusErr != nil || !r.Close {
			t.Errorf("%q: close = %v, error %v, want true and no error", input, r.Close, statusErr)
		}
	}
}

func BenchmarkParseRequest(b *testing.B) {
	input := []byte(lookupRequest)
	b.ReportAllocs()
	for b.Loop() {
		if _, size, _ := ParseRequest(input); size == 0 {
			b.Fatal("ParseRequest did not accept a complete request")
		}
	}
}

// BenchmarkRequestInPieces measures a request with a long head of short fields and a long body that comes in pieces.
func BenchmarkRequestInPieces(b *testing.B) {
	const piece = 64
	head := "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 60000\r\n" + strings.Repeat("a:b\r\n", 3000) + "\r\n"
	input := []byte(head + strings.Repeat("x", 60000))
	for b.Loop() {
		var parser Parser
		for n := 0; n < len(input); n += piece {
			if _, size, err := parser.Parse(input[:n]); size != 0 || err != nil {
				b.Fatalf("after %d bytes: size = %d, error %v, want an incomplete request", n, size, err)
			}
		}
	}
}
