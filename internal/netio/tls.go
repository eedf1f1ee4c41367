package netio

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

// tlsReadSize is the number of bytes decrypted at once: the maximum plaintext of one TLS record.
const tlsReadSize = 16 << 10

// tlsSession is the TLS session of a connection. startTLS runs the handshake on a goroutine of its own, as
// crypto/tls can't suspend a handshake; that goroutine ends with the handshake, at the latest at its timeout.
// From then on the session is used only on the loop's goroutine and never blocks: a Read that finds no input
// fails with errPipeEmpty, and the next Read continues where it stopped.
type tlsSession struct {
	c           *Conn
	conn        *tls.Conn
	pipe        *tlsPipe // carries the encrypted bytes between conn and the connection
	plain       Buffer   // decrypted bytes that the handler has not consumed
	established bool     // the handshake has succeeded
	scratch     []byte   // memory for one read by decrypt
}

// StartServerTLS starts TLS on a connection, in the server's role. Bytes that are already in its buffer are taken as
// the beginning of the handshake. done is called on the loop's goroutine at the end of the handshake, unless the
// connection has ended by then; if its error is not nil, the connection is closed afterwards. From then on the
// handler receives decrypted bytes, and Write encrypts; nothing may be written before that. Such a connection
// can't be detached.
func (c *Conn) StartServerTLS(cfg *tls.Config, timeout time.Duration, done func(tls.ConnectionState, error)) {
	c.startTLS(func(p net.Conn) *tls.Conn { return tls.Server(p, cfg) }, timeout, done)
}

// StartClientTLS is StartServerTLS in the client's role.
func (c *Conn) StartClientTLS(cfg *tls.Config, timeout time.Duration, done func(tls.ConnectionState, error)) {
	c.startTLS(func(p net.Conn) *tls.Conn { return tls.Client(p, cfg) }, timeout, done)
}

// UsesTLS reports whether TLS was started on the connection, also while the handshake is in progress.
func (c *Conn) UsesTLS() bool { return c.tls != nil }

// startTLS runs the handshake of the TLS connection that newConn returns for a pipe.
func (c *Conn) startTLS(newConn func(net.Conn) *tls.Conn, timeout time.Duration, done func(tls.ConnectionState, error)) {
	s := &tlsSession{c: c, scratch: make([]byte, tlsReadSize)}
	s.pipe = &tlsPipe{blocking: true, addr: c.socket.RemoteAddr(), write: func(b []byte) {
		data := append([]byte(nil), b...)
		c.loop.Post(func() { c.writeSocket(data) })
	}}
	s.pipe.ready = sync.NewCond(&s.pipe.mu)
	s.conn = newConn(s.pipe)
	c.tls = s
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		defer cancel()
		stop := context.AfterFunc(ctx, s.pipe.close) // unblocks a waiting Read
		err := s.conn.HandshakeContext(ctx)
		stop()
		c.loop.Post(func() { s.handshakeEnded(err, done) })
	}()
	c.ScheduleData()
}

// handshakeEnded makes the session non-blocking, for use on the loop's goroutine, and calls done.
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

// write encrypts and sends p. It reports whether p was encrypted; before the end of the handshake it sends
// nothing and returns false. An error of the socket closes the connection and is not reported.
func (s *tlsSession) write(p []byte) bool {
	if !s.established {
		return false
	}
	_, err := s.conn.Write(p)
	return err == nil
}

// feed moves the bytes that were read from the socket to the pipe, unless the pipe already holds tlsReadSize bytes
// or more. It reports whether it moved any.
func (s *tlsSession) feed() bool {
	in := &s.c.in
	if in.Len() == 0 || s.pipe.len() >= tlsReadSize {
		return false
	}
	s.pipe.feed(in.Bytes())
	in.Consume(in.Len())
	return true
}

// deliver decrypts the input and passes it to the handler, up to the buffer's limit. The connection's
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
		case err != nil: // the end of the stream, or invalid TLS data
			s.c.closeSocket(err)
			return
		case s.plain.Len() >= s.c.bufferLimit(): // the handler calls ScheduleData once it can consume more
			return
		}
	}
}

// decrypt decrypts until the plain buffer is at its limit or a read fails, and passes the buffer to the handler.
// It returns the error of the read.
func (s *tlsSession) decrypt() (err error) {
	c := s.c
	before := s.plain.Len()
	for s.plain.Len() < c.bufferLimit() && err == nil {
		var n int
		n, err = s.conn.Read(s.scratch)
		s.plain.append(s.scratch[:n])
	}
	length := s.plain.Len()
	c.loop.input.used.Add(int64(length - before))
	if length > 0 {
		c.handler.Data(c, &s.plain)
		c.loop.input.used.Add(int64(s.plain.Len() - length))
	}
	return err
}
