package netio

import (
	"io"
	"net"
	"sync"
	"time"
)

// errPipeEmpty is returned by a non-blocking Read if there is nothing to read yet. It is a temporary error, as
// crypto/tls would return any other error from all later reads as well.
var errPipeEmpty error = pipeEmptyError{}

// pipeEmptyError implements net.Error.
type pipeEmptyError struct{}

func (pipeEmptyError) Error() string   { return "nothing to read yet" }
func (pipeEmptyError) Timeout() bool   { return true }
func (pipeEmptyError) Temporary() bool { return true }

// tlsPipe is the net.Conn that crypto/tls reads from and writes to. Read and Write are called on the handshake's
// goroutine until the handshake has ended, and on the loop's from then on; the other methods on the loop's,
// except close, which may be called on any goroutine.
type tlsPipe struct {
	mu       sync.Mutex
	ready    *sync.Cond   // signals new input, or the close
	in       Buffer       // encrypted bytes for Read
	closed   bool         // Read returns io.EOF once in is empty
	blocking bool         // Read waits for input rather than failing with errPipeEmpty
	write    func([]byte) // sends encrypted bytes; must not keep the slice
	addr     net.Addr     // the peer's address
}

// Read returns encrypted input. Without any, it waits while the pipe is blocking, else fails with errPipeEmpty.
func (p *tlsPipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.in.Len() == 0 {
		switch {
		case p.closed:
			return 0, io.EOF
		case !p.blocking:
			return 0, errPipeEmpty
		}
		p.ready.Wait()
	}
	n := copy(b, p.in.Bytes())
	p.in.Consume(n)
	return n, nil
}

// Write passes encrypted output to the write function. It never fails.
func (p *tlsPipe) Write(b []byte) (int, error) {
	p.write(b)
	return len(b), nil
}

// feed adds input for Read.
func (p *tlsPipe) feed(b []byte) {
	p.mu.Lock()
	p.in.append(b)
	p.mu.Unlock()
	p.ready.Signal()
}

// close makes Read return io.EOF once the input is used up, and unblocks a Read that waits.
func (p *tlsPipe) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ready.Signal()
}

// makeNonBlocking makes Read fail with errPipeEmpty rather than wait, and replaces the write function.
func (p *tlsPipe) makeNonBlocking(write func([]byte)) {
	p.mu.Lock()
	p.blocking = false
	p.write = write
	p.mu.Unlock()
}

// len returns the number of bytes that are not read yet.
func (p *tlsPipe) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.in.Len()
}

// Close does nothing, as the connection itself closes the socket.
func (p *tlsPipe) Close() error { return nil }

// LocalAddr returns the peer's address; the local one is not used.
func (p *tlsPipe) LocalAddr() net.Addr { return p.addr }

// RemoteAddr returns the peer's address.
func (p *tlsPipe) RemoteAddr() net.Addr { return p.addr }

// SetDeadline does nothing: the context ends a handshake, and the loop's timers end a connection.
func (p *tlsPipe) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, see SetDeadline.
func (p *tlsPipe) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, see SetDeadline.
func (p *tlsPipe) SetWriteDeadline(time.Time) error { return nil }
