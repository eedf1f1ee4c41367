package netio

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

// tlsReadSize is how much is decrypted at once, in bytes: one record of TLS.
const tlsReadSize = 16 << 10

// tlsSession is the TLS of a connection. startTLS runs the handshake on a goroutine of its own, as crypto/tls
// can't be suspended in the middle of one; that goroutine ends with the handshake, by its time-out at the latest.
// From then on the session is for the loop's goroutine, and reads what there is: a Read that finds nothing fails
// with errPipeEmpty, after which crypto/tls continues where it was.
type tlsSession struct {
	c           *Conn
	conn        *tls.Conn
	pipe        *tlsPipe
	plain       Buffer
	established bool
	buffer      []byte
}

// StartServerTLS begins TLS on a connection, as its server. What lies in its buffer is taken as the
// handshake's beginning. done is called at the handshake's end, on the loop's goroutine; on an error the
// connection is closed after it. From then on the handler is given plain bytes, and Write
// encrypts; nothing may be written before. Such a connection can't be detached.
func (c *Conn) StartServerTLS(cfg *tls.Config, timeout time.Duration, done func(tls.ConnectionState, error)) {
	c.startTLS(func(p net.Conn) *tls.Conn { return tls.Server(p, cfg) }, timeout, done)
}

// StartClientTLS begins TLS as the side that has dialled.
func (c *Conn) StartClientTLS(cfg *tls.Config, timeout time.Duration, done func(tls.ConnectionState, error)) {
	c.startTLS(func(p net.Conn) *tls.Conn { return tls.Client(p, cfg) }, timeout, done)
}

// UsesTLS reports whether the connection has, or begins, TLS.
func (c *Conn) UsesTLS() bool { return c.tls != nil }

func (c *Conn) startTLS(side func(net.Conn) *tls.Conn, timeout time.Duration, done func(tls.ConnectionState, error)) {
	s := &tlsSession{c: c, buffer: make([]byte, tlsReadSize)}
	s.pipe = &tlsPipe{blocking: true, addr: c.socket.RemoteAddr(), write: func(b []byte) {
		own := append([]byte(nil), b...)
		c.loop.Post(func() { c.writeSocket(own) })
	}}
	s.pipe.ready = sync.NewCond(&s.pipe.mu)
	s.conn = side(s.pipe)
	c.tls = s
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		defer cancel()
		stop := context.AfterFunc(ctx, s.pipe.close) // a Read that waits ends
		err := s.conn.HandshakeContext(ctx)
		stop()
		c.loop.Post(func() { s.handshakeEnded(err, done) })
	}()
	c.ScheduleData()
}

// handshakeEnded makes the session the loop's.
func (s *tlsSession) handshakeEnded(err error, done func(tls.ConnectionState, error)) {
	s.pipe.makeNonBlocking(func(b []byte) { s.c.writeSocket(b) })
	if s.c.ended {
		return
	}
	s.established = err == nil
	done(s.conn.ConnectionState(), err)
	if err != nil {
		s.c.Close()
		return
	}
	s.c.deliver()
}

// end drops what is buffered, and ends a handshake that waits. The connection's lock is held.
func (s *tlsSession) end() {
	s.c.loop.bufferedBytes.Add(-int64(s.plain.Len()))
	s.plain = Buffer{}
	s.pipe.close()
}

// write encrypts. A failure closes the connection.
func (s *tlsSession) write(p []byte) bool {
	if !s.established {
		return false
	}
	_, err := s.conn.Write(p)
	return err == nil
}

// feed moves what was read of the socket to the pipe, unless the pipe holds a record's worth already. It
// reports whether it moved anything.
func (s *tlsSession) feed() bool {
	in := &s.c.in
	if in.Len() == 0 || s.pipe.len() >= tlsReadSize {
		return false
	}
	s.pipe.feed(in.Bytes())
	in.Consume(in.Len())
	return true
}

// deliver decrypts what has come and passes it to the handler, up to the buffer's limit. The connection's
// lock is held.
func (s *tlsSession) deliver() {
	s.feed()
	if !s.established {
		return
	}
	for {
		err := s.decrypt()
		switch {
		case errors.Is(err, errPipeEmpty):
			if !s.feed() {
				return
			}
		case err != nil: // the end of the stream, or what is no TLS
			s.c.closeSocket(err)
			return
		case s.plain.Len() >= s.c.bufferLimit(): // the handler calls ScheduleData
			return
		}
	}
}

// decrypt reads until the plain buffer is full or an error, and calls the handler.
func (s *tlsSession) decrypt() (err error) {
	c := s.c
	before := s.plain.Len()
	for s.plain.Len() < c.bufferLimit() && err == nil {
		var n int
		n, err = s.conn.Read(s.buffer)
		s.plain.append(s.buffer[:n])
	}
	length := s.plain.Len()
	c.loop.bufferedBytes.Add(int64(length - before))
	if length > 0 {
		c.handler.Data(c, &s.plain)
		c.loop.bufferedBytes.Add(int64(s.plain.Len() - length))
	}
	return err
}
