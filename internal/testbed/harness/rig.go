// Package rig sets up ringwood with emulated surroundings on loopback addresses: engines,
// event bus, catalogue, the files that name them, and the gateway's own processes.
package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/faultproxy"
)

// Options say what to set up.
type Options struct {
	Root     string // the repository, whose deploy files are taken
	Dir      string // for files
	Engines  int    // of each wire
	Work     emulator.Work
	HTTP     string // where the platform's front listens
	Postgres string // where the PostgreSQL front listens
	Shapes   bool   // in the PostgreSQL front's file
	User     string // whom engines of the PostgreSQL wire trust; "": everybody
	Clients  int    // connections that the fronts are set up for; 0: as their files say
	Ledger   *emulator.Ledger
	Name     string // goes before the engines' own in the ledger
	// Machine and Ask, where given, make engines whose statements wait for each other.
	Machine func(i int) *emulator.Machine
	Ask     func(statement string) enginemodel.Query
	Link    *faultproxy.Options // between gateways and engines; nil: none
	Log     *slog.Logger
}

// Harness is what was set up. The emulated systems end with Close.
type Harness struct {
	Config, Deploy, Shapes string          // the gateways' files
	Lines, Postgres        *emulator.Fleet // the engines of each wire, and what tells of them
	listeners              []net.Listener
	links                  []*faultproxy.Link
}

// Do does one thing to the engines of both wires, or to what tells of them.
func (r *Harness) Do(kind string, engine int) error {
	return errors.Join(r.Lines.Do(kind, engine), r.Postgres.Do(kind, engine))
}

// Close ends the emulated systems.
func (r *Harness) Close() {
	r.Lines.Close()
	r.Postgres.Close()
	for _, l := range r.links {
		l.Close()
	}
	for _, ln := range r.listeners {
		_ = ln.Close()
	}
}

func (r *Harness) listen() (net.Listener, error) {
	ln, err := emulator.Listen("127.0.0.1:0")
	if err == nil {
		r.listeners = append(r.listeners, ln)
	}
	return ln, err
}

// target is an engine as a platform configuration names it.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	State    string `json:"state"`
}

// New starts the emulated systems and writes the files.
func New(opts Options) (r *Harness, err error) {
	r = &Harness{Config: filepath.Join(opts.Dir, "config.json"), Deploy: filepath.Join(opts.Dir, "postgres.toml"), Shapes: filepath.Join(opts.Dir, "shapes.toml"),
		Lines: emulator.NewFleet(), Postgres: emulator.NewFleet()}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	for i := range opts.Engines {
		one := emulator.Options{Work: opts.Work, Ask: opts.Ask, Ledger: opts.Ledger}
		var start func()
		if opts.Machine != nil {
			one.Machine = opts.Machine(i)
			start = one.Machine.Start
		}
		if err := r.engine(r.Lines, opts, one, fmt.Sprintf("s-%08x", i+1), emulator.Lines, start); err != nil {
			return nil, err
		}
		one.User = opts.User
		if err := r.engine(r.Postgres, opts, one, fmt.Sprintf("engine-%d", i+1), emulator.Postgres, start); err != nil {
			return nil, err
		}
	}
	bus, err := r.listen()
	if err != nil {
		return nil, err
	}
	go r.Lines.Bus(bus)
	agent, err := r.listen()
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(agent, r.Postgres.Consul("stock-engine")) }() // it ends with its listener
	var targets []target
	for _, m := range r.Lines.Members() {
		targets = append(targets, target{m.ID, m.Addr.String(), "hall-a", "std-8", "in_service"})
	}
	return r, r.write(opts, targets, bus.Addr().String(), agent.Addr().String())
}

// engine starts one engine, behind a link where there are links.
func (r *Harness) engine(fleet *emulator.Fleet, opts Options, one emulator.Options, id string, serve func(net.Listener, emulator.Options), start func()) error {
	ln, err := emulator.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	one.Name = opts.Name + id
	one.Log = opts.Log.With("engine", one.Name)
	addr := ln.Addr().String()
	if opts.Link != nil {
		l, err := faultproxy.Listen(addr, *opts.Link)
		if err != nil {
			_ = ln.Close()
			return err
		}
		r.links = append(r.links, l)
		addr = l.Addr()
	}
	return fleet.Add(id, ln, addr, func(ln net.Listener) { serve(ln, one) }, start)
}

