package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playCrowd: usual clients write a request in 2 s, on a connection on which they have made one before, while a crowd
// connects and stops half way in a request.
func playCrowd(r *rig) (broken []string) {
	const (
		clients = 20
		crowd   = 2000
		pause   = 1900 * time.Millisecond
		waitMS  = 6000
	)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < crowd+200 {
		r.giveUp("the crowd needs %d descriptors", crowd+200)
	}
	listen := r.freePort()
	var engines []*lineEngine
	for i, zone := range []string{"hall-a", "hall-b", "hall-a", "hall-b", "hall-a", "hall-b"} {
		engines = append(engines, r.lineEngine(fmt.Sprintf("s-%08x", i+1), zone, 30*time.Millisecond))
	}
	config := r.write("config.json", r.platformConfig(listen, 512, 96, engines...))
	gateway := r.runPlatform("gateway", config, listen)
	r.await(gateway, "serving", 10*time.Second, nil)

	type result struct {
		id    string
		at    time.Duration
		whole bool // its last byte was written
		done  httpAnswer
	}
	results := make([]result, clients)
	var wg sync.WaitGroup
	const statement = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"
	var conns []net.Conn
	for i := range clients {
		c, err := net.Dial("tcp", listen)
		r.must(err)
		defer c.Close()
		_, err = c.Write([]byte(call("lookup", fmt.Sprintf("aaaa%012x", i), waitMS, statement)))
		r.must(err)
		a := readHTTP(bufio.NewReader(c))
		if a.status != 200 {
			r.giveUp("client %d: its first request: %v", i+1, a)
		}
		conns = append(conns, c)
	}
	r.logf("%d usual clients have each had a request served", clients)

	stop := make(chan struct{})
	var came, refused atomic.Int64
	var others sync.WaitGroup
	if r.trouble {
		r.logf("a crowd of %d begins to connect; each writes a part of a request and stops", crowd)
		others.Add(1)
		go func() {
			defer others.Done()
			for i := range crowd {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					refused.Add(1)
					continue
				}
				came.Add(1)
				text := call("lookup", fmt.Sprintf("bbbb%012x", i), waitMS, statement)
				_, _ = c.Write([]byte(text[:len(text)/2]))
				others.Add(1)
				go func() { // it reads what it is sent, and goes then
					defer others.Done()
					defer c.Close()
					_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
					b := make([]byte, 512)
					for {
						if _, err := c.Read(b); err != nil {
							return
						}
					}
				}()
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(300 * time.Millisecond)
	}
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("cccc%012x", i)
			text := call("lookup", id, waitMS, statement)
			began := time.Now()
			a := httpAnswer{}
			whole := false
			if _, a.err = c.Write([]byte(text[:len(text)/2])); a.err == nil {
				time.Sleep(pause)
				if _, a.err = c.Write([]byte(text[len(text)/2:])); a.err == nil {
					whole = true
					_ = c.SetReadDeadline(time.Now().Add((waitMS + 550) * time.Millisecond))
					a = readHTTP(bufio.NewReader(c))
				}
			}
			results[i] = result{id: id, at: time.Since(began), whole: whole, done: a}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	close(stop)
	others.Wait()
	r.logf("the crowd: %d connected, %d did not", came.Load(), refused.Load())
	for i, res := range results {
		r.logf("client %d, second request %s, after %.2f s, written whole %v: %v", i+1, res.id, res.at.Seconds(), res.whole, res.done)
		if res.whole && res.done.err != nil {
			broken = append(broken, fmt.Sprintf("client %d got no answer to %s: %v", i+1, res.id, res.done.err))
		}
	}
	return broken
}
