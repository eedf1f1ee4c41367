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
	maxRequestBytes = 64 << 10
	maxCalls        = 16              // at once; the next wait
	callTimeout     = 5 * time.Second // for the request to arrive, and for each reply to be taken
	// acceptBackoff is the pause after a failed accept, as when no descriptor is left.
	acceptBackoff = 50 * time.Millisecond
	socketMode    = 0o600
)

// Handler answers a request by one reply or several, the last with Done.
type Handler func(request Request, reply func(Reply))

// Server answers on a socket.
type Server struct{ listener *net.UnixListener }

// Listen answers at a path until Close. A socket of that name is replaced in one step, so that a
// process which takes over from another has it from then on. handle is called for each request,
// on a goroutine of its own, which ends with the call.
func Listen(path string, handle Handler) (*Server, error) {
	temporary := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	_ = os.Remove(temporary) // of a process of this number that crashed here
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	ln.SetUnlinkOnClose(false) // the name may be another's by then
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

// Close accepts no more calls. Those that are open go on.
func (s *Server) Close() error { return s.listener.Close() }

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

func serveCall(c net.Conn, handle Handler) {
	request, err := readRequest(c)
	if err != nil {
		writeReply(c, Reply{Problem: fmt.Sprintf("the request can't be read: %v", err), Done: true})
		return
	}
	handle(request, func(r Reply) { writeReply(c, r) })
}

func readRequest(c net.Conn) (Request, error) {
	var request Request
	_ = c.SetReadDeadline(time.Now().Add(callTimeout)) // fails only on a closed connection, as the read does then
	line, err := bufio.NewReader(io.LimitReader(c, maxRequestBytes)).ReadBytes('\n')
	if err != nil {
		return request, err
	}
	err = json.Unmarshal(line, &request)
	return request, err
}

// writeReply drops errors: a caller that has left needs no reply.
func writeReply(c net.Conn, r Reply) {
	b, err := json.Marshal(r)
	if err != nil {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(callTimeout))
	_, _ = c.Write(append(b, '\n'))
}
