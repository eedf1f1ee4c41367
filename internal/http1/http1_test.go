package http1

import "testing"

// Whatever comes, a call lies within what came, and a longer input never turns a
// whole call into another one.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /rpc/lookup HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\nab"), []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b, more []byte) {
		c, n, bad := ParseRequest(b)
		if n > len(b) || len(c.Body) > n || bad != nil && n != 0 {
			t.Fatalf("%d of %d bytes, body %d, %v", n, len(b), len(c.Body), bad)
		}
		if n == 0 || bad != nil {
			return
		}
		c2, n2, bad := ParseRequest(append(b[:len(b):len(b)], more...))
		if n2 != n || bad != nil || c2.Path != c.Path || string(c2.Body) != string(c.Body) {
			t.Fatalf("%q turned into %q", c.Path, c2.Path)
		}
	})
}
