package lineproto

import "testing"

// FuzzParseAnswer checks that a parsed answer lies within its input, and that no fields make the
// parsers of load and progress reports panic.
func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte("9b1f DONE batches=2,cpu=1.5,gauges=util:0.5;x 3\r\na\tb\r\n"))
	f.Add([]byte("p1 FIT gauges=inflight:7;util:0.61 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, n, err := parseAnswer(b)
		if n > len(b) || len(a.body) > n || err != nil && n != 0 {
			t.Fatalf("size = %d with input of %d bytes, body of %d bytes, error %v; want body <= size <= input, and size 0 with an error",
				n, len(b), len(a.body), err)
		}
		parseLoadReport(a.fields)
		parseProgress(a.fields)
	})
}
