package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"gannetspur/internal/testbed/emulator"
)

const (
	// firstUnusedPort and unusedPorts give the start and size of a port range below the ephemeral
	// ports, which the operating system assigns.
	firstUnusedPort = 18000
	unusedPorts     = 14000
	// portAttempts is the number of ports that UnusedAddress tries.
	portAttempts = 100
)

// OpenListener opens a listening socket for successive processes of one frontend, as the
// platform does. It returns the socket and its address.
func OpenListener(addr string) (*os.File, string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", fmt.Errorf("harness: %w", err)
	}
	defer func() { _ = listener.Close() }() // the returned file is a duplicate that stays open
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return nil, "", fmt.Errorf("harness: %w", err)
	}
	return file, listener.Addr().String(), nil
}

// WaitListening waits until a connection to the address succeeds.
func WaitListening(ctx context.Context, addr string) error {
	for {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("no process listens at %s", addr), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// UnusedAddress returns a loopback address on which nothing listens at present. Its port is below
// the ephemeral range, so that no emulated system or outgoing connection takes it before the caller
// does.
func UnusedAddress() (string, error) {
	var lastErr error
	for range portAttempts {
		listener, err := emulator.Listen(fmt.Sprintf("127.0.0.1:%d", firstUnusedPort+rand.IntN(unusedPorts)))
		if err != nil {
			lastErr = err
			continue
		}
		addr := listener.Addr().String()
		return addr, listener.Close()
	}
	return "", lastErr
}

// Sleep waits for the duration. It returns the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
