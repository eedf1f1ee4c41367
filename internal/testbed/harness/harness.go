// Package harness runs ringwood against emulated systems on loopback addresses: engines, event
// bus and service catalogue. It writes the configuration files that name them and starts gateway
// processes.
package harness

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/faultproxy"
)

// Options configure a harness.
type Options struct {
	Root     string                          // root of the repository, whose example and deploy files are the templates
	Dir      string                          // directory for the written files
	Engines  int                             // number of engines of each wire protocol
	Zones    []string                        // zones of the engines, in turns, in the order of the settings; engines of a zone share a ledger's keys
	Work     emulator.Work                   // how engines execute statements
	HTTP     string                          // listen address of the HTTP frontend
	Postgres string                          // listen address of the PostgreSQL frontend
	Shapes   bool                            // whether the PostgreSQL frontend's configuration enables query shapes
	User     string                          // user that PostgreSQL engines accept; "": any
	Clients  int                             // client connections to size the frontends for; 0: keep the templates' limits
	MemoryMB int                             // memory limit of the gateways; 0: that of Clients or the templates
	Sockets  int                             // descriptor limit of the gateways; 0: that of Clients or the templates
	Ledger   *emulator.Ledger                // records what engines executed
	Store    *emulator.Store                 // records what PostgreSQL engines committed; nil: nothing is recorded
	Heard    func(session, statement string) // called with each statement at a PostgreSQL engine; may be nil
	Name     string                          // prefix of the engines' names in the ledger
	// Machine and QueryFor, if set, make engines whose statements compete for resources.
	Machine  func(i int) *emulator.Machine
	QueryFor func(statement string) enginemodel.Query
	Received func(engine string, q enginemodel.Query) // called with each query that reaches the machine of an engine; may be nil
	Link     *faultproxy.Options                      // between gateways and engines; nil: direct connections
	Log      *slog.Logger                             // log of the engines
}

// Harness holds the emulated systems and the files that describe them. Close stops the systems.
type Harness struct {
	Config, Deploy, Shapes string          // paths of the gateways' configuration files
	Lines, Postgres        *emulator.Fleet // engines of each wire protocol, with their discovery
	listeners              []net.Listener
	links                  []*faultproxy.Link
}

// New starts the emulated systems and writes the configuration files.
func New(opts Options) (*Harness, error) {
	h := &Harness{
		Config:   filepath.Join(opts.Dir, "config.json"),
		Deploy:   filepath.Join(opts.Dir, "postgres.toml"),
		Shapes:   filepath.Join(opts.Dir, "shapes.toml"),
		Lines:    emulator.NewFleet(),
		Postgres: emulator.NewFleet(),
	}
	if err := h.start(opts); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// start starts the engines, the event bus and the Consul agent, and writes the files.
func (h *Harness) start(opts Options) error {
	if err := h.startEngines(opts); err != nil {
		return err
	}
	bus, err := h.listen()
	if err != nil {
		return err
	}
	go h.Lines.Bus(bus)
	agent, err := h.listen()
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(agent, h.Postgres.Consul("stock-engine")) }() // ends with its listener
	return h.writeFiles(opts, bus.Addr().String(), agent.Addr().String())
}

// startEngines starts the engines of both protocols. Engines with the same number share a machine.
func (h *Harness) startEngines(opts Options) error {
	for i := range opts.Engines {
		engine := emulator.Options{Work: opts.Work, QueryFor: opts.QueryFor, Ledger: opts.Ledger}
		var start func()
		if opts.Machine != nil {
			engine.Machine = opts.Machine(i)
			start = engine.Machine.Start
		}
		lines := engineSpec{number: i, id: fmt.Sprintf("s-%08x", i+1), options: engine, serve: emulator.Lines, start: start}
		if err := h.startEngine(h.Lines, opts, lines); err != nil {
			return err
		}
		engine.User = opts.User
		engine.Store = opts.Store
		engine.Heard = opts.Heard
		postgres := engineSpec{number: i, id: fmt.Sprintf("engine-%d", i+1), options: engine, serve: emulator.Postgres, start: start}
		if err := h.startEngine(h.Postgres, opts, postgres); err != nil {
			return err
		}
	}
	return nil
}

// engineSpec describes one engine to start.
type engineSpec struct {
	number  int // from 0
	id      string
	options emulator.Options
	serve   func(net.Listener, emulator.Options)
	start   func() // restarts the engine's machine; nil: it has none
}

// startEngine starts one engine, behind a fault proxy if the options ask for one.
func (h *Harness) startEngine(fleet *emulator.Fleet, opts Options, spec engineSpec) error {
	listener, err := emulator.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	spec.options.Name = opts.Name + spec.id
	spec.options.Log = opts.Log.With("engine", spec.options.Name)
	if opts.Received != nil {
		spec.options.Received = func(q enginemodel.Query) { opts.Received(spec.options.Name, q) }
	}
	addr := listener.Addr().String()
	if opts.Link != nil {
		link, err := faultproxy.Listen(addr, *opts.Link)
		if err != nil {
			_ = listener.Close()
			return err
		}
		h.links = append(h.links, link)
		addr = link.Addr()
	}
	serve := func(listener net.Listener) { spec.serve(listener, spec.options) }
	if err := fleet.Add(spec.id, listener, addr, serve, spec.start); err != nil {
		return err
	}
	if len(opts.Zones) > 0 {
		number := spec.number % len(opts.Zones)
		zone := emulator.Zone{Number: byte(number), Name: opts.Zones[number]}
		opts.Ledger.SetGroup(spec.options.Name, zone.Name)
		fleet.SetZone(spec.number+1, zone)
	}
	return nil
}

// listen opens a loopback listener that Close closes.
func (h *Harness) listen() (net.Listener, error) {
	listener, err := emulator.Listen("127.0.0.1:0")
	if err == nil {
		h.listeners = append(h.listeners, listener)
	}
	return listener, err
}

// Apply applies a change of the given kind to one engine of each protocol, or to their discovery.
func (h *Harness) Apply(kind string, engine int) error {
	return errors.Join(h.Lines.Apply(kind, engine), h.Postgres.Apply(kind, engine))
}

// Close stops the emulated systems.
func (h *Harness) Close() {
	h.Lines.Close()
	h.Postgres.Close()
	for _, link := range h.links {
		link.Close()
	}
	for _, listener := range h.listeners {
		_ = listener.Close()
	}
}
