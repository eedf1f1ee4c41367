package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gannetspur/internal/pgproto"
)

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// playMemory: bad clients prepare statements that are long, 60 MB each in all, and keep them. The platform ends a front
// end that goes over its memory.
func playMemory(r *rig) (broken []string) {
	const (
		limitMB    = 192 // memory_mb of deploy/postgres.toml
		badClients = 4
		statements = 60
	)
	work := func(string, string) time.Duration { return 300 * time.Millisecond }
	engines := []*engine{r.engine("e1", "hall-a", nil, work), r.engine("e2", "hall-b", nil, work), r.engine("e3", "hall-a", nil, work)}
	catalogue := r.consul(engines...)
	r.write("settings.json", r.settings(nil))
	listen := r.freePort()
	text := r.deployFile("postgres.toml", "listen =", `listen = "`+listen+`"`, "settings =", `settings = "settings.json"`, "address =", `address = "`+catalogue.addr+`"`)
	if !strings.Contains(text, fmt.Sprintf("\nmemory_mb = %d\n", limitMB)) {
		r.giveUp("deploy/postgres.toml has no memory_mb = %d", limitMB)
	}
	gateway := r.run("gateway", "serve", "--log-format", "json", "--postgres", r.write("postgres.toml", text))
	r.await(gateway, "serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond)
	pid := gateway.cmd.Process.Pid

	// The platform.
	var peak atomic.Int64
	var killed atomic.Bool
	end := make(chan struct{})
	go func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(2 * time.Millisecond):
			}
			kb := residentKB(pid)
			peak.Store(max(peak.Load(), int64(kb)))
			if kb > limitMB<<10 {
				r.logf("the platform kills the front end: it holds %d MB, its limit is %d MB", kb>>10, limitMB)
				killed.Store(true)
				_ = syscall.Kill(pid, syscall.SIGKILL)
				return
			}
		}
	}()

	// Usual clients.
	var mu sync.Mutex
	served, unanswered := 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		c := r.client(listen)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mark := fmt.Sprintf("order-%d-%d", i+1, n)
				a := c.execute("UPDATE stock_17.orders SET sent = true WHERE mark = $1", 20*time.Second, mark)
				mu.Lock()
				switch {
				case a.err != nil:
					unanswered++
					r.logf("client %d gets no answer to %s: %v", i+1, mark, a.err)
				case a.code == "":
					served++
				default:
					r.logf("client %d is told of %s: %v", i+1, mark, a)
				}
				mu.Unlock()
				if a.err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(time.Second)
	r.logf("the front end holds %d MB", residentKB(pid)>>10)
	if r.trouble {
		var bad sync.WaitGroup
		for i := range badClients {
			bad.Add(1)
			go func() {
				defer bad.Done()
				c := r.client(listen)
				filler := strings.Repeat("x", 1<<20-4096)
				accepted := 0
				for n := range statements {
					query := fmt.Sprintf("SELECT %d -- %s", n, filler)
					m := pgproto.AppendMessage(nil, pgproto.MessageParse, pgproto.CString(fmt.Sprintf("s%d", n)), pgproto.CString(query), []byte{0, 0})
					m = pgproto.AppendMessage(m, pgproto.MessageSync)
					if _, err := c.conn.Write(m); err != nil {
						r.logf("bad client %d can't send any more: %v", i+1, err)
						return
					}
					a := c.read(10 * time.Second)
					if a.err != nil || a.code != "" {
						r.logf("bad client %d is told of its statement %d: %v", i+1, n+1, a)
						break
					}
					accepted++
				}
				r.logf("bad client %d has prepared %d statements of 1 MB", i+1, accepted)
			}()
		}
		bad.Wait()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	close(end)
	r.logf("usual clients: %d writes served, %d with no answer; the front end held %d MB at most", served, unanswered, peak.Load()>>10)
	if killed.Load() {
		broken = append(broken, fmt.Sprintf("the front end went over its memory and was killed; %d writes that it had taken got no answer", unanswered))
	}
	return broken
}
