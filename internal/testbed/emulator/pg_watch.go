package emulator

import (
	"net"
	"syscall"
	"time"
)

// watch observes whether a connection ends while nothing reads from it.
type watch struct {
	closed  chan struct{} // closed when the connection has ended
	conn    net.Conn
	stopped chan struct{} // closed when the watch has stopped
}

// watchClose watches a connection until end is called. It only peeks at the input, so that input that the
// gateway sends ahead stays unread, and it stops at such input: the gateway sends nothing more until it
// has its answer. Connections without a file descriptor, such as TLS, are not watched.
func watchClose(c net.Conn) *watch {
	w := &watch{make(chan struct{}), c, make(chan struct{})}
	tcp, ok := c.(syscall.Conn)
	if !ok {
		close(w.stopped)
		return w
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		close(w.stopped)
		return w
	}
	go func() {
		defer close(w.stopped)
		ended := false
		err := raw.Read(func(fd uintptr) bool {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN; ended {
				return true
			}
			return n > 0 // input is pending: the connection is open
		})
		if err == nil && ended {
			close(w.closed)
		}
	}()
	return w
}

// end stops the watch by a read deadline in the past, and returns once it has stopped.
func (w *watch) end() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.stopped
	_ = w.conn.SetReadDeadline(time.Time{})
}
