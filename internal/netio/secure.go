package netio

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// secure is the TLS of a connection. Its handshake runs on a goroutine of its own, which ends with it:
// crypto/tls can't be stopped in the middle of one. From then on it is the loop's, and reads what
// there is: a Read that finds nothing fails with a temporary error, after which crypto/tls goes on where
// it was.
type secure struct {
	c     *Conn
	conn  *tls.Conn
	pipe  *pipe
	plain Buffer
	up    bool
	buf   []byte
}

// secureRead is how much is decrypted at once: one record of TLS.
const secureRead = 16 << 10

// nothingYet tells that a pipe is empty. crypto/tls keeps temporary errors to itself.
type nothingYet struct{}

func (nothingYet) Error() string   { return "nothing to read yet" }
func (nothingYet) Timeout() bool   { return true }
func (nothingYet) Temporary() bool { return true }

// pipe is what crypto/tls takes for its socket.
type pipe struct {
	mu     sync.Mutex
	ready  *sync.Cond
	in     Buffer
	closed bool
	waits  bool // Read waits for bytes
	write  func([]byte)
	addr   net.Addr
}

func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.in.Len() == 0 {
		switch {
		case p.closed:
			return 0, io.EOF
		case !p.waits:
			return 0, nothingYet{}
		}
		p.ready.Wait()
	}
	n := copy(b, p.in.Bytes())
	p.in.Consume(n)
	return n, nil
}

func (p *pipe) Write(b []byte) (int, error) {
	p.write(b)
	return len(b), nil
}

// feed gives the pipe what was read of the socket.
func (p *pipe) feed(b []byte) {
	p.mu.Lock()
	p.in.append(b)
	p.mu.Unlock()
	p.ready.Signal()
}

// end has a Read that waits give up.
func (p *pipe) end() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ready.Signal()
}

// len is how much waits to be read.
func (p *pipe) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.in.Len()
}

// The rest of net.Conn. Deadlines are the loop's affair.
func (p *pipe) Close() error                     { return nil }
func (p *pipe) LocalAddr() net.Addr              { return p.addr }
func (p *pipe) RemoteAddr() net.Addr             { return p.addr }
func (p *pipe) SetDeadline(time.Time) error      { return nil }
func (p *pipe) SetReadDeadline(time.Time) error  { return nil }
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }

// StartServerTLS begins TLS on a connection, as its server. What lies in its buffer is taken as the
// handshake's beginning. done hears of the handshake's end, on the loop's goroutine; on an error the
// connection is closed behind it. From then on the handler is told of plain bytes, and Write
// encrypts; nothing may be written before. Such a connection can't be detached.
func (c *Conn) StartServerTLS(cfg *tls.Config, within time.Duration, done func(tls.ConnectionState, error)) {
	c.secured(func(p net.Conn) *tls.Conn { return tls.Server(p, cfg) }, within, done)
}

// StartClientTLS begins TLS as the side that has dialled.
func (c *Conn) StartClientTLS(cfg *tls.Config, within time.Duration, done func(tls.ConnectionState, error)) {
	c.secured(func(p net.Conn) *tls.Conn { return tls.Client(p, cfg) }, within, done)
}

func (c *Conn) secured(over func(net.Conn) *tls.Conn, within time.Duration, done func(tls.ConnectionState, error)) {
	s := &secure{c: c, buf: make([]byte, secureRead)}
	s.pipe = &pipe{waits: true, addr: c.nc.RemoteAddr(), write: func(b []byte) {
		own := append([]byte(nil), b...)
		c.loop.Post(func() { c.writeRaw(own) })
	}}
	s.pipe.ready = sync.NewCond(&s.pipe.mu)
	s.conn = over(s.pipe)
	c.secure = s
	ctx, cancel := context.WithTimeout(context.Background(), within)
	go func() {
		defer cancel()
		stop := context.AfterFunc(ctx, s.pipe.end) // a Read that waits ends
		err := s.conn.HandshakeContext(ctx)
		stop()
		c.loop.Post(func() { s.done(err, done) })
	}()
	c.ScheduleData()
}

// done makes the connection the loop's once its handshake is over.
func (s *secure) done(err error, done func(tls.ConnectionState, error)) {
	s.pipe.mu.Lock()
	s.pipe.waits = false
	s.pipe.write = func(b []byte) { s.c.writeRaw(b) }
	s.pipe.mu.Unlock()
	if s.c.over {
		return
	}
	s.up = err == nil
	done(s.conn.ConnectionState(), err)
	if err != nil {
		s.c.Close()
		return
	}
	s.c.data()
}

// feed gives the pipe what the socket had, unless what came before is to be read first. It tells whether
// there was something.
func (s *secure) feed() bool {
	in := &s.c.in
	if in.Len() == 0 || s.pipe.len() >= secureRead {
		return false
	}
	s.pipe.feed(in.Bytes())
	in.Consume(in.Len())
	return true
}

// data decrypts what has come and hands it over, as much as there is room for. The connection's
// lock is held.
func (s *secure) data() {
	c := s.c
	s.feed()
	if !s.up {
		return
	}
	for {
		before, end := s.plain.Len(), error(nil)
		for s.plain.Len() < c.room() && end == nil {
			var n int
			n, end = s.conn.Read(s.buf)
			s.plain.append(s.buf[:n])
		}
		c.loop.filled.Add(int64(s.plain.Len() - before))
		had := s.plain.Len()
		if had > before || before > 0 {
			c.handler.Data(c, &s.plain)
			c.loop.filled.Add(int64(s.plain.Len() - had))
		}
		var t net.Error
		switch {
		case end == nil && s.plain.Len() < c.room(): // there may be more, and room for it
			continue
		case end == nil: // there is no room: the handler asks again
		case errors.As(end, &t) && t.Temporary() && s.feed():
			continue
		case errors.As(end, &t) && t.Temporary():
		default: // the end of the stream, or what is no TLS
			c.end(end)
		}
		return
	}
}

// UsesTLS tells whether the connection has, or begins, TLS.
func (c *Conn) UsesTLS() bool { return c.secure != nil }
