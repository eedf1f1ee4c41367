package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/lab/emul"
	"gannetspur/internal/logs"
)

type tryCommand struct {
	Ringwood string        `placeholder:"FILE" help:"The gateway's program; without it, it is built from this folder."`
	Engines  int           `default:"3" help:"Emulated engines of each wire, 1 to 16."`
	HTTP     string        `default:"127.0.0.1:9090" help:"Where the platform's front listens."`
	Postgres string        `default:"127.0.0.1:5433" help:"Where the PostgreSQL front listens."`
	For      time.Duration `default:"1h" help:"Stop by itself after so long."`
}

// Run starts everything, prints lines to paste, and stops on Ctrl-C or once a part ends.
func (c *tryCommand) Run() error {
	if c.Engines < 1 || c.Engines > 16 {
		return fmt.Errorf("--engines: %d is not from 1 to 16", c.Engines)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	dir, err := os.MkdirTemp("", "ringlab-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := c.Ringwood
	if program == "" {
		program = filepath.Join(dir, "ringwood")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/ringwood")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return fmt.Errorf("build of ringwood (start this from the repository's root, or give --ringwood): %w", err)
		}
	}
	config, deploy, err := c.surroundings(dir)
	if err != nil {
		return err
	}
	ended := make(chan error, 2)
	for _, args := range [][]string{{"serve", "--config", config, "--shapes", filepath.Join(dir, "shapes.toml")}, {"serve", "--postgres", deploy}} {
		p := exec.Command(program, append([]string{"--log-format=text"}, args...)...)
		p.Stdout, p.Stderr = os.Stdout, os.Stderr
		p.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=")
		if err := p.Start(); err != nil {
			return err
		}
		defer func() {
			_ = p.Process.Signal(syscall.SIGTERM) // one that has ended needs none
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				_ = p.Process.Kill()
			}
		}()
		go func() { ended <- p.Wait() }()
	}
	for _, addr := range []string{c.HTTP, c.Postgres} {
		if err := up(ctx, addr); err != nil {
			return err
		}
	}
	host, port, _ := strings.Cut(c.Postgres, ":")
	fmt.Printf(`
Both fronts are up. To try, in another terminal:

  curl -i http://%s/rpc/lookup -H 'Req-Id: 9b1f03aa5c7e2d41' -H 'Req-Wait-Ms: 1500' \
      --data "SELECT day FROM sales_17.orders WHERE tag = '3f9c'"
  psql 'host=%s port=%s user=desk sslmode=disable' -c 'SELECT day FROM stock_17.orders'

Engines say above what they are asked. Ctrl-C stops all.
`, c.HTTP, host, port)
	select {
	case <-ctx.Done():
		return nil
	case err := <-ended:
		ended <- err
		return errors.New("a gateway has ended; its log says why")
	}
}

// up waits until somebody listens.
func up(ctx context.Context, addr string) error {
	for {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("nothing listens at %s: %w", addr, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// surroundings starts engines, bus and catalogue, and writes the gateways' files.
func (c *tryCommand) surroundings(dir string) (config, deploy string, err error) {
	log := logs.Plain(os.Stdout)
	type target struct {
		UID      string `json:"uid"`
		Endpoint string `json:"endpoint"`
		AZ       string `json:"az"`
		Model    string `json:"model"`
		State    string `json:"state"`
	}
	var targets []target
	var instances []emul.Instance
	for i := range c.Engines {
		ln, err := emul.Listen("127.0.0.1:0")
		if err != nil {
			return "", "", err
		}
		name := fmt.Sprintf("s-%08x", i+1)
		go emul.Lines(ln, emul.Plain, log.With("engine", name))
		targets = append(targets, target{name, ln.Addr().String(), "hall-a", "std-8", "in_service"})
		if ln, err = emul.Listen("127.0.0.1:0"); err != nil {
			return "", "", err
		}
		name = fmt.Sprintf("engine-%d", i+1)
		go emul.Postgres(ln, emul.Plain, log.With("engine", name))
		instances = append(instances, emul.Instance{ID: name, Addr: ln.Addr().(*net.TCPAddr)})
	}
	bus, err := emul.Listen("127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	go emul.Bus(bus, 1)
	agent, err := emul.Listen("127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	go func() { _ = http.Serve(agent, emul.Consul("stock-engine", instances)) }() // it ends with the program

	raw, err := os.ReadFile("examples/toy/config.json")
	if err != nil {
		return "", "", fmt.Errorf("start this from the repository's root: %w", err)
	}
	var file map[string]any
	if err := json.Unmarshal(raw, &file); err != nil {
		return "", "", err
	}
	file["listen"], file["bus"] = c.HTTP, bus.Addr().String()
	file["known"] = map[string]any{"offset": 1, "batch": []any{map[string]any{"offset": 1, "topology": map[string]any{"rev": 1, "all": true, "targets": targets}}}}
	if raw, err = json.MarshalIndent(file, "", " "); err != nil {
		return "", "", err
	}
	config, deploy = filepath.Join(dir, "config.json"), filepath.Join(dir, "postgres.toml")
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		return "", "", err
	}
	for _, name := range []string{"postgres.toml", "postgres-settings.json", "shapes.toml"} {
		text, err := os.ReadFile(filepath.Join("deploy", name))
		if err != nil {
			return "", "", err
		}
		s := strings.Replace(string(text), `"127.0.0.1:5433"`, fmt.Sprintf("%q", c.Postgres), 1)
		s = strings.Replace(s, `"127.0.0.1:8500"`, fmt.Sprintf("%q", agent.Addr()), 1)
		s = strings.Replace(s, "enabled = false", "enabled = true", 1)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(s), 0o600); err != nil {
			return "", "", err
		}
	}
	return config, deploy, nil
}
