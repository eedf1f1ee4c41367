// Package gateway assembles the gateway from its parts and runs it as one process: frontend, core, backend, discovery, and
// what replaces, upgrades, reloads and stops it. The commands that operators call are in cmd/gateway.
//
// A process starts in one of three ways: by itself, as the target of an upgrade (package handover), or beside another process
// at a socket that the platform holds (package takeover).
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/takeover"
	"gannetspur/policy"
)

// Files are the paths of the files that say what to serve. An empty path turns off what its file describes.
type Files struct {
	Config   string // the platform's configuration
	Postgres string // the deploy file of the PostgreSQL frontend, which is served in place of the platform's
	Shapes   string // the cost model of the platform's frontend
	Upgrade  string // how a new version takes over
	Sites    string // other sites
	Fleet    string // membership among other front ends
}

// process is the gateway in this process. All of it belongs to the loop's goroutine, once that runs.
type process struct {
	loop      *netio.Loop
	core      *core.Core
	counters  *metrics.Counters
	log       *slog.Logger
	startedAt time.Duration
	limits    limits

	protocol protocol            // nil: there is no address to listen at
	shapes   *queryshape.Service // the cost model; nil: off
	control  string              // address of the control endpoint; "": there is none

	sites        *remoteSites          // nil: there are none
	members      *membershipNode       // nil: it is no member among other front ends
	upgrades     *upgrades             // nil: off
	upgradeCalls atomic.Int32          // operators who wait for the end of an upgrade; for any goroutine
	target       *handover.Target      // in a process that was started by an upgrade
	coordinator  *takeover.Coordinator // where the platform holds the clients' socket

	ready    bool  // it accepts clients
	tookOver bool  // by an upgrade
	stopping bool  // a planned stop has begun
	failed   error // ended the loop
}

func newProcess(log *slog.Logger) *process {
	return &process{counters: metrics.New(), log: log}
}

// signalBacklog is how many signals may wait until the loop runs.
const signalBacklog = 16

var errNoListenAddress = errors.New("the deploy file names no address to listen at")

// Run serves until the process is told to stop.
func Run(files Files, log *slog.Logger) error {
	// First of all: a signal that comes before it is listened for ends the process.
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newProcess(log)
	in, err := inheritFromSource()
	if err == nil {
		err = p.assemble(ctx, files)
	}
	if err == nil && p.protocol == nil {
		if in == nil {
			log.Info("off", "why", errNoListenAddress.Error())
			return nil
		}
		err = errNoListenAddress
	}
	if err == nil {
		err = p.start(in)
	}
	if err != nil {
		if in != nil {
			in.sendHello(err.Error())
		}
		return err
	}
	if in != nil && in.CheckOnly {
		return nil
	}
	go p.handleSignals(signals) // ends with the process
	p.loop.Run()
	if p.coordinator != nil {
		p.coordinator.Close()
	}
	p.printCounters()
	p.awaitUpgradeCalls()
	return p.failed
}

// assemble makes the gateway, which then neither listens nor watches its endpoint list.
func (p *process) assemble(ctx context.Context, files Files) error {
	var err error
	switch {
	case files.Postgres != "":
		err = p.assemblePostgres(ctx, files.Postgres, files.Sites)
	case files.Config != "":
		err = p.assemblePlatform(files.Config, files.Shapes, files.Sites)
	default:
		err = errors.New("nothing to serve: set LB_CONFIG, --config or --postgres")
	}
	return errors.Join(err, p.loadUpgrades(files.Upgrade), p.loadMembership(files.Fleet))
}

// assembleCore makes the loop and the core.
func (p *process) assembleCore(settings policy.Settings, seed uint64, limits limits) error {
	p.limits = limits
	limitRuntime(limits.memoryMB)
	var err error
	p.loop, err = netio.New(limits.sockets)
	if err != nil {
		return err
	}
	p.startedAt = p.loop.Now()
	p.loop.SetBufferBudget(int64(limits.bufferBytes()))
	p.core, err = core.New(settings, seed, p.loop, p.loop.Timers, p.counters, p.log)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// assembleCostModel has the costs of query shapes learned as the file says. reportsWork is whether engines report the work
// that a query needed.
func (p *process) assembleCostModel(s *config.Shapes, site *config.Site, reportsWork bool) error {
	if s == nil || !s.Enabled {
		return nil
	}
	maxKB := p.limits.memoryFraction(4) >> 10
	if s.MemoryKB > maxKB {
		return fmt.Errorf("shapes: memory_kb: %d is more than a quarter of the memory, %d", s.MemoryKB, maxKB)
	}
	shapes, err := queryshape.NewService(queryshape.Settings{
		Model:            s.Decide(),
		Bytes:            s.MemoryKB << 10,
		ReplaceHints:     s.CorrectEstimates,
		RequireHint:      s.OnlyWithEstimate,
		SnapshotFile:     s.Snapshot,
		SnapshotInterval: s.SnapshotInterval(),
		WorkReported:     reportsWork,
	}, site.Policy.Classes, p.loop, p.counters, p.log)
	if err != nil {
		return err
	}
	p.shapes = shapes
	p.core.SetCostObserver(shapes)
	return nil
}

// start begins to serve, or to take over from the process that this one inherits from; nil: there is none.
func (p *process) start(in *inheritance) error {
	if in != nil {
		return p.startTarget(in)
	}
	if platform, ok := p.protocol.(*platformProtocol); ok && platform.socket != nil {
		err := p.openControl()
		p.reserveDescriptors()
		return errors.Join(err, p.startBeside(platform))
	}
	p.protocol.watchEndpoints(nil)
	if err := p.protocol.listen(); err != nil {
		return err
	}
	p.ready = true
	err := errors.Join(p.startSites(), p.startMember(), p.openAdmin(), p.openControl())
	p.reserveDescriptors()
	if err != nil {
		return err
	}
	p.log.Info("serving", "addr", p.protocol.frontend().Addr())
	notifyServiceManager("READY=1\n")
	return nil
}

// fail ends the process with an error.
func (p *process) fail(err error) {
	p.failed = err
	p.loop.Stop()
}

// printCounters writes the counters to standard error.
func (p *process) printCounters() {
	if p.shapes != nil {
		p.shapes.UpdateMetrics()
	}
	p.counters.Print(os.Stderr)
}
