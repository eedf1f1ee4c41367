package netio

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A stream position counts the bytes that were read, not those that were only peeked at or are still in the
// socket; and all bytes that were written, also those that the peer has not read. The peer's close does not
// change it.
func TestStreamPosition(t *testing.T) {
	client, server, fd := tcpPair(t)
	start, err := StreamPositionOf(fd)
	if err != nil {
		t.Fatal(err)
	}
	expect := func(what string, read, written int64) {
		t.Helper()
		for range 200 { // the kernel counts bytes that cross the loopback interface a moment later
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
		t.Errorf("%s: got read %d, written %d; want %d, %d", what, p.Read-start.Read, p.Written-start.Written, read, written)
	}
	buf := make([]byte, 64)
	_, _ = client.Write(make([]byte, 100))
	expect("unread bytes in the socket", 0, 0)
	if _, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK); err != nil {
		t.Fatal(err)
	}
	expect("bytes peeked at", 0, 0)
	n, _ := server.Read(buf)
	expect("bytes read", int64(n), 0)
	_, _ = server.Write(make([]byte, 5000))
	expect("bytes written that the peer has not read", int64(n), 5000)
	_ = client.CloseWrite()
	expect("the peer has closed, with unread bytes", int64(n), 5000)
	rest, _ := server.Read(make([]byte, 100))
	expect("the peer has closed, with no unread bytes", int64(n+rest), 5000)
}
