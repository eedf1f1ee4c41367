package netio

import (
	"io"
	"net"
	"sync"
	"time"
)

// errPipeEmpty is returned where there is nothing to read yet. It is temporary: crypto/tls would return any
// other error from all later reads as well.
var errPipeEmpty error = pipeEmptyError{}

type pipeEmptyError struct{}

func (pipeEmptyError) Error() string   { return "nothing to read yet" }
func (pipeEmptyError) Timeout() bool   { return true }
func (pipeEmptyError) Temporary() bool { return true }

// tlsPipe is the net.Conn that crypto/tls reads and writes. Read and Write are called on the handshake's
// goroutine until it has ended, and on the loop's from then on; the other methods on the loop's, but for close,
// which any goroutine may call.
type tlsPipe struct {
	mu       sync.Mutex
	ready    *sync.Cond
	in       Buffer
	closed   bool
	blocking bool // Read waits for bytes
	write    func([]byte)
	addr     net.Addr
}

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

func (p *tlsPipe) Write(b []byte) (int, error) {
	p.write(b)
	return len(b), nil
}

// feed adds bytes for Read.
func (p *tlsPipe) feed(b []byte) {
	p.mu.Lock()
	p.in.append(b)
	p.mu.Unlock()
	p.ready.Signal()
}

// close ends a Read that waits.
func (p *tlsPipe) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ready.Signal()
}

// makeNonBlocking has Read wait no more, and Write go to another function.
func (p *tlsPipe) makeNonBlocking(write func([]byte)) {
	p.mu.Lock()
	p.blocking = false
	p.write = write
	p.mu.Unlock()
}

// len returns how many bytes wait to be read.
func (p *tlsPipe) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.in.Len()
}

// Close does nothing: the connection closes the socket.
func (p *tlsPipe) Close() error { return nil }

// LocalAddr is the peer's address, as that of this end is not used.
func (p *tlsPipe) LocalAddr() net.Addr { return p.addr }

// RemoteAddr is the peer's address.
func (p *tlsPipe) RemoteAddr() net.Addr { return p.addr }

// SetDeadline does nothing: the loop's timers end a connection.
func (p *tlsPipe) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (p *tlsPipe) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (p *tlsPipe) SetWriteDeadline(time.Time) error { return nil }
