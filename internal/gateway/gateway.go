// Package gateway assembles the gateway from its parts and runs it as one process: frontend, core, backend, discovery, and
// what replaces, upgrades, reloads and stops it. The commands that operators call are in cmd/gateway.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/backend/lineproto"
	pgbackend "gannetspur/internal/backend/postgres"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/discovery/consul"
	"gannetspur/internal/discovery/eventbus"
	"gannetspur/internal/frontend/httpapi"
	pgfrontend "gannetspur/internal/frontend/postgres"
	"gannetspur/internal/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/sqltext"
	"gannetspur/internal/takeover"
	"gannetspur/policy"
)

// gateway is one front on a core of its own.
type gateway struct {
	loop     *netio.Loop
	core     *core.Core
	front    front
	counters *metrics.Counters
	log      *slog.Logger
	shapes   *queryshape.Service // nil: off
	reload   func() error        // reads the file again; for the loop's goroutine
	since    time.Duration

	listen      func() error              // opens the listener
	follow      func(*handover.Knowledge) // begins to follow the roster; nil: nothing is known of it
	event       func() uint64             // number of the event bus's last event; nil: there is no bus
	mostClients int
	sockets     int    // descriptors that the process may hold; 0: not said
	control     string // where operators call; "": nowhere
	ready       bool   // it serves clients

	socket      *netio.Listener  // the platform's, which processes follow each other at; nil: this process opens its own
	succession  *takeover.Runner // nil: none
	memoryMB    int
	events      uint64     // sum of what the configuration tells of the roster
	clientLimit func(int)  // bounds the clients of the front
	whole       func(bool) // has the front give results whole, as the next call may come to another process
	part        func()     // has the front end connections behind their answers

	users    *scramauth.Users // of the PostgreSQL front; nil: everybody is let in
	words    *config.Config   // what the platform says of words among front ends; nil: nothing
	sites    *otherSites      // nil: there are none
	fleet    *fleet           // nil: it is no member among others
	upgrade  *config.Upgrade  // nil: off
	self     string           // this program's path
	old      *handover.Old    // where upgrades are on
	new      *handover.New    // in a process that took over
	tookOver bool
	stopping bool  // a planned stop has begun
	failed   error // ended the loop
}

// front is what a planned stop needs of a front.
type front interface {
	handover.Front
	ListenOn(*netio.Listener)
	Addr() string
	CloseListener()
	Drain()
	Idle() bool
}

// Files are the paths of the files that say what to serve. An empty path turns off what its file describes.
type Files struct {
	Config   string // the platform's configuration
	Postgres string // the deploy file of the PostgreSQL frontend, which is served in place of the platform's
	Shapes   string // the cost model of the platform's frontend
	Upgrade  string // how a new version takes over
	Sites    string // other sites
	Fleet    string // membership among other front ends
}

// Run serves until the process is told to stop.
func Run(files Files, logger *slog.Logger) error {
	// First of all: a signal that comes before it is listened for ends the process.
	told := make(chan os.Signal, 16)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := &gateway{counters: metrics.New(), log: logger}
	in, err := takeOver()
	if err == nil {
		err = g.build(ctx, files)
	}
	switch {
	case err != nil:
	case g.front == nil:
		err = errors.New("the deploy file names no address to listen at")
		if in == nil {
			logger.Info("off", "why", err.Error())
			return nil
		}
	case in != nil:
		err = g.takeOver(in)
	case g.socket != nil:
		err = g.openControl()
		g.limitFiles()
		err = errors.Join(err, g.beside())
	default:
		g.follow(nil)
		if err = g.listen(); err == nil {
			g.ready = true
			err = errors.Join(g.linkSites(), g.join(), g.admin(), g.openControl())
			g.limitFiles()
		}
	}
	if err != nil {
		if in != nil {
			in.say(err.Error())
		}
		return err
	}
	switch {
	case in != nil && in.check:
		return nil
	case in == nil && g.ready:
		logger.Info("serving", "addr", g.front.Addr())
		notify("READY=1\n")
	}
	go g.signals(told)
	g.loop.Run()
	if g.succession != nil {
		g.succession.Leave()
	}
	g.print()
	return g.failed
}

