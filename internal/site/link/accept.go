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
	// maxHandshakes is the maximum number of concurrent handshakes; further connections wait.
	maxHandshakes = 16
	// acceptPause is the delay after a failed accept, for example for lack of file descriptors.
	acceptPause = 20 * time.Millisecond
)

// listen opens a listener on an address that other processes may listen on as well.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: reusePort}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for other sites: %w", err)
	}
	return ln, nil
}

// reusePort sets SO_REUSEPORT on a socket.
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

// accept accepts connections until the listener is closed. A goroutine for each connection performs the
// handshake and opens the link.
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
			r.handshake(raw)
			<-handshakes
		}()
	}
}

// handshake performs the TLS handshake of an accepted connection, which proves the peer's name, and opens
// a link on it.
func (r *Runner) handshake(raw net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	var verified identity
	socket := tls.Server(raw, r.keys.serverConfig(&verified))
	if err := socket.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		r.loop.Post(func() { r.linkFailed(raw.RemoteAddr().String(), err) })
		return
	}
	done := make(chan struct{})
	r.loop.Post(func() {
		defer close(done)
		if err := r.open(socket, verified, false); err != nil {
			r.linkFailed(verified.name.String(), err)
		}
	})
	<-done
}
