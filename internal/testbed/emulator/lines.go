package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/testbed/enginemodel"
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
	numbers map[string]uint64 // at the machine
}

// at notes the number of a statement at the machine.
func (s *session) at(id string, n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.numbers == nil {
		s.numbers = map[string]uint64{}
	}
	s.numbers[id] = n
}

// hurry sets a statement's priority.
func (s *session) hurry(id, priority string) {
	s.mu.Lock()
	n, ok := s.numbers[id]
	s.mu.Unlock()
	if p, err := strconv.Atoi(priority); err == nil && ok {
		s.Machine.Hurry(n, p)
	}
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
		case len(words) == 3 && words[0] == "hurry":
			s.hurry(words[1], words[2])
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
	token := ""
	for f := range strings.SplitSeq(fields, ",") {
		if v, ok := strings.CutPrefix(f, "token="); ok {
			token = v
		}
	}
	carried := s.Ledger.Begin(s.Name, statement, token)
	go func() {
		defer cancel()
		if !carried { // a repeat that is dropped
			s.done(id, fields, statement, 0, 0)
			return
		}
		over := make(chan struct{})
		go s.notes(ctx, id, over)
		end, took, ok := s.carry(statement, func(q *enginemodel.Query) { s.asked(q, fields) }, func(n uint64) { s.at(id, n) }, ctx.Done())
		close(over)
		switch {
		case !ok:
			s.Log.Info("given up", "id", id)
		case end.Full:
			s.write("%s WAIT - 0\r\n\r\n", id)
		default:
			s.done(id, fields, statement, took, end.Used)
		}
		s.giveUp(id)
	}()
}

// notesEvery is how often notes tell how far a statement is.
const notesEvery = 500 * time.Millisecond

// notes says now and then that a statement is still at work.
func (s *session) notes(ctx context.Context, id string, over <-chan struct{}) {
	t := time.NewTicker(notesEvery)
	defer t.Stop()
	for n := 1.0; ; n++ {
		select {
		case <-t.C:
			s.write("%s TELL res=p,num=%.2f 0\r\n\r\n", id, n/(n+2))
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// asked takes what the gateway says of a statement.
func (s *session) asked(q *enginemodel.Query, fields string) {
	for f := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(f, "=")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case name == "mb":
			q.GrantMB = n
		case name == "nice":
			q.Priority = int(n)
		}
	}
}

// done writes the answer: rows that say what was asked, and what the engine reports.
func (s *session) done(id, fields, statement string, took time.Duration, memory float64) {
	load := enginemodel.Load{Util: 0.1}
	if s.Machine != nil {
		load = s.Machine.Load()
	}
	clean := strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(statement)
	page := fmt.Sprintf("fields\t%s\ttoy\nstatement\t%s\ttoy\n", fields, clean)
	s.write("%s DONE batches=1,cpu=%d,used=%.0f,gauges=util:%.2f;queue:%d;x1:%.2f;x0:%.2f %d\r\n%s\r\n",
		id, took.Milliseconds(), memory, load.Util, load.Waiting, load.Disks, load.Memory, len(page), page)
}

// giveUp ends one statement, or all.
func (s *session) giveUp(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one, cancel := range s.running {
		if id == "" || id == one {
			cancel()
			delete(s.running, one)
			delete(s.numbers, one)
		}
	}
}

func (s *session) write(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.conn, format, args...)
}
