package http1

import (
	"fmt"
	"strings"
	"testing"
)

const lookup = "POST /rpc/lookup HTTP/1.1\r\nHost: gateway\r\nReq-Id: 0123456789abcdef\r\nReq-Wait-Ms: 250\r\nContent-Length: 2\r\n\r\nab"

// Whatever comes, a request lies within what came, and a longer input never turns a
// complete request into another one.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\nab"), []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b, more []byte) {
		r, n, statusErr := ParseRequest(b)
		if n > len(b) || len(r.Body) > n || statusErr != nil && n != 0 {
			t.Fatalf("%d of %d bytes, body %d, %v", n, len(b), len(r.Body), statusErr)
		}
		if n == 0 || statusErr != nil {
			return
		}
		longer, longerSize, statusErr := ParseRequest(append(b[:len(b):len(b)], more...))
		if longerSize != n || statusErr != nil || longer.Path != r.Path || string(longer.Body) != string(r.Body) {
			t.Fatalf("%q turned into %q", r.Path, longer.Path)
		}
	})
}

// A request is accepted, awaited or rejected with its status.
func TestParseRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		input  string
		size   int
		status int // 0: no error
	}{
		{"complete", lookup, len(lookup), 0},
		{"followed by another", lookup + "GET /", len(lookup), 0},
		{"without a body", "GET /ready HTTP/1.1\r\n\r\n", 23, 0},
		{"head cut short", lookup[:40], 0, 0},
		{"body cut short", lookup[:len(lookup)-1], 0, 0},
		{"endless head", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadSize), 0, 431},
		{"lone LF", "GET / HTTP/1.1\r\nA: b\nReq-Id: 1\r\n\r\n", 0, 400},
		{"two words in the first line", "GET /\r\n\r\n", 0, 400},
		{"path of no slash", "GET x HTTP/1.1\r\n\r\n", 0, 400},
		{"other version", "GET / HTTP/2.0\r\n\r\n", 0, 505},
		{"space before the colon", "GET / HTTP/1.1\r\nReq-Id : 1\r\n\r\n", 0, 400},
		{"field twice", "GET / HTTP/1.1\r\nReq-Id: 1\r\nreq-id: 2\r\n\r\n", 0, 400},
		{"transfer encoding", "POST / HTTP/1.1\r\nTransfer-Encoding:\r\nContent-Length: 1\r\n\r\na", 0, 501},
		{"length of no number", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 0, 400},
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
				t.Errorf("size %d, status %d (%v), want %d, %d", size, status, statusErr, c.size, c.status)
			}
		})
	}
}

// The fields that are used are kept under their names in lower case, and Close follows version and field.
func TestParseRequestFields(t *testing.T) {
	r, _, statusErr := ParseRequest([]byte(lookup))
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
			t.Errorf("%q: close = %v, error %v", input, r.Close, statusErr)
		}
	}
}

func BenchmarkParseRequest(b *testing.B) {
	input := []byte(lookup)
	b.ReportAllocs()
	for b.Loop() {
		if _, n, _ := ParseRequest(input); n == 0 {
			b.Fatal("not parsed")
		}
	}
}
