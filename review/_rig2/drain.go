package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// gag relays connections. Those that are open when it is told to fall silent stay open and carry nothing more;
// later ones work.
type gag struct {
	addr, target string
	mu           sync.Mutex
	silent       []chan struct{} // one for each relayed connection, closed when it falls silent
}

func (r *rig) gag(target string) *gag {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	g := &gag{addr: ln.Addr().String(), target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", target)
			if err != nil {
				_ = c.Close()
				continue
			}
			silent := make(chan struct{})
			g.mu.Lock()
			g.silent = append(g.silent, silent)
			g.mu.Unlock()
			go carryUntil(c, d, silent)
			go carryUntil(d, c, silent)
		}
	}()
	return g
}

func carryUntil(from, to net.Conn, silent chan struct{}) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-silent: // it stays open: neither bytes nor the end are passed on
			if err == nil {
				continue
			}
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}

// fallSilent makes the open connections silent and returns their number.
func (g *gag) fallSilent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.silent {
		close(s)
	}
	n := len(g.silent)
	g.silent = nil
	return n
}

// playDrain: the open watches of the catalogue fall silent once; later an engine is marked as draining, and stops 20 s
// after the mark.
func playDrain(r *rig) (broken []string) {
	const (
		told   = 7 * time.Second        // what discovery has to tell counts as told then, whether it arrived or not
		grace  = 2 * time.Second        // nothing new to a draining engine after that
		slack  = 50 * time.Millisecond  // on sockets every limit is so much longer
		stopAt = 20 * time.Second       // after the mark, the engine's process is stopped
		work   = 400 * time.Millisecond // of a statement
	)
	var engines []*engine
	for i := range 3 {
		engines = append(engines, r.engine(fmt.Sprintf("e%d", i+1), "hall-a", nil, func(string, string) time.Duration { return work }))
	}
	catalogue := r.consul(engines...)
	watch := r.gag(catalogue.addr)
	r.write("settings.json", r.settings(nil))
	listen := r.freePort()
	postgres := r.write("postgres.toml", r.deployFile("postgres.toml", "listen =", `listen = "`+listen+`"`, "settings =", `settings = "settings.json"`,
		"address =", `address = "`+watch.addr+`"`))
	gateway := r.run("gateway", "serve", "--log-format", "json", "--postgres", postgres)
	r.await(gateway, "serving", 10*time.Second, nil)
	time.Sleep(time.Second) // the catalogue has been read

	var mu sync.Mutex
	lost := map[string]string{} // writes whose client heard that they may have run, by mark
	end := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := r.client(listen)
			defer func() { c.close() }()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				mark := fmt.Sprintf("order-%d-%d", i+1, n)
				a := c.execute("UPDATE stock_17.orders SET sent = true WHERE mark = $1", 20*time.Second, mark)
				if a.code == "40003" || a.err != nil {
					r.logf("client %d is told of %s: %v", i+1, mark, a)
					mu.Lock()
					lost[mark] = a.String()
					mu.Unlock()
				}
				if a.err != nil {
					c.close()
					c = r.client(listen)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.logf("%d open connections to the catalogue fall silent; new ones work", watch.fallSilent())
	}
	time.Sleep(time.Second)
	marked := time.Now()
	drained := engines[0]
	catalogue.set(drained, func(m *member) { m.draining = true })
	time.Sleep(time.Until(marked.Add(stopAt)))
	r.logf("%s is stopped, %v after its mark", drained.name, stopAt)
	drained.end()
	catalogue.set(drained, func(m *member) { m.gone = true })
	time.Sleep(3 * time.Second)
	close(end)
	wg.Wait()

	late, lostLate := 0, 0
	var last time.Duration
	drained.mu.Lock()
	for _, a := range drained.received {
		since := a.at.Sub(marked)
		if since <= told+grace+slack {
			continue
		}
		late++
		last = since
		if why, ok := lost[a.key]; ok && !a.ended {
			lostLate++
			r.logf("%s reached the draining engine %.2f s after its mark and was lost: %s", a.key, since.Seconds(), why)
		}
	}
	drained.mu.Unlock()
	r.logf("writes that reached %s later than %v after its mark: %d, the last %.2f s after it; of these lost: %d", drained.name, told+grace+slack, late, last.Seconds(), lostLate)
	if lostLate > 0 {
		broken = append(broken, fmt.Sprintf("%d writes were sent to the draining engine later than %v after its mark, the last %.1f s after it; %d of them were lost when it stopped", late, told+grace+slack, last.Seconds(), lostLate))
	}
	return broken
}
