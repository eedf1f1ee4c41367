package netio

import (
	"net"
	"testing"
)

// BenchmarkEcho measures the round trip of a 100-byte message to a handler that sends it back.
func BenchmarkEcho(b *testing.B) {
	l, err := New(0)
	if err != nil {
		b.Fatal(err)
	}
	go l.Run()
	b.Cleanup(func() { l.Post(l.Stop) })
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l.Serve(ln, 1<<16, 0, func(*Conn) Handler { return echo{make(chan error, 1)} })
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = client.Close()
		_ = ln.Close()
	})
	message, response := make([]byte, 100), make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := client.Read(response); err != nil {
			b.Fatal(err)
		}
	}
}
