package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxHandshakes are under way at once; others that connect wait.
	maxHandshakes = 16
	// acceptPause is for an accept that failed, as without a free descriptor.
	acceptPause = 20 * time.Millisecond
)

// listen opens a listener at an address that another process may accept at, too.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: reusePort}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for other sites: %w", err)
	}
	return ln, nil
}

func reusePort(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// accept runs until the listener is closed. Each connection has a goroutine until it is a link, or
// has failed to become one.
func (r *Runner) accept(ln net.Listener) {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		handshakes <- struct{}{}
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			<-handshakes
			time.Sleep(acceptPause)
			continue
		}
		go func() {
			r.welcome(raw)
			<-handshakes
		}()
	}
}

// welcome makes a link of an accepted connection, once its peer has proven who it is.
func (r *Runner) welcome(raw net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	var proven identity
	socket := tls.Server(raw, r.keys.serverConfig(&proven))
	if err := socket.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		r.loop.Post(func() { r.linkFailed(raw.RemoteAddr().String(), err) })
		return
	}
	done := make(chan struct{})
	r.loop.Post(func() {
		defer close(done)
		if err := r.open(socket, proven, false); err != nil {
			r.linkFailed(proven.name.String(), err)
		}
	})
	<-done
}
