package integration

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// childEnv is set in the child process that serves with a low descriptor limit.
const childEnv = "RINGWOOD_STORY_CHILD"

// TestFullDescriptorTable guards against a full descriptor table that ends the program or stalls connected
// clients. A child process serves with 40 descriptors and 60 clients connect: connected clients are served, and
// those that wait are served once others leave; no client is refused.
func TestFullDescriptorTable(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		limit := syscall.Rlimit{Cur: 40, Max: 40}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		fmt.Println("serving at", httpGateway(t).addr)
		_, _ = io.Copy(io.Discard, os.Stdin) // until the parent closes the pipe
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestFullDescriptorTable$")
	cmd.Env = append(os.Environ(), childEnv+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = in.Close()
		_ = cmd.Wait()
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	addr := strings.TrimSpace(strings.TrimPrefix(line, "serving at "))
	const health = "GET /health HTTP/1.1\r\n\r\n"
	var clients []*httpClient
	for range 60 {
		clients = append(clients, httpConnect(t, addr))
	}
	got, _ := clients[0].call(health)
	assertEqual(t, "first client", got, "200 {}")
	for _, k := range clients[:50] {
		_ = k.c.Close()
	}
	for _, k := range clients[50:] {
		got, _ := k.call(health)
		assertEqual(t, "client that waited for a descriptor", got, "200 {}")
	}
}
