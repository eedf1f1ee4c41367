package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playFinish: many statements that were under way when an upgrade began end together behind its probation, as those do that
// waited for the same load, and their clients go on with the next one after a moment. The upgrade ends well.
func playFinish(r *rig) (broken []string) {
	const (
		clients = 240
		wanted  = 100                    // of them must have a statement under way
		think   = 12                     // ms at most, behind an answer
		more    = 6                      // statements of each client behind its first
		length  = 600 * time.Millisecond // of each of them
		span    = 7 * time.Second        // until the load is over
	)
	gate := time.Now().Add(time.Hour)
	var mu sync.Mutex
	work := func(query, key string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case key == "first":
			return time.Until(gate)
		case strings.HasPrefix(key, "next"):
			return length
		}
		return 5 * time.Millisecond
	}
	var engines []*engine
	for i := range 10 {
		engines = append(engines, r.engine(fmt.Sprintf("e%d", i+1), []string{"hall-a", "hall-b"}[i%2], nil, work))
	}
	catalogue := r.consul(engines...)
	r.write("settings.json", r.settings(nil))
	listen := r.freePort()
	postgres := r.write("postgres.toml", r.deployFile("postgres.toml", "listen =", `listen = "`+listen+`"`, "settings =", `settings = "settings.json"`,
		"address =", `address = "`+catalogue.addr+`"`))
	upgrade := r.write("upgrade.toml", r.deployFile("upgrade.toml", "admin =", `admin = "`+r.dir+`/admin.sock"`))
	gateway := r.run("gateway", "serve", "--log-format", "json", "--postgres", postgres, "--upgrade", upgrade)
	r.await(gateway, "serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the catalogue has been read

	const statement = "UPDATE stock_17.orders SET sent = true WHERE mark = $1"
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var quick atomic.Int64
	for range 3 { // others that keep the new process busy
		c := r.client(listen)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if a := c.execute("SELECT 1 WHERE $1 = $1", 10*time.Second, "quick"); a.err == nil && a.code == "" {
					quick.Add(1)
				}
			}
		}()
	}
	mu.Lock()
	gate = time.Now().Add(span)
	mu.Unlock()
	type result struct {
		first, last answer
		answered    int // further statements
	}
	results := make([]result, clients)
	var all sync.WaitGroup
	for i := range clients {
		c := r.client(listen)
		all.Add(1)
		go func() {
			defer all.Done()
			defer c.close()
			results[i].first = c.execute(statement, 20*time.Second, "first")
			if results[i].first.err != nil || results[i].first.code != "" {
				return
			}
			for n := range more {
				time.Sleep(time.Duration((i+n)%think) * time.Millisecond)
				if results[i].last = c.execute(statement, 20*time.Second, fmt.Sprintf("next-%d-%d", i+1, n+2)); results[i].last.err != nil {
					return
				}
				results[i].answered++
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.run("upgrade", "upgrade", "--upgrade", upgrade)
		r.await(gateway, "upgrade.done", 15*time.Second, nil)
		r.logf("the new process is the owner; the old one completes what it has under way")
		if !time.Now().Before(gate) {
			r.giveUp("the upgrade took too long")
		}
	}
	all.Wait()
	close(stop)
	wg.Wait()
	time.Sleep(time.Second) // what still runs at engines ends
	under, applied := 0, 0
	for i, res := range results {
		if res.first.code == "" && res.first.err == nil {
			under++
			r.logf("client %d: first: %v, %d further answered, the last: %v", i+1, res.first, res.answered, res.last)
			if res.last.err != nil {
				key, ran := fmt.Sprintf("next-%d-%d", i+1, res.answered+2), 0
				for _, e := range engines {
					ran += e.effects(key)
				}
				applied += ran
				broken = append(broken, fmt.Sprintf("client %d got no answer to its statement %d: %v; it was applied %d times", i+1, res.answered+2, res.last.err, ran))
			}
		} else {
			r.logf("client %d: first: %v", i+1, res.first)
			if res.first.err != nil {
				broken = append(broken, fmt.Sprintf("client %d got no answer to its first statement: %v", i+1, res.first.err))
			}
		}
	}
	r.logf("%d of %d clients had a statement under way; %d quick answers to others", under, clients, quick.Load())
	r.logf("%d statements got no answer; %d of them were applied", len(broken), applied)
	if under < wanted {
		r.giveUp("only %d statements were under way", under)
	}
	return broken
}
