package emul

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// mostText bounds a statement, as the front end's own limit does.
const mostText = 1 << 20

// Lines serves the platform's line protocol on a listener until that is closed: an engine
// that answers each statement, after notes of progress, with rows that say what it was
// asked. Nothing waits for anything there but its own work.
func Lines(ln net.Listener, opts Options) {
	each(ln, func(c net.Conn) {
		(&session{Options: opts, conn: c, running: map[string]context.CancelFunc{}}).serve()
	})
}

// each serves every connection of a listener in a goroutine of its own, and ends them with it.
func each(ln net.Listener, serve func(net.Conn)) {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	for {
		c, err := ln.Accept()
		if err != nil {
			mu.Lock()
			for c := range open {
				_ = c.Close()
			}
			mu.Unlock()
			return
		}
		mu.Lock()
		open[c] = true
		mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				mu.Lock()
				delete(open, c)
				mu.Unlock()
			}()
			serve(c)
		}()
	}
}

// session is one connection of a front end.
type session struct {
	Options
	conn net.Conn

	mu      sync.Mutex // guards writes and what follows
	running map[string]context.CancelFunc
}

func (s *session) serve() {
	r := bufio.NewReader(s.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			s.giveUp("") // closing the connection gives up all that is open on it
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			var length int
			if _, err := fmt.Sscan(words[3], &length); err != nil || length < 0 || length > mostText {
				return
			}
			text := make([]byte, length+2) // CR LF follows
			if _, err := io.ReadFull(r, text); err != nil {
				return
			}
			s.start(words[1], words[2], string(text[:length]))
		case len(words) == 2 && words[0] == "never_mind":
			s.giveUp(words[1])
		}
	}
}

func (s *session) start(id, fields, statement string) {
	s.Log.Info("asked", "id", id, "fields", fields, "statement", short(statement))
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.running[id] = cancel
	s.mu.Unlock()
	took, memory := s.Work(statement)
	token := ""
	for f := range strings.SplitSeq(fields, ",") {
		if v, ok := strings.CutPrefix(f, "token="); ok {
			token = v
		}
	}
	if !s.Ledger.Begin(s.Name, statement, token) {
		took = 0 // a repeat that is dropped
	}
	go func() {
		defer cancel()
		for part := 1; part <= 4; part++ {
			select {
			case <-ctx.Done():
				s.Log.Info("given up", "id", id)
				return
			case <-time.After(took / 4):
			}
			if part < 4 {
				s.write("%s TELL res=p,num=%.2f 0\r\n\r\n", id, float64(part)/4)
			}
		}
		clean := strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(statement)
		page := fmt.Sprintf("fields\t%s\ttoy\nstatement\t%s\ttoy\n", fields, clean)
		s.write("%s DONE batches=1,cpu=%d,used=%.0f,gauges=util:0.1;queue:0;x1:0;x0:0 %d\r\n%s\r\n",
			id, took.Milliseconds(), memory, len(page), page)
		s.giveUp(id)
	}()
}

// giveUp ends one statement, or all.
func (s *session) giveUp(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one, cancel := range s.running {
		if id == "" || id == one {
			cancel()
			delete(s.running, one)
		}
	}
}

func (s *session) write(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.conn, format, args...)
}