// build makes the gateway, which then neither listens nor follows its roster.
func (g *gateway) build(ctx context.Context, files Files) (err error) {
	switch {
	case files.Postgres != "":
		err = g.postgres(ctx, files.Postgres, files.Sites)
	case files.Config != "":
		err = g.platform(files.Config, files.Shapes, files.Sites)
	default:
		err = errors.New("nothing to serve: set LB_CONFIG, --config or --postgres")
	}
	return errors.Join(err, g.upgradable(files.Upgrade), g.openFleet(files.Fleet))
}

// print writes the counters.
func (g *gateway) print() {
	if g.shapes != nil {
		g.shapes.Count()
	}
	g.counters.Print(os.Stderr)
}

// learnShapes has the shapes of statements learned as the settings say.
func (g *gateway) learnShapes(s *config.Shapes, memoryMB int, site *config.Site, workTold bool) (err error) {
	if s == nil || !s.Enabled {
		return nil
	}
	if most := part(memoryMB, 4) >> 10; s.MemoryKB > most {
		return fmt.Errorf("shapes: memory_kb: %d is more than a quarter of the memory, %d", s.MemoryKB, most)
	}
	g.shapes, err = queryshape.NewService(queryshape.Settings{
		Decide: s.Decide(), Bytes: s.MemoryKB << 10, Correct: s.CorrectEstimates, OnlyTold: s.OnlyWithEstimate, Snapshot: s.Snapshot, Every: s.SnapshotInterval(), WorkTold: workTold,
	}, site.Policy.Classes, g.loop, g.counters, g.log)
	if err == nil {
		g.core.SetCostObserver(g.shapes)
	}
	return err
}

