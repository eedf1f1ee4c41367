package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
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

// playMemory: bad clients send the same well-formed request again and again, as soon as it is answered, and say that they
// wait for ten minutes. The platform ends a front end that goes over its memory.
func playMemory(r *rig) (broken []string) {
	const (
		limitMB    = 64
		sockets    = 512
		badClients = 200
		most       = 105 * time.Second
		usual      = 10
	)
	listen := r.freePort()
	var engines []*lineEngine
	for i, zone := range []string{"hall-a", "hall-b", "hall-a", "hall-b", "hall-a", "hall-b"} {
		engines = append(engines, r.lineEngine(fmt.Sprintf("s-%08x", i+1), zone, time.Millisecond))
	}
	config := r.write("config.json", r.platformConfig(listen, sockets, limitMB, engines...))
	gateway := r.runPlatform("gateway", config, listen)
	r.await(gateway, "serving", 10*time.Second, nil)
	pid := gateway.cmd.Process.Pid
	r.logf("the front end holds %d MB", residentKB(pid)>>10)

	var peak atomic.Int64
	killed := make(chan struct{})
	stop := make(chan struct{})
	go func() { // the platform
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := residentKB(pid)
			peak.Store(max(peak.Load(), int64(kb)))
			if kb > limitMB<<10 {
				r.logf("the platform kills the front end: it holds %d MB, its limit is %d MB", kb>>10, limitMB)
				_ = syscall.Kill(pid, syscall.SIGKILL)
				close(killed)
				return
			}
		}
	}()

	const statement = "SELECT note FROM sales_17.orders WHERE tag = '3f9c'"
	var wg sync.WaitGroup
	var served, unanswered atomic.Int64
	for i := range usual {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", listen)
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("aa%02x%012x", i, n)
				if _, err := c.Write([]byte(call("lookup", id, 6000, statement))); err != nil {
					return
				}
				_ = c.SetReadDeadline(time.Now().Add(6550 * time.Millisecond))
				a := readHTTP(in)
				if a.err != nil {
					unanswered.Add(1)
					r.logf("usual client %d gets no answer to %s: %v", i+1, id, a.err)
					return
				}
				served.Add(1)
			}
		}()
	}
	var sent atomic.Int64
	if r.trouble {
		for i := range badClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ; {
					select {
					case <-stop:
						return
					default:
					}
					c, err := net.Dial("tcp", listen)
					if err != nil {
						return
					}
					in := bufio.NewReader(c)
					for ; ; n++ {
						select {
						case <-stop:
							c.Close()
							return
						default:
						}
						if _, err := c.Write([]byte(call("lookup", fmt.Sprintf("bb%04x%010x", i, n), 600000, statement))); err != nil {
							break
						}
						_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
						if a := readHTTP(in); a.err != nil {
							break
						}
						sent.Add(1)
					}
					c.Close()
				}
			}()
		}
	}
	length := most
	if !r.trouble {
		length = 20 * time.Second
	}
	end := time.After(length)
	for waiting := true; waiting; {
		select {
		case <-killed:
			waiting = false
		case <-end:
			waiting = false
		case <-time.After(5 * time.Second):
			r.logf("bad clients have had %d answers, usual ones %d; the front end holds %d MB", sent.Load(), served.Load(), residentKB(pid)>>10)
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(stop)
	wg.Wait()
	r.logf("bad clients had %d answers, usual ones %d and %d times none; the front end held %d MB at most", sent.Load(), served.Load(), unanswered.Load(), peak.Load()>>10)
	select {
	case <-killed:
		broken = append(broken, fmt.Sprintf("the front end went over its memory after %d requests of bad clients and was killed; %d requests of usual clients got no answer", sent.Load(), unanswered.Load()))
	default:
	}
	return broken
}
