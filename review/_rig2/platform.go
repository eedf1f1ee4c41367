package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lineEngine is a stand-in for an engine of the platform: it speaks lines.
type lineEngine struct {
	rig      *rig
	id, zone string
	addr     string
	work     time.Duration

	mu   sync.Mutex
	runs map[string]int // how often a request was run, by id
}

func (r *rig) lineEngine(id, zone string, work time.Duration) *lineEngine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	e := &lineEngine{rig: r, id: id, zone: zone, addr: ln.Addr().String(), work: work, runs: map[string]int{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *lineEngine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var mu sync.Mutex
	given := map[string]chan struct{}{}
	defer func() { // closing the connection gives up everything open on it
		mu.Lock()
		defer mu.Unlock()
		for _, g := range given {
			close(g)
		}
		clear(given)
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			n, err := strconv.Atoi(words[3])
			if err != nil || n > 1<<20 {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			id := words[1]
			up := make(chan struct{})
			mu.Lock()
			given[id] = up
			mu.Unlock()
			go func() {
				select {
				case <-up:
					return
				case <-time.After(e.work):
				}
				e.mu.Lock()
				e.runs[id]++
				e.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				delete(given, id)
				row := id + "\t1\tx\n"
				fmt.Fprintf(c, "%s DONE batches=1,cpu=%d,used=10,gauges=cpu:0.2;waiting:0;x1:0.1;x0:0.1 %d\r\n%s\r\n", id, e.work.Milliseconds(), len(row), row)
			}()
		case len(words) == 2 && words[0] == "never_mind":
			mu.Lock()
			if g := given[words[1]]; g != nil {
				close(g)
				delete(given, words[1])
			}
			mu.Unlock()
		}
	}
}

// platformConfig returns examples/toy/config.json with these engines, sockets and memory.
func (r *rig) platformConfig(listen string, sockets, memoryMB int, engines ...*lineEngine) string {
	b, err := os.ReadFile(filepath.Join(r.root, "examples", "toy", "config.json"))
	r.must(err)
	var c map[string]any
	r.must(json.Unmarshal(b, &c))
	c["listen"] = listen
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	var targets []any
	for _, e := range engines {
		targets = append(targets, map[string]any{"uid": e.id, "endpoint": e.addr, "az": e.zone, "model": "std-8", "pod_group": 0,
			"state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	c["known"] = map[string]any{"offset": 1, "batch": []any{map[string]any{"offset": 1, "topology": map[string]any{"rev": 7, "all": true, "targets": targets}}}}
	b, err = json.MarshalIndent(c, "", " ")
	r.must(err)
	return string(b)
}

// runPlatform starts `run` of deploy/balancer.toml as the platform does.
func (r *rig) runPlatform(name, config, listen string) *process {
	b, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	r.must(err)
	command := ""
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command = strings.TrimSuffix(rest, `"`)
		}
	}
	if command == "" {
		r.giveUp("deploy/balancer.toml has no line run")
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	return r.follow(name, command, cmd, "LB_CONFIG="+config, "LB_LISTEN="+listen, "LB_CONTROL=", "LB_ACCEPT_FD=")
}

// httpAnswer is the answer to a call.
type httpAnswer struct {
	status int
	body   string
	err    error
}

func (a httpAnswer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// readHTTP reads one answer.
func readHTTP(in *bufio.Reader) (a httpAnswer) {
	line, err := in.ReadString('\n')
	if err != nil {
		return httpAnswer{err: err}
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return httpAnswer{err: errors.New("no status line")}
	}
	a.status, _ = strconv.Atoi(words[1])
	length := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return httpAnswer{err: err}
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if v, ok := strings.CutPrefix(strings.ToLower(line), "content-length:"); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(v))
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return httpAnswer{err: err}
	}
	a.body = strings.TrimSpace(string(body))
	return a
}

// call returns the text of a request.
func call(class, id string, waitMS int, statement string) string {
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", class, id, waitMS, len(statement), statement)
}