// start makes the loop and the core.
func (g *gateway) start(set policy.Settings, seed uint64, memoryMB, sockets int) (err error) {
	limitResources(memoryMB)
	if g.loop, err = netio.New(sockets); err != nil {
		return err
	}
	g.since = g.loop.Now()
	g.loop.Budget = int64(part(memoryMB, 6))
	g.core, err = core.New(set, seed, g.loop, g.loop.Timers, g.counters, g.log)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// platform serves the platform's protocol.
func (g *gateway) platform(path, shapes, sites string) error {
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	if v := os.Getenv("LB_LISTEN"); v != "" {
		cfg.Listen = v
	}
	if cfg.Listen == "" {
		return errors.New("configuration: listen: missing")
	}
	if g.control = cfg.Control; os.Getenv("LB_CONTROL") != "" {
		g.control = os.Getenv("LB_CONTROL")
	}
	g.sockets, g.memoryMB, g.words = cfg.Sockets, cfg.MemoryMB, cfg
	if g.socket, err = platformSocket(); err != nil {
		return err
	}
	if g.events, err = cfg.EventSum(); err != nil {
		return err
	}
	if err := g.start(cfg.Site.Policy, cfg.Seed, cfg.MemoryMB, cfg.Sockets); err != nil {
		return err
	}
	g.core.SetLinks(lineproto.New(g.loop, g.core, cfg.Site, g.counters, g.log))
	if err := g.openSites(sites, lineproto.Codec{}, cfg.Site.Policy, cfg.MemoryMB); err != nil {
		return err
	}
	var follower *eventbus.Follower
	g.follow = func(k *handover.Knowledge) {
		last := cfg.Offset
		if k != nil { // its roster is in the core already
			last = max(last, k.Event)
		} else {
			for _, ev := range cfg.Known {
				mode := policy.ListChanges
				if ev.Whole {
					mode = policy.ListFull
				}
				g.core.UpdateEndpoints(mode, ev.Engines)
			}
		}
		if cfg.Bus != "" {
			follower = eventbus.New(g.loop, cfg.Bus, last, cfg.Site.Zones, cfg.Site.Kinds, g.core, g.counters, g.log)
			follower.Start()
			g.event = follower.Last
		}
	}
	if cfg.Bus != "" {
		g.reload = func() error {
			next, err := config.Load(path)
			if err == nil && next.Bus == "" {
				err = errors.New("configuration: bus: missing")
			}
			if err != nil {
				return err
			}
			cfg.Bus = next.Bus
			if follower != nil {
				follower.Move(next.Bus)
			}
			return nil
		}
	}
	if shapes != "" {
		s, err := config.LoadShapes(shapes)
		if err != nil {
			return err
		}
		if err := g.learnShapes(s, cfg.MemoryMB, &cfg.Site, cfg.Site.Policy.ReportsCost); err != nil {
			return err
		}
	}
	g.mostClients = mostClients(cfg.Sockets)
	f := httpapi.New(g.loop, g.core, httpapi.Options{
		MostClients: g.mostClients, MostHeld: part(cfg.MemoryMB, 8), Shapes: g.shapes,
	}, g.counters)
	g.front = f
	g.listen = func() error {
		if g.socket != nil {
			f.ListenOn(g.socket)
			g.socket.Resume()
			return nil
		}
		return f.Listen(cfg.Listen)
	}
	g.clientLimit, g.whole, g.part = f.LimitClients, f.GiveWhole, f.Part
	return nil
}

// postgres serves the PostgreSQL wire protocol.
func (g *gateway) postgres(ctx context.Context, path, sites string) error {
	p, err := config.LoadPostgres(path)
	if err != nil || p.Listen == "" {
		return err
	}
	if err := g.start(p.Site.Policy, uint64(os.Getpid()), p.MemoryMB, p.Sockets); err != nil {
		return err
	}
	g.core.SetLinks(pgbackend.New(g.loop, g.core, pgbackend.Options{
		User: p.User, Database: p.Database, Password: p.Engine.Password, TLS: p.Engine.Config,
		ConnectTimeout: config.FromMS(p.ConnectTimeoutMS), MostHeld: part(p.MemoryMB, 4),
		Pool: connpool.Limits{
			MaxConnections: p.Pool.PerEngine,
			MaxPerUser:     p.Pool.PerUser,
			MinConnections: p.Pool.MinIdle,
			IdleTimeout:    config.FromMS(p.IdleCloseMS),
			MaxLifetime:    config.FromSeconds(p.Pool.LifeSeconds),
		},
	}, g.counters, g.log))
	if err := g.openSites(sites, pgbackend.Codec{}, p.Site.Policy, p.MemoryMB); err != nil {
		return err
	}
	follower := consul.New(g.loop.Post, g.core, g.counters, g.log)
	following := false
	g.follow = func(k *handover.Knowledge) {
		if k != nil {
			follower.Know(k.Core.Engines)
		}
		following = true
		follower.Follow(ctx, consul.Options(p.Consul))
	}
	if err := g.learnShapes(&p.Shapes, p.MemoryMB, &p.Site, false); err != nil {
		return err
	}
	opts := g.frontOptions(p)
	g.mostClients = opts.MostClients
	f := pgfrontend.New(g.loop, g.core, opts, g.counters)
	g.front = f
	g.listen = func() error { return f.Listen(p.Listen) }
	g.reload = func() error {
		next, err := config.LoadPostgres(path)
		if err == nil && next.Listen == "" {
			err = errors.New("deploy file: listen: missing")
		}
		if err != nil {
			return err
		}
		for class := range next.Classes() {
			if _, ok := g.core.Class(class); !ok { // settings hold from the start on
				return fmt.Errorf("deploy file: class %q is not among the settings that this program started with", class)
			}
		}
		f.SetOptions(g.frontOptions(next))
		if following && next.Consul != p.Consul {
			follower.Follow(ctx, consul.Options(next.Consul))
		}
		p = next
		return nil
	}
	return nil
}

func (g *gateway) frontOptions(p *config.Postgres) pgfrontend.Options {
	opts := pgfrontend.Options{
		DefaultClass: p.DefaultClass, WriteClass: p.WriteClass, ReadOnly: sqltext.Functions{}, MostClients: mostClients(p.Sockets), MostHeld: part(p.MemoryMB, 6),
		Shapes: g.shapes,
	}
	for _, name := range p.ReadOnlyFunctions {
		opts.ReadOnly[name] = true
	}
	opts.TxIdle, opts.TxMost = config.FromMS(1000*p.TransactionIdleSeconds), config.FromMS(1000*p.TransactionMaxSeconds)
	opts.TLS, opts.RequireTLS = p.TLS.Config, p.TLS.Require
	if len(p.Logins) > 0 {
		if g.users == nil {
			g.users = scramauth.NewUsers(p.Logins)
		} else {
			g.users = g.users.WithUsers(p.Logins)
		}
		opts.Users = g.users
	} else if a, err := netip.ParseAddrPort(strings.Replace(p.Listen, "localhost:", "127.0.0.1:", 1)); err != nil || !a.Addr().IsLoopback() {
		g.log.Warn("trust", "listen", p.Listen, "why", "no file of users: everybody who reaches this address is let in")
	}
	if p.MaxClients > 0 {
		opts.MostClients = min(opts.MostClients, p.MaxClients)
	}
	for _, s := range p.Statements {
		opts.Rules = append(opts.Rules, pgfrontend.Rule(s))
	}
	return opts
}

// usualMB and usualSockets hold where the configuration names no limits.
const (
	usualMB      = 192
	usualSockets = 1024
)

// part is the n-th part of the memory, in bytes.
func part(memoryMB, n int) int {
	if memoryMB <= 0 {
		memoryMB = usualMB
	}
	return memoryMB << 20 / n
}

// mostClients leaves a quarter of the descriptors to engines, the roster and the
// program itself, and some for clients that are being closed.
func mostClients(sockets int) int {
	if sockets <= 0 {
		sockets = usualSockets
	}
	return max(sockets*3/4-32, 8)
}

// limitResources keeps the garbage collector well under the memory limit. More
// than one P, also on one core: the poller's wait holds one.
func limitResources(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
	}
	runtime.GOMAXPROCS(3)
}

