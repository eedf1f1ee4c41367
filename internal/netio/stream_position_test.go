package netio

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel reports how far a stream has got, whoever read and wrote it: of reading, what was
// consumed and not what was peeked at or lies there; of writing, all that it was given, also
// what the peer has not taken. A peer that has closed its side counts nothing.
func TestStreamPosition(t *testing.T) {
	client, server, fd := tcpPair(t)
	start, err := StreamPositionOf(fd)
	if err != nil {
		t.Fatal(err)
	}
	expect := func(what string, read, written int64) {
		t.Helper()
		for range 200 { // what crosses the loopback is counted a moment later
			p, err := StreamPositionOf(fd)
			if err != nil {
				t.Fatal(err)
			}
			if p.Read-start.Read == read && p.Written-start.Written == written {
				return
			}
			time.Sleep(time.Millisecond)
		}
		p, _ := StreamPositionOf(fd)
		t.Errorf("%s: read %d, written %d, want %d, %d", what, p.Read-start.Read, p.Written-start.Written, read, written)
	}
	buf := make([]byte, 64)
	_, _ = client.Write(make([]byte, 100))
	expect("what lies in the socket", 0, 0)
	if _, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK); err != nil {
		t.Fatal(err)
	}
	expect("what was peeked at", 0, 0)
	n, _ := server.Read(buf)
	expect("what was read", int64(n), 0)
	_, _ = server.Write(make([]byte, 5000))
	expect("what nobody has taken", int64(n), 5000)
	_ = client.CloseWrite()
	expect("the peer's end, with data before it", int64(n), 5000)
	rest, _ := server.Read(make([]byte, 100))
	expect("the peer's end, with none", int64(n+rest), 5000)
}
