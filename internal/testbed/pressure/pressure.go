// Package pressure plays clients that send much, slowly or unsound input against one gateway process, beside usual
// clients, and measures what the usual clients notice and how much memory the process takes.
package pressure

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/testbed/harness"
)

// Front is a front end of the gateway.
type Front string

// The front ends.
const (
	Platform Front = "platform"
	Postgres Front = "postgres"
)

const (
	engineWork   = 5 * time.Millisecond // of each statement
	startTimeout = 10 * time.Second
	engineCount  = 4
)

// Options describe one run.
type Options struct {
	Front    Front
	Picture  string        // name of the misbehaviour; see Pictures
	Program  string        // path of the gateway
	Root     string        // root of the repository
	MemoryMB int           // the gateway's limit
	Sockets  int           // the gateway's limit
	Crowd    int           // number of misbehaving connections, for the pictures with many
	Clients  int           // number of usual clients
	For      time.Duration // of each of the two parts: without and with the misbehaving clients
	Log      io.Writer     // the gateway's log
}

// Result is what a run measured.
type Result struct {
	Calm, Pressed Latencies
	Refused       int // requests of usual clients that were answered and not served
	Lost          int // requests of usual clients that were not answered
	FirstLoss     string
	PeakMB        float64 // the process's highest resident size
	CalmMB        float64 // highest resident size before the misbehaving clients came
	Killed        bool    // the process ended
}

// Latencies summarises the times from a request's last byte to its answer.
type Latencies struct {
	Count             int
	P50, P99, Highest time.Duration
}

// summarise returns the summary of some latencies.
func summarise(all []time.Duration) Latencies {
	if len(all) == 0 {
		return Latencies{}
	}
	slices.Sort(all)
	return Latencies{Count: len(all), P50: all[len(all)/2], P99: all[len(all)*99/100], Highest: all[len(all)-1]}
}

// Pictures returns the names of the misbehaviours of a front end, sorted.
func Pictures(front Front) (names []string) {
	for name := range pictures[front] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run starts a gateway with emulated engines, measures usual clients alone, then beside misbehaving ones.
func Run(ctx context.Context, opts Options) (result Result, err error) {
	misbehave := pictures[opts.Front][opts.Picture]
	if misbehave == nil {
		return result, fmt.Errorf("no picture %q of front end %q; there are: %s", opts.Picture, opts.Front, strings.Join(Pictures(opts.Front), ", "))
	}
	dir, err := os.MkdirTemp("", "testbed-pressure-")
	if err != nil {
		return result, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	addr, err := harness.UnusedAddress()
	if err != nil {
		return result, err
	}
	systems, err := harness.New(harness.Options{
		Root: opts.Root, Dir: dir, Engines: engineCount, HTTP: addr, Postgres: addr, MemoryMB: opts.MemoryMB, Sockets: opts.Sockets,
		Work: func(string) (time.Duration, float64) { return engineWork, 1 }, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return result, err
	}
	defer systems.Close()
	args := []string{"serve", "--config", systems.Config, "--shapes", filepath.Join(opts.Root, "deploy/shapes.toml")}
	if opts.Front == Postgres {
		args = []string{"serve", "--postgres", systems.Deploy}
	}
	gateway, err := harness.Start(opts.Program, opts.Log, args...)
	if err != nil {
		return result, err
	}
	defer gateway.Stop()
	if err := awaitListener(ctx, addr); err != nil {
		return result, err
	}
	usual := &usualClients{front: opts.Front, addr: addr, count: opts.Clients}
	usual.play(ctx, opts.For)
	result.Calm = usual.take()
	result.CalmMB = peakMemory(gateway.Process.Pid)
	pressed, stop := context.WithCancel(ctx)
	var others sync.WaitGroup
	others.Go(func() { misbehave(pressed, target{addr: addr, crowd: opts.Crowd}) })
	usual.play(ctx, opts.For)
	result.Pressed = usual.take()
	result.PeakMB = peakMemory(gateway.Process.Pid)
	stop()
	others.Wait()
	result.Refused = usual.refused
	result.Lost = usual.lost
	result.FirstLoss = usual.firstLoss
	select {
	case <-gateway.Ended: //nolint:errcheck // that it ended is the finding
		result.Killed = true
		gateway.Ended <- nil // for Stop
	default:
	}
	return result, ctx.Err()
}

// awaitListener waits until a connection to the address is accepted.
func awaitListener(ctx context.Context, addr string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		if c, err := net.Dial("tcp", addr); err == nil {
			return c.Close()
		}
		if err := harness.Sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("the gateway does not listen at %s after %v", addr, startTimeout)
}

// peakMemory returns the highest resident size of a process so far in MiB, or 0 if it has ended.
func peakMemory(pid int) float64 {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, _ := strconv.ParseFloat(fields[1], 64)
			return kib / 1024
		}
	}
	return 0
}
