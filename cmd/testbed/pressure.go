package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/testbed/pressure"
)

// pressureCommand plays clients that misbehave beside usual ones.
type pressureCommand struct {
	Program  string        `default:"bin/gateway" help:"Path of the gateway's program." name:"ringwood"`
	Front    string        `default:"platform" enum:"platform,postgres" help:"Front end: platform or postgres." name:"front"`
	MemoryMB int           `default:"192" help:"The gateway's memory limit, in MB." name:"memory-mb"`
	Sockets  int           `default:"1024" help:"The gateway's descriptor limit." name:"sockets"`
	Crowd    int           `default:"400" help:"Number of misbehaving connections, where there are many." name:"crowd"`
	Clients  int           `default:"10" help:"Number of usual clients." name:"clients"`
	For      time.Duration `default:"5s" help:"Time without, and time with, the misbehaving clients." name:"for"`
	Log      bool          `help:"Print the gateway's log." name:"log"`
	Pictures []string      `arg:"" optional:"" help:"What the misbehaving clients do; all by default."`
}

// Run plays each picture and prints a line for it. It fails if a usual client's request was lost, or the memory limit exceeded.
func (c *pressureCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	names := c.Pictures
	if len(names) == 0 {
		names = pressure.Pictures(pressure.Front(c.Front))
	}
	log := io.Discard
	if c.Log {
		log = os.Stderr
	}
	fmt.Println("picture | calm p50 p99 highest | beside p50 p99 highest | served | refused | lost | peak MB, calm and beside")
	var broken []string
	for _, name := range names {
		result, err := pressure.Run(ctx, pressure.Options{
			Front: pressure.Front(c.Front), Picture: name, Program: c.Program, Root: ".", MemoryMB: c.MemoryMB, Sockets: c.Sockets,
			Crowd: c.Crowd, Clients: c.Clients, For: c.For, Log: log,
		})
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Printf("%s | %s | %s | %d | %d | %d %s | %.0f %.0f\n", name, latencyText(result.Calm), latencyText(result.Pressed),
			result.Pressed.Count, result.Refused, result.Lost, result.FirstLoss, result.CalmMB, result.PeakMB)
		if result.Lost > 0 || result.Killed || result.PeakMB > float64(c.MemoryMB) {
			broken = append(broken, name)
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("usual clients' requests were lost, or the memory limit was exceeded, in: %s", strings.Join(broken, ", "))
	}
	fmt.Println("no request was lost and no limit was exceeded")
	return nil
}

// latencyText returns the quantiles in milliseconds.
func latencyText(l pressure.Latencies) string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.0f %.0f %.0f", ms(l.P50), ms(l.P99), ms(l.Highest))
}
