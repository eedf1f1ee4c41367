package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxRequestBytes bounds a request, its newline included.
	maxRequestBytes = 64 << 10
	// maxCalls bounds the calls that are served at once; further connections wait to be accepted.
	maxCalls = 16
	// callTimeout bounds the wait for a request, and each write of a reply.
	callTimeout = 5 * time.Second
	// acceptBackoff is the pause after a failed accept, such as one that found no free descriptor.
	acceptBackoff = 50 * time.Millisecond
	// socketMode lets only the socket's owner connect.
	socketMode = 0o600
)

// Handler handles one request. It calls reply one or more times, the last time with Done set.
type Handler func(request Request, reply func(Reply))

// Server accepts requests on a Unix socket.
type Server struct{ listener *net.UnixListener }

// Listen creates a socket at path and serves requests on it until Close. A socket that exists at
// path is replaced atomically, so that a process that takes over from another also takes over the
// socket. handle is called for each request, on a goroutine of its own that ends with the call.
func Listen(path string, handle Handler) (*Server, error) {
	temporary := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	_ = os.Remove(temporary) // left by a process with the same id that crashed at this point
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	ln.SetUnlinkOnClose(false) // another process may have replaced the socket by then
	err = os.Chmod(temporary, socketMode)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = ln.Close()
		_ = os.Remove(temporary)
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{listener: ln}
	go s.serve(handle)
	return s, nil
}

// Close stops accepting calls. Open calls continue.
func (s *Server) Close() error { return s.listener.Close() }

// serve accepts connections until the listener is closed, at most maxCalls at once.
func (s *Server) serve(handle Handler) {
	slots := make(chan struct{}, maxCalls)
	for {
		slots <- struct{}{}
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			<-slots
			time.Sleep(acceptBackoff)
			continue
		}
		go func() {
			defer func() {
				_ = c.Close()
				<-slots
			}()
			serveCall(c, handle)
		}()
	}
}

// serveCall reads one request and passes it to the handler.
func serveCall(c net.Conn, handle Handler) {
	request, err := readRequest(c)
	if err != nil {
		writeReply(c, Reply{Problem: fmt.Sprintf("cannot read request: %v", err), Done: true})
		return
	}
	handle(request, func(r Reply) { writeReply(c, r) })
}

func readRequest(c net.Conn) (Request, error) {
	var request Request
	_ = c.SetReadDeadline(time.Now().Add(callTimeout)) // fails only on a closed connection, on which the read fails too
	line, err := bufio.NewReader(io.LimitReader(c, maxRequestBytes)).ReadBytes('\n')
	if err != nil {
		return request, err
	}
	err = json.Unmarshal(line, &request)
	return request, err
}

// writeReply sends a reply. It drops errors: a client that has disconnected needs no reply.
func writeReply(c net.Conn, r Reply) {
	b, err := json.Marshal(r)
	if err != nil {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(callTimeout))
	_, _ = c.Write(append(b, '\n'))
}