func (r *Harness) write(opts Options, targets []target, bus, agent string) error {
	raw, err := os.ReadFile(filepath.Join(opts.Root, "examples/toy/config.json"))
	if err != nil {
		return fmt.Errorf("start this from the repository's root: %w", err)
	}
	var file map[string]any
	if err := json.Unmarshal(raw, &file); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	file["listen"], file["bus"] = opts.HTTP, bus
	file["known"] = map[string]any{"offset": 1, "batch": []any{
		map[string]any{"offset": 1, "topology": map[string]any{"rev": 1, "all": true, "targets": targets}},
	}}
	if opts.Clients > 0 {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 1024, "sockets": 2*opts.Clients + 1024}
	}
	if raw, err = json.MarshalIndent(file, "", " "); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := os.WriteFile(r.Config, raw, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	for _, name := range []string{"postgres.toml", "postgres-settings.json", "shapes.toml"} {
		text, err := os.ReadFile(filepath.Join(opts.Root, "deploy", name))
		if err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		s := strings.Replace(string(text), `"127.0.0.1:5433"`, fmt.Sprintf("%q", opts.Postgres), 1)
		s = strings.Replace(s, `"127.0.0.1:8500"`, fmt.Sprintf("%q", agent), 1)
		if opts.Clients > 0 {
			s = strings.Replace(s, "memory_mb = 192", "memory_mb = 1024", 1)
			s = strings.Replace(s, "sockets = 1024", fmt.Sprintf("sockets = %d", 2*opts.Clients+1024), 1)
			s = strings.Replace(s, "most_clients = 300", fmt.Sprintf("most_clients = %d", opts.Clients+256), 1)
		}
		if opts.Shapes {
			s = strings.Replace(s, "enabled = false", "enabled = true", 1)
		}
		if err := os.WriteFile(filepath.Join(opts.Dir, name), []byte(s), 0o600); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
	}
	return nil
}

// TerminationTimeout is how long the platform lets a process live that it told to end.
const TerminationTimeout = 5700 * time.Millisecond

// OpenListener opens a socket that processes of one front end listen at one after the other, as the platform does, and tells where it is.
func OpenListener(addr string) (*os.File, string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", fmt.Errorf("rig: %w", err)
	}
	defer ln.Close()                       // what holds it accepts nothing itself
	f, err := ln.(*net.TCPListener).File() // of "tcp"
	if err != nil {
		return nil, "", fmt.Errorf("rig: %w", err)
	}
	return f, ln.Addr().String(), nil
}

// Build builds ringwood into a folder and returns its path.
func Build(ctx context.Context, root, dir string) (string, error) {
	program := filepath.Join(dir, "gateway")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/gateway")
	build.Dir, build.Stderr = root, os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build of ringwood (start this from the repository's root, or name a program): %w", err)
	}
	return program, nil
}

// Gateway is one process of ringwood.
type Gateway struct {
	Process *os.Process
	Ended   chan error // gets the process's end, once
}

// Start starts ringwood.
func Start(program string, out io.Writer, args ...string) (*Gateway, error) {
	p := exec.Command(program, args...)
	p.Stdout, p.Stderr = out, out
	p.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=")
	if err := p.Start(); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g := &Gateway{Process: p.Process, Ended: make(chan error, 1)}
	go func() { g.Ended <- p.Wait() }()
	return g, nil
}

// Stop ends the process by a planned stop, and by force where that takes too long.
func (g *Gateway) Stop() {
	_ = g.Process.Signal(syscall.SIGTERM) // one that has ended needs none
	select {
	case <-g.Ended:
	case <-time.After(8 * time.Second):
		_ = g.Process.Kill()
		<-g.Ended
	}
}

// WaitListening waits until somebody listens.
func WaitListening(ctx context.Context, addr string) error {
	for {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("nothing listens at %s", addr), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// UnusedAddress is a loopback address that nobody listens at just now, below the ports that systems
// give out by themselves: none of the emulated systems, nor a connection, takes it meanwhile.
func UnusedAddress() (string, error) {
	var last error
	for range 100 {
		ln, err := emulator.Listen(fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(14000)))
		if err != nil {
			last = err
			continue
		}
		addr := ln.Addr().String()
		return addr, ln.Close()
	}
	return "", last
}

// Sleep waits, or tells that the context has ended.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
