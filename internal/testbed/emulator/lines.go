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

// maxStatementBytes limits the length of a statement. It equals the gateway's own limit.
const maxStatementBytes = 1 << 20

// Lines serves the platform's line protocol on a listener until that is closed. The engine answers each
// statement, after progress messages, with rows that contain the request's fields and its statement.
// Without a Machine statements do not wait for each other.
func Lines(ln net.Listener, opts Options) {
	serveEach(ln, func(c net.Conn) {
		(&session{Options: opts, conn: c, running: map[string]context.CancelFunc{}}).serve()
	})
}

// serveEach serves every connection of a listener in a goroutine of its own. It closes all connections when
// the listener closes.
func serveEach(ln net.Listener, serve func(net.Conn)) {
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

// session is one connection of a gateway.
type session struct {
	Options
	conn net.Conn

	mu      sync.Mutex                    // guards writes and the fields below
	running map[string]context.CancelFunc // by statement id
	queries map[string]uint64             // ids of the queries at the machine, by statement id
}

// setQuery stores the id of a statement's query at the machine.
func (s *session) setQuery(id string, n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queries == nil {
		s.queries = map[string]uint64{}
	}
	s.queries[id] = n
}

// setPriority sets the priority of a running statement.
func (s *session) setPriority(id, priority string) {
	s.mu.Lock()
	n, ok := s.queries[id]
	s.mu.Unlock()
	if p, err := strconv.Atoi(priority); err == nil && ok {
		s.Machine.SetPriority(n, p)
	}
}

// serve reads and performs the gateway's commands until the connection ends or a command is invalid.
func (s *session) serve() {
	r := bufio.NewReader(s.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			s.cancel("") // closing the connection cancels all its statements
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			var length int
			if _, err := fmt.Sscan(words[3], &length); err != nil || length < 0 || length > maxStatementBytes {
				return
			}
			text := make([]byte, length+2) // CR LF follows
			if _, err := io.ReadFull(r, text); err != nil {
				return
			}
			s.start(words[1], words[2], string(text[:length]))
		case len(words) == 3 && words[0] == "hurry":
			s.setPriority(words[1], words[2])
		case len(words) == 2 && words[0] == "never_mind":
			s.cancel(words[1])
		}
	}
}

// start executes a statement in the background and writes its answer. A repeat that the ledger drops is
// answered at once.
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
	execute := s.Ledger.Begin(s.Name, statement, token)
	go func() {
		defer cancel()
		if !execute { // a dropped repeat
			s.done(id, fields, statement, 0, 0)
			return
		}
		ended := make(chan struct{})
		go s.reportProgress(ctx, id, ended)
		end, took, ok := s.execute(statement, func(q *enginemodel.Query) { s.applyFields(q, fields) }, func(n uint64) { s.setQuery(id, n) }, ctx.Done())
		close(ended)
		switch {
		case !ok:
			s.Log.Info("given up", "id", id)
		case end.Full:
			s.write("%s WAIT - 0\r\n\r\n", id)
		default:
			s.done(id, fields, statement, took, end.Used)
		}
		s.cancel(id)
	}()
}

// progressInterval is the time between the progress messages of a statement.
const progressInterval = 500 * time.Millisecond

// reportProgress writes progress messages for a statement until it ends or is canceled.
func (s *session) reportProgress(ctx context.Context, id string, ended <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for n := 1.0; ; n++ {
		select {
		case <-t.C:
			s.write("%s TELL res=p,num=%.2f 0\r\n\r\n", id, n/(n+2))
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyFields sets the memory grant and the priority that the gateway requests for a statement.
func (s *session) applyFields(q *enginemodel.Query, fields string) {
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

// done writes the answer to a statement: the reported load, and rows with the fields and the statement.
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

// cancel cancels one statement, or all if id is "".
func (s *session) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for running, cancel := range s.running {
		if id == "" || id == running {
			cancel()
			delete(s.running, running)
			delete(s.queries, running)
		}
	}
}

// write writes to the gateway. It ignores errors: the reading side notices that the connection has ended.
func (s *session) write(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.conn, format, args...)
}
