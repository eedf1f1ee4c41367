package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// platformConfig writes a configuration: that of examples/toy with these engines, and with changes to the settings.
func platformConfig(path string, engines []string, change func(config, settings map[string]any)) {
	b, err := os.ReadFile("examples/toy/config.json")
	must(err, "example configuration")
	var config map[string]any
	must(json.Unmarshal(b, &config), "example configuration")
	var targets []any
	for i, addr := range engines {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", i+1), "endpoint": addr, "az": "hall-a", "model": "std-8",
			"pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	config["known"] = map[string]any{"offset": 1, "batch": []any{
		map[string]any{"offset": 1, "topology": map[string]any{"rev": 1, "all": true, "targets": targets}}}}
	change(config, config["settings"].(map[string]any))
	b, _ = json.MarshalIndent(config, "", " ")
	must(os.WriteFile(path, b, 0o600), "configuration")
}

// platform holds the clients' listening socket, as descriptor 4 of each process that it starts.
type platform struct {
	dir, addr string
	socket    *os.File
	run       string // the line run of the deploy file
}

func newPlatform(dir string) *platform {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "clients' socket")
	socket, err := ln.(*net.TCPListener).File()
	must(err, "clients' socket")
	p := &platform{dir: dir, addr: ln.Addr().String(), socket: socket}
	_ = ln.Close() // socket is a duplicate
	b, err := os.ReadFile("deploy/balancer.toml")
	must(err, "deploy file")
	for _, line := range strings.Split(string(b), "\n") {
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			p.run, err = strconv.Unquote(text)
			must(err, "deploy file")
		}
	}
	return p
}

// start starts a process and waits until it says yes.
func (p *platform) start() *gateway {
	control := freeAddress()
	g := startGateway(p.run, []string{"LB_NAME=n1", "LB_CONFIG=" + filepath.Join(p.dir, "config.json"), "LB_LISTEN=" + p.addr, "LB_CONTROL=" + control,
		"LB_ACCEPT_FD=4", "TMPDIR=" + p.dir}, p.socket, p.socket)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", control, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /ready HTTP/1.1\r\nHost: %s\r\n\r\n", control)
		line, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if strings.HasPrefix(line, "HTTP/1.1 200") {
			return g
		}
	}
	giveUp("a process did not say yes within 6 s")
	return nil
}

// call sends one request on a new connection and returns the whole answer: its status line and body, or the error.
func call(addr, class, id string, headers string, wait time.Duration, written func()) string {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return "connect: " + err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	body := "INSERT INTO sales_17.orders VALUES (1)"
	_, err = fmt.Fprintf(c, "POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, wait.Milliseconds(), headers, len(body), body)
	if written != nil {
		written()
	}
	if err != nil {
		return "write: " + err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "half an answer: " + err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}