// signals carries out what the process is told.
func (g *gateway) signals(told <-chan os.Signal) {
	stopping := false
	for s := range told {
		switch {
		case s == syscall.SIGUSR1:
			g.loop.Post(g.print)
		case s == syscall.SIGHUP:
			g.loop.Post(g.readAgain)
		case !stopping:
			stopping = true
			g.loop.Post(g.planned)
		}
	}
}

// readAgain takes what may change while the program runs from its file. A file that
// can't be used changes nothing.
func (g *gateway) readAgain() {
	if g.reload == nil && g.sites == nil && g.fleet == nil {
		g.log.Info("reload.nothing", "why", "the configuration names nothing that may change")
		return
	}
	err := errors.Join(g.reloadSites(), g.reloadFleet())
	if g.reload != nil {
		err = errors.Join(err, g.reload())
	}
	if err != nil {
		g.counters.Add("reload.failed")
		g.log.Warn("reload.failed", "error", err, "then", "the old file holds")
		return
	}
	g.counters.Add("reload.done")
	g.log.Info("reload.done")
	if g.old != nil {
		g.old.Reload()
	}
}

// planned begins a planned stop. A process that has yet to prove itself ends at once: the
// old one takes everything back. An upgrade that is under way is given up first.
func (g *gateway) planned() {
	g.stopping = true
	switch {
	case g.new != nil && !g.new.Owner():
		g.failed = errors.New("stopped before it was the owner")
		g.loop.Stop()
	case g.old != nil && g.old.Stop():
	case g.socket != nil && !g.ready: // it took nothing yet
		g.loop.Stop()
	default:
		g.stop()
	}
}
