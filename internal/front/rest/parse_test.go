package rest

import (
	"encoding/json"
	"testing"

	"gannetspur/internal/engine/lines"
)

// Whatever comes, a call lies within what came, and a longer input never turns a
// whole call into another one.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\nab"), []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b, more []byte) {
		c, n, bad := parse(b)
		if n > len(b) || len(c.body) > n || bad != nil && n != 0 {
			t.Fatalf("%d of %d bytes, body %d, %v", n, len(b), len(c.body), bad)
		}
		if n == 0 || bad != nil {
			return
		}
		c2, n2, bad := parse(append(b[:len(b):len(b)], more...))
		if n2 != n || bad != nil || c2.path != c.path || string(c2.body) != string(c.body) {
			t.Fatalf("%q turned into %q", c.path, c2.path)
		}
	})
}

// Answers are JSON whatever the rows hold.
func FuzzEncode(f *testing.F) {
	f.Add("a\t\"b\"\\\x01\nc\td\n")
	f.Fuzz(func(t *testing.T, page string) {
		if b := encode(lines.Rows{[]byte(page)}, "/more/x"); !json.Valid(b) {
			t.Fatalf("%q", b)
		}
	})
}
