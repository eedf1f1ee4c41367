package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/logging"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
)

// tryCommand starts the gateway on loopback with everything it needs, to try it out by hand.
type tryCommand struct {
	Program  string        `placeholder:"FILE" help:"Path of the gateway's program; if omitted, it is built from this folder." name:"ringwood"`
	Engines  int           `default:"3" help:"Number of emulated engines for each of the two protocols, 1 to 16." name:"engines"`
	HTTP     string        `default:"127.0.0.1:9090" help:"Address on which the platform's HTTP front end listens." name:"http"`
	Postgres string        `default:"127.0.0.1:5433" help:"Address on which the PostgreSQL front end listens." name:"postgres"`
	For      time.Duration `default:"1h" help:"Stop after this time." name:"for"`
}

// Run starts everything, prints commands to paste, and stops on Ctrl-C, after c.For, or when a gateway ends.
func (c *tryCommand) Run() error {
	if c.Engines < 1 || c.Engines > 16 {
		return fmt.Errorf("--engines: %d is out of range, want 1 to 16", c.Engines)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	dir, err := os.MkdirTemp("", "testbed-try-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program := c.Program
	if program == "" {
		if program, err = harness.Build(ctx, ".", dir); err != nil {
			return err
		}
	}
	r, err := harness.New(harness.Options{
		Root: ".", Dir: dir, Engines: c.Engines, Work: emulator.Plain, HTTP: c.HTTP, Postgres: c.Postgres, Shapes: true, Log: logging.NewPlain(os.Stdout),
	})
	if err != nil {
		return err
	}
	defer r.Close()
	var ended [2]chan error
	for i, args := range [][]string{{"serve", "--config", r.Config, "--shapes", r.Shapes}, {"serve", "--postgres", r.Deploy}} {
		g, err := harness.Start(program, os.Stdout, append([]string{"--log-format=text"}, args...)...)
		if err != nil {
			return err
		}
		defer g.Stop()
		ended[i] = g.Ended
	}
	for _, addr := range []string{c.HTTP, c.Postgres} {
		if err := harness.WaitListening(ctx, addr); err != nil {
			return err
		}
	}
	host, port, _ := strings.Cut(c.Postgres, ":")
	fmt.Printf(`
Both front ends are listening. To try them, run in another terminal:

  curl -i http://%s/rpc/lookup -H 'Req-Id: 9b1f03aa5c7e2d41' -H 'Req-Wait-Ms: 1500' \
      --data "SELECT day FROM sales_17.orders WHERE tag = '3f9c'"
  psql 'host=%s port=%s user=desk sslmode=disable' -c 'SELECT day FROM stock_17.orders'

The engines log above each statement that they receive. Press Ctrl-C to stop everything.
`, c.HTTP, host, port)
	select {
	case <-ctx.Done():
		return nil
	case err = <-ended[0]:
		ended[0] <- err
	case err = <-ended[1]:
		ended[1] <- err
	}
	return errors.Join(errors.New("a gateway ended unexpectedly; its log above gives the reason"), err)
}
