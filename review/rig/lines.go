package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lineRun is one execution of a request at a line engine.
type lineRun struct {
	id, engine, class string
	began, ended      time.Time // reached the engine whole; its end was written or it was given up
	how               string
}

// lineEngine is a stand-in for a sound engine of the platform's line protocol. It runs all that it is sent at once; what
// is given up, or whose connection ends, stops.
type lineEngine struct {
	name string
	rec  *recorder
	work func(class string) time.Duration

	mu   sync.Mutex
	runs []*lineRun
}

func (e *lineEngine) listen() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "engine")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (e *lineEngine) history() []lineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var runs []lineRun
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

func (e *lineEngine) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	write := func(format string, args ...any) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = fmt.Fprintf(c, format, args...)
	}
	type open struct {
		run  *lineRun
		stop chan struct{}
	}
	running := map[string]open{} // guarded by e.mu
	end := func(id, how string) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		o, ok := running[id]
		if ok {
			delete(running, id)
			o.run.ended, o.run.how = time.Now(), how
			close(o.stop)
			e.rec.log("%s %s %s", e.name, how, id)
		}
		return ok
	}
	defer func() {
		e.mu.Lock()
		var ids []string
		for id := range running {
			ids = append(ids, id)
		}
		e.mu.Unlock()
		for _, id := range ids {
			end(id, "loses the connection of")
		}
	}()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		id := words[1]
		switch words[0] {
		case "want":
			length, err := strconv.Atoi(words[len(words)-1])
			if err != nil {
				return
			}
			if _, err := io.ReadFull(r, make([]byte, length+2)); err != nil {
				return
			}
			class := ""
			for _, field := range strings.Split(words[2], ",") {
				if name, value, _ := strings.Cut(field, "="); name == "kind" {
					class = value
				}
			}
			o := open{run: &lineRun{id: id, engine: e.name, class: class, began: time.Now()}, stop: make(chan struct{})}
			e.mu.Lock()
			e.runs = append(e.runs, o.run)
			running[id] = o
			e.mu.Unlock()
			e.rec.log("%s begins %s %s", e.name, class, id)
			go func() {
				work := e.work(class)
				done := time.After(work)
				notes := time.NewTicker(500 * time.Millisecond)
				defer notes.Stop()
				for {
					select {
					case <-o.stop:
						return
					case <-notes.C:
						write("%s TELL res=p,num=%.2f 0\r\n\r\n", id, min(time.Since(o.run.began).Seconds()/work.Seconds(), 0.99))
					case <-done:
						if end(id, "ends") {
							body := "a\tb\tc\n"
							write("%s DONE batches=1,cpu=%d,used=64 %d\r\n%s\r\n", id, work.Milliseconds(), len(body), body)
						}
						return
					}
				}
			}()
		case "never_mind":
			end(id, "is told to give up")
		case "turn":
			write("%s BROKE - 0\r\n\r\n", id) // no result has more than one page
		case "there", "busy":
			write("%s FIT gauges=inflight:%d;util:0.2 0\r\n\r\n", id, len(running))
		}
	}
}
