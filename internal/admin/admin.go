// Package admin is the local socket by which operators speak to a gateway that serves: one
// request in JSON on a line, replies in JSON, a line each, until one that says done. Who may
// open the socket's file may use it: it is made for its owner alone.
package admin

import (
	"bufio"
	"context"
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
	mostLine  = 64 << 10
	mostCalls = 16              // at once; the next wait
	askWithin = 5 * time.Second // for the request's line, and for each reply to be taken
)

// Request is what an operator wants.
type Request struct {
	Command string   `json:"do"` // status, upgrade, check, site-status, site-drain, site-undrain, members
	Site    string   `json:"site,omitempty"`
	Program string   `json:"program,omitempty"`
	Args    []string `json:"args,omitempty"`
}

// Reply is one line of an answer.
type Reply struct {
	Phase      string          `json:"phase,omitempty"`
	Problem    string          `json:"why,omitempty"` // of what did not go well
	Build      string          `json:"build,omitempty"`
	Status     *Status         `json:"status,omitempty"`
	Sites      json.RawMessage `json:"sites,omitempty"` // crossing.Overview
	Membership json.RawMessage `json:"fleet,omitempty"` // members.Overview
	Done       bool            `json:"done"`
}

// Status is how a gateway stands.
type Status struct {
	PID           int              `json:"pid"`
	Build         string           `json:"build"`
	Frontend      string           `json:"front"`
	Listen        string           `json:"listen"`
	Phase         string           `json:"phase"` // of an upgrade
	TookOver      bool             `json:"took_over"`
	UptimeSeconds float64          `json:"up_s"`
	Connections   int              `json:"connections"`
	Unanswered    int              `json:"unanswered"`
	Counters      map[string]int64 `json:"counters"`
}

// Server answers on a socket.
type Server struct {
	ln   *net.UnixListener
	path string
}

// Listen answers at a path. A socket of that name is replaced in one step, so that a process
// which takes over from another has it from then on. answer is called for each request, on a
// goroutine of its own; it may say several replies.
func Listen(path string, answer func(Request, func(Reply))) (*Server, error) {
	aside := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	_ = os.Remove(aside) // of a process of this number that crashed here
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: aside, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	ln.SetUnlinkOnClose(false) // the name may be another's by then
	if err = os.Chmod(aside, 0o600); err == nil {
		err = os.Rename(aside, path)
	}
	if err != nil {
		_ = ln.Close()
		_ = os.Remove(aside)
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{ln: ln, path: path}
	go s.serve(answer)
	return s, nil
}

// Close answers no more.
func (s *Server) Close() error { return s.ln.Close() }

func (s *Server) serve(answer func(Request, func(Reply))) {
	room := make(chan struct{}, mostCalls)
	for {
		room <- struct{}{}
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor, say
			<-room
			time.Sleep(50 * time.Millisecond)
			continue
		}
		go func() {
			defer func() { _ = c.Close(); <-room }()
			one(c, answer)
		}()
	}
}

func one(c net.Conn, answer func(Request, func(Reply))) {
	say := func(r Reply) {
		b, err := json.Marshal(r)
		if err != nil {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(askWithin))
		_, _ = c.Write(append(b, '\n')) // who has left needs no reply
	}
	_ = c.SetReadDeadline(time.Now().Add(askWithin))
	line, err := bufio.NewReader(io.LimitReader(c, mostLine)).ReadBytes('\n')
	var r Request
	if err == nil {
		err = json.Unmarshal(line, &r)
	}
	if err != nil {
		say(Reply{Problem: fmt.Sprintf("the request can't be read: %v", err), Done: true})
		return
	}
	answer(r, say)
}

// FetchStatus asks the gateway behind a socket how it stands.
func FetchStatus(ctx context.Context, path string) (*Status, error) {
	last, err := Call(ctx, path, Request{Command: "status"}, func(Reply) {})
	if err == nil && last.Status == nil {
		err = errors.New(last.Problem)
	}
	return last.Status, err
}

// Call asks the gateway behind a socket, and has each reply taken up to the last.
func Call(ctx context.Context, path string, r Request, each func(Reply)) (last Reply, err error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	if err != nil {
		return last, fmt.Errorf("admin: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	b, err := json.Marshal(r)
	if err != nil {
		return last, fmt.Errorf("admin: %w", err)
	}
	if _, err := c.Write(append(b, '\n')); err != nil {
		return last, fmt.Errorf("admin: %w", err)
	}
	in := bufio.NewScanner(c)
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		last = Reply{}
		if err := json.Unmarshal(in.Bytes(), &last); err != nil {
			return last, fmt.Errorf("admin: %w", err)
		}
		if last.Done {
			return last, nil
		}
		each(last)
	}
	return last, fmt.Errorf("admin: the gateway ended without a last word: %w", errors.Join(in.Err(), ctx.Err(), io.ErrUnexpectedEOF))
}
