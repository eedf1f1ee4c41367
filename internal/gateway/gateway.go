// Package gateway assembles the gateway from its parts and runs it as one process: frontend, core, backend and discovery,
// and the code that replaces, upgrades, reloads and stops the process. The operators' commands are in cmd/gateway.
//
// A process starts in one of three ways: standalone; as the target of an upgrade, started by the process that it replaces
// (package handover); or on a listening socket that the platform holds, possibly next to the process that it replaces
// (package takeover).
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

// Files holds the paths of the configuration files. An empty path disables the feature that the file configures.
type Files struct {
	Config   string // platform configuration
	Postgres string // deploy file of the PostgreSQL frontend, which is served instead of the platform's if set
	Shapes   string // cost model of the platform's frontend
	Upgrade  string // upgrades to a new version
	Sites    string // forwarding between sites
	Fleet    string // membership among other front ends
}

// process is the gateway in this process. Once the loop runs, only its goroutine uses the fields, with these exceptions:
// upgradeCalls is atomic, and admin calls read sites and upgrades, which do not change once the admin socket is open.
type process struct {
	loop      *netio.Loop
	core      *core.Core
	counters  *metrics.Counters
	log       *slog.Logger
	startedAt time.Time
	limits    limits

	protocol protocol            // nil: no listen address is configured
	shapes   *queryshape.Service // cost model; nil: disabled
	control  string              // address of the control endpoint; "": disabled

	sites        *remoteSites          // nil: no other sites are configured
	members      *membershipNode       // nil: not a member of a fleet
	upgrades     *upgrades             // nil: upgrades are disabled
	upgradeCalls atomic.Int32          // number of admin calls that wait for the end of an upgrade
	target       *handover.Target      // nil: the process was not started by an upgrade
	coordinator  *takeover.Coordinator // nil: the platform does not hold the clients' socket

	ready    bool  // clients are accepted
	tookOver bool  // the process was started by an upgrade and is now the owner
	stopping bool  // the graceful shutdown has begun
	failed   error // error that ended the loop; nil: none
}

func newProcess(log *slog.Logger) *process {
	return &process{counters: metrics.New(), log: log}
}

// signalBacklog is the number of signals that are buffered until the loop runs.
const signalBacklog = 16

var errNoListenAddress = errors.New("the deploy file has no listen address")

// Run serves until the process is told to stop. If the deploy file has no listen address it returns at once: with an error
// in a process that was started by an upgrade, else with nil.
func Run(files Files, log *slog.Logger) error {
	// This comes first: a signal that arrives before Notify terminates the process.
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newProcess(log)
	inherited, err := inheritFromSource()
	if err == nil {
		err = p.assemble(ctx, files)
	}
	if err == nil && p.protocol == nil {
		if inherited == nil {
			log.Info("off", "why", errNoListenAddress.Error())
			return nil
		}
		err = errNoListenAddress
	}
	if err == nil {
		err = p.start(inherited)
	}
	if err != nil {
		if inherited != nil {
			inherited.sendHello(err.Error())
		}
		return err
	}
	if inherited != nil && inherited.CheckOnly {
		return nil
	}
	go p.handleSignals(signals) // runs until the process exits
	p.loop.Run()
	if p.coordinator != nil {
		p.coordinator.Close()
	}
	p.printCounters()
	p.awaitUpgradeCalls()
	return p.failed
}

// assemble creates the gateway from its files. It opens no listener and does not watch the endpoint list yet.
func (p *process) assemble(ctx context.Context, files Files) error {
	var err error
	switch {
	case files.Postgres != "":
		err = p.assemblePostgres(ctx, files.Postgres, files.Sites)
	case files.Config != "":
		err = p.assemblePlatform(files.Config, files.Shapes, files.Sites)
	default:
		err = errors.New("no configuration: set LB_CONFIG, --config or --postgres")
	}
	return errors.Join(err, p.loadUpgrades(files.Upgrade), p.loadMembership(files.Fleet))
}

// assembleCore creates the loop and the core.
func (p *process) assembleCore(settings policy.Settings, seed uint64, limits limits) error {
	p.limits = limits
	limitRuntime(limits.memoryMB)
	var err error
	p.loop, err = netio.New(limits.maxDescriptors)
	if err != nil {
		return err
	}
	p.startedAt = time.Now()
	p.loop.SetBufferBudget(int64(limits.bufferBytes()))
	p.loop.SetWriteBudget(int64(limits.unsentBytes()))
	p.core, err = core.New(settings, seed, p.loop, p.loop.Timers, p.counters, p.log)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// assembleCostModel sets up learning of the costs of query shapes. reportsWork tells whether engines report the work that a
// query needed.
func (p *process) assembleCostModel(s *config.Shapes, site *config.Site, reportsWork bool) error {
	if s == nil || !s.Enabled {
		return nil
	}
	maxKB := p.limits.memoryFraction(4) >> 10
	if s.MemoryKB > maxKB {
		return fmt.Errorf("shapes: memory_kb: %d exceeds a quarter of the memory limit, %d", s.MemoryKB, maxKB)
	}
	shapes, err := queryshape.NewService(queryshape.Settings{
		Model:            s.CostModelConfig(),
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

// start begins to serve, or to take over from the source of the inheritance; nil means that there is none.
func (p *process) start(in *inheritance) error {
	if in != nil {
		return p.startTarget(in)
	}
	if platform, ok := p.protocol.(*platformProtocol); ok && platform.socket != nil {
		err := p.openControl()
		p.reserveDescriptors()
		return errors.Join(err, p.startOnPlatformSocket(platform))
	}
	p.protocol.watchEndpoints(nil)
	if err := p.protocol.listen(); err != nil {
		return err
	}
	p.ready = true
	err := errors.Join(p.startSites(), p.startMembership(), p.openAdmin(), p.openControl())
	p.reserveDescriptors()
	if err != nil {
		return err
	}
	p.log.Info("serving", "addr", p.protocol.frontend().Addr())
	notifyServiceManager("READY=1\n")
	return nil
}

// fail ends the loop, and so the process, with an error.
func (p *process) fail(err error) {
	p.failed = err
	p.loop.Stop()
}

// printCounters writes the counters to standard error.
func (p *process) printCounters() {
	if p.shapes != nil {
		p.shapes.UpdateMetrics()
	}
	p.counters.Set("loop.longest-turn-us", p.loop.LongestTurn().Microseconds())
	p.counters.Set("loop.received-bytes", p.loop.BufferedBytes())
	p.counters.Set("loop.unsent-bytes", p.loop.UnsentBytes())
	p.counters.Set("loop.closed-for-memory", p.loop.ClosedForMemory())
	p.counters.Print(os.Stderr)
}
