package main

import (
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// order sends loads that run in order for each key, and replaces the process behind the platform's socket meanwhile.
func order(rec *recorder, trouble bool) {
	const keys = 8
	dir := tempDir()
	var engines []*lineEngine
	var addrs []string
	for i := range 4 {
		e := &lineEngine{name: fmt.Sprintf("engine %d", i+1), rec: rec, work: func(string) time.Duration { return 1500 * time.Millisecond }}
		engines, addrs = append(engines, e), append(addrs, e.listen())
	}
	platformConfig(filepath.Join(dir, "config.json"), addrs, func(config, settings map[string]any) {
		for _, class := range settings["classes"].([]any) {
			if c := class.(map[string]any); c["name"] == "load" {
				delete(c, "window-ms")
				c["effect"], c["in-order"], c["hard-limit-ms"] = "non_idempotent", true, 25000.0
			}
		}
		settings["contract"].(map[string]any)["settle-after-doubt-ms"] = 300.0
	})
	p := newPlatform(dir)
	current := p.start()
	type taken struct {
		id  string
		key int
		at  time.Time
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var requests []taken
	answered, served := 0, 0
	send := func(key, n int) {
		id := fmt.Sprintf("%08x%08x", key+1, n)
		all.Go(func() {
			answer := call(p.addr, "load", id, fmt.Sprintf("Req-Key: %016x\r\n", key+1), 25*time.Second, func() {
				mu.Lock()
				requests = append(requests, taken{id, key, time.Now()})
				mu.Unlock()
				rec.log("client sent load %s with key %d", id, key+1)
			})
			rec.log("client heard of %s: %s", id, answer)
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(answer, "200") {
				served++
			}
			answered++
		})
	}
	// Each key has a load every 4 s, and another one 600 ms behind it. A load takes 1.5 s.
	for k := range keys {
		all.Go(func() {
			time.Sleep(time.Duration(k) * 500 * time.Millisecond)
			for n := 0; n < 10; n += 2 {
				send(k, n)
				time.Sleep(600 * time.Millisecond)
				send(k, n+1)
				time.Sleep(3400 * time.Millisecond)
			}
		})
	}
	time.Sleep(9 * time.Second)
	if trouble {
		rec.log("TROUBLE the platform starts run once more")
		p.start()
		rec.log("the new process said yes; SIGTERM goes to the old one")
		current.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(5700 * time.Millisecond)
			if !current.exited() {
				rec.log("SIGKILL to the old process")
				current.signal(syscall.SIGKILL)
			}
		}()
	}
	all.Wait()

	var broken []string
	fault := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf(format, args...))
		rec.log("FAULT "+format, args...)
	}
	runs := map[string][]lineRun{}
	for _, e := range engines {
		for _, r := range e.history() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].at.Before(requests[j].at) })
	const slack = 50 * time.Millisecond // each time limit grows by 50 ms
	for i, first := range requests {
		for _, second := range requests[i+1:] {
			if first.key != second.key {
				continue
			}
			for _, a := range runs[first.id] {
				for _, b := range runs[second.id] {
					if a.ended.IsZero() || b.began.Before(a.ended.Add(-slack)) {
						fault("key %d: load %s was sent %.3f s before the earlier one %s had ended", first.key+1, second.id, a.ended.Sub(b.began).Seconds(), first.id)
					}
				}
			}
		}
	}
	for id, r := range runs {
		if len(r) > 1 {
			fault("load %s ran %d times", id, len(r))
		}
	}
	verdict(rec, broken, fmt.Sprintf("%d loads were sent, %d answered, %d served", len(requests), answered, served), served > 40)
}
