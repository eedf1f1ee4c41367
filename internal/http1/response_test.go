package http1

import (
	"testing"
	"time"
)

// TestResponse checks the encoded bytes of responses.
func TestResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		response Response
		want     string
	}{
		{"status 200", Response{Status: 200, ContentType: "application/json", Body: []byte("{}")},
			"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 503 with RetryAfter and Close", Response{Status: 503, ContentType: "text/plain", RetryAfter: 1200 * time.Microsecond, Close: true},
			"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nSrv-Wait-Ms: 2\r\nConnection: close\r\n\r\n"},
		{"status 413", Response{Status: 413, ContentType: "text/plain"},
			"HTTP/1.1 413 Content Too Large\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := string(c.response.Append([]byte("before "))); got != "before "+c.want {
				t.Errorf("response appended to \"before \":\ngot  %q\nwant %q", got, "before "+c.want)
			}
		})
	}
}

func BenchmarkResponse(b *testing.B) {
	r := Response{Status: 200, ContentType: "application/json", Body: []byte("{}")}
	b.ReportAllocs()
	for b.Loop() {
		if len(r.Append(nil)) == 0 {
			b.Fatal("Append returned no bytes")
		}
	}
}
