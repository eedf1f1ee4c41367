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

// Dial connects within the time-out and calls done on the loop's goroutine. The handler is called
// only after done has returned. Calling the returned function cancels the dial; done is called all
// the same.
func (l *Loop) Dial(addr string, timeout time.Duration, readLimit int, h Handler, done func(*Conn, error)) (cancel func()) {
	if !l.descriptors.allowsDial(len(l.conns), l.dials) {
		l.Post(func() { done(nil, fmt.Errorf("dial %s: %w", addr, syscall.EMFILE)) })
		return func() {}
	}
	return l.DialReserved(addr, timeout, readLimit, h, done)
}

// DialReserved is Dial for the one connection that descriptors are reserved for. It connects on a goroutine of
// its own, which ends with the dial, by the time-out at the latest.
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

// IsConnectionRefused reports whether a dial failed because the other side rejected it, rather than by
// silence or for want of descriptors here.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
