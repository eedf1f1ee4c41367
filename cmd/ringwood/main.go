// Command ringwood is a front end: it takes requests of clients, has the policy
// module decide where each runs, and relays the answers.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/engine/lines"
	"gannetspur/internal/front/rest"
	"gannetspur/internal/netio"
	"gannetspur/internal/roster/bus"
	"gannetspur/internal/stats"
	"gannetspur/policy"
)

// The spans of a planned stop, from TERM on. Clients go on connecting for up to
// 0.4 s and calling for 0.2 s more; the kill comes no sooner than 3.7 s.
const (
	stopListening = 500 * time.Millisecond
	stopReading   = 800 * time.Millisecond
	stopWaiting   = 3400 * time.Millisecond
	lastWrites    = 50 * time.Millisecond
	stopPoll      = 20 * time.Millisecond
)

func main() {
	path := flag.String("config", os.Getenv("LB_CONFIG"), "the configuration `file` (default: $LB_CONFIG)")
	flag.Parse()
	logger := log.New(os.Stderr, "", log.Lmicroseconds)
	if err := run(*path, logger); err != nil {
		logger.Print("ringwood: ", err)
		os.Exit(1)
	}
}

func run(path string, logger *log.Logger) error {
	if path == "" {
		return errors.New("no configuration: set LB_CONFIG or -config")
	}
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
	limitResources(cfg)
	loop, err := netio.New(cfg.Sockets)
	if err != nil {
		return err
	}
	counters := stats.New()
	c, err := core.New(cfg.Site.Policy, cfg.Seed, loop, loop.Timers, counters, logger)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	c.SetLinks(lines.New(loop, c, cfg.Site, counters, logger))
	for _, ev := range cfg.Known {
		mode := policy.ListChanges
		if ev.Whole {
			mode = policy.ListFull
		}
		c.Roster(mode, ev.Engines)
	}
	if cfg.Bus != "" {
		bus.New(loop, cfg.Bus, cfg.Offset, cfg.Site.Zones, cfg.Site.Kinds, c, counters, logger).Start()
	}
	front := rest.New(loop, c, counters, logger)
	if err := front.Listen(cfg.Listen); err != nil {
		return err
	}
	logger.Printf("%s serves at %s", cfg.Name, front.Addr())
	go signals(loop, front, c, counters)
	loop.Run()
	counters.Print(os.Stderr)
	return nil
}

// limitResources keeps the garbage collector well under the memory limit. More
// than one P, also on one core: the poller's wait holds one.
func limitResources(cfg *config.Config) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 6 / 10)
	}
	runtime.GOMAXPROCS(3)
}

// signals carries out what the process is told: USR1 prints the counters, TERM
// and INT begin a planned stop.
func signals(loop *netio.Loop, front *rest.Front, c *core.Core, counters *stats.Counters) {
	ch := make(chan os.Signal, 4)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	stopping := false
	for s := range ch {
		switch {
		case s == syscall.SIGUSR1:
			loop.Post(func() { counters.Print(os.Stderr) })
		case !stopping:
			stopping = true
			loop.Post(func() { stop(loop, front, c) })
		}
	}
}

// stop serves on for as long as clients may come, then ends once nothing is open.
func stop(loop *netio.Loop, front *rest.Front, c *core.Core) {
	at := loop.Now()
	loop.Timers.Add(at+stopListening, front.CloseListener)
	loop.Timers.Add(at+stopReading, front.Drain)
	loop.Timers.Add(at+stopWaiting, c.FailAll)
	var poll func()
	poll = func() {
		now := loop.Now()
		if now >= at+stopReading && front.Idle() && c.Unanswered() == 0 || now >= at+stopWaiting+lastWrites {
			loop.Timers.Add(now+lastWrites, loop.Stop)
			return
		}
		loop.Timers.Add(now+stopPoll, poll)
	}
	poll()
}
