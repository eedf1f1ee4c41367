package netio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Dial connects to addr within timeout and calls done on the loop's goroutine, with the connection or an
// error. The handler is called only after done has returned. The returned function cancels the dial;
// done is called in that case too. readLimit is the number of bytes that the buffer may hold before
// reading pauses. The dial fails with EMFILE if the descriptor budget is used up.
func (l *Loop) Dial(addr string, timeout time.Duration, readLimit int, h Handler, done func(*Conn, error)) (cancel func()) {
	if !l.descriptors.allowsDial(len(l.conns), l.dials) {
		l.Post(func() { done(nil, fmt.Errorf("dial %s: %w", addr, syscall.EMFILE)) })
		return func() {}
	}
	return l.DialReserved(addr, timeout, readLimit, h, done)
}

// DialReserved is Dial without the check of the descriptor budget, for the one connection that has reserved
// descriptors. It connects on a separate goroutine, which ends with the dial, at the latest at its timeout.
func (l *Loop) DialReserved(addr string, timeout time.Duration, readLimit int, h Handler, done func(*Conn, error)) (cancel func()) {
	l.dials++
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		socket, err := dial(ctx, addr)
		cancel()
		l.Post(func() {
			l.dials--
			if err != nil {
				done(nil, err)
				return
			}
			done(l.open(socket, connOptions{
				readLimit: readLimit, dialed: true, onEnd: func() {}, accept: func(*Conn) Handler { return h },
			}))
		})
	}()
	return cancel
}

// dial connects to addr and prepares the socket for the poller.
func dial(ctx context.Context, addr string) (*nbio.Conn, error) {
	var dialer net.Dialer
	std, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := pollerSocket(std)
	if err != nil {
		_ = std.Close()
		return nil, err
	}
	return socket, nil
}

// IsConnectionRefused reports whether a dial failed because the other side refused the connection, rather than by
// a timeout or because no descriptor was free.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
