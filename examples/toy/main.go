// Command toy is an engine to try ringwood with. It speaks the platform's line
// protocol and answers each statement, after some notes of progress, with rows that
// say what it was asked.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"time"
)

func main() {
	addr := flag.String("listen", "127.0.0.1:9101", "`address` to listen at; give only one on this machine")
	work := flag.Duration("work", 300*time.Millisecond, "how long a statement takes")
	flag.Parse()
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		log.Fatal(err)
	}
	log.Printf("toy engine at %s", ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go (&session{conn: c, work: *work, running: map[string]context.CancelFunc{}}).serve()
	}
}

// session is one connection of a front end.
type session struct {
	conn net.Conn
	work time.Duration

	mu      sync.Mutex // guards writes and what follows
	running map[string]context.CancelFunc
}

func (s *session) serve() {
	defer s.conn.Close()
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
			if _, err := fmt.Sscan(words[3], &length); err != nil || length < 0 || length > 1<<20 {
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
	log.Printf("%s wants %s: %s", id, fields, statement)
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.running[id] = cancel
	s.mu.Unlock()
	go func() {
		defer cancel()
		for part := 1; part <= 4; part++ {
			select {
			case <-ctx.Done():
				log.Printf("%s given up", id)
				return
			case <-time.After(s.work / 4):
			}
			if part < 4 {
				s.write("%s TELL res=p,num=%.2f 0\r\n\r\n", id, float64(part)/4)
			}
		}
		clean := strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(statement)
		page := fmt.Sprintf("fields\t%s\ttoy\nstatement\t%s\ttoy\n", fields, clean)
		s.write("%s DONE batches=1,cpu=%d,used=1,gauges=util:0.1;queue:0;x1:0;x0:0 %d\r\n%s\r\n",
			id, s.work.Milliseconds(), len(page), page)
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
