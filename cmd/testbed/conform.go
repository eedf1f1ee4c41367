package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"gannetspur/internal/testbed/conformance"
	"gannetspur/internal/testbed/harness"
)

// conformCommand tests a PostgreSQL front end against the wire protocol.
type conformCommand struct {
	Server string `arg:"" optional:"" help:"Loopback address (HOST:PORT) of a PostgreSQL front end that serves emulated engines; if omitted, the gateway in this folder is built and started with one emulated engine." name:"server"`
	Engine string `placeholder:"ADDR" help:"With a server: address of an emulated engine, which is sent the same cases directly." name:"engine"`
	Chains int    `default:"100" help:"Number of random chains of twelve cases on one connection, 0 to 10000; each is sent whole, byte by byte and in pieces." name:"chains"`
	Seed   uint64 `default:"1" help:"Random seed of the chains." name:"seed"`
	Out    string `placeholder:"FILE" help:"Write the table to this file instead of standard output." name:"out"`
}

// Run sends all cases and chains, writes the table, and fails if any answer differs from the expected one.
func (c *conformCommand) Run() error {
	for _, addr := range []string{c.Server, c.Engine} {
		if addr != "" {
			if err := loopback(addr); err != nil {
				return err
			}
		}
	}
	if c.Chains < 0 || c.Chains > 10000 {
		return fmt.Errorf("--chains: %d is out of range, want 0 to 10000", c.Chains)
	}
	if c.Server == "" {
		stop, err := c.start()
		if err != nil {
			return err
		}
		defer stop()
	}
	list, err := conformance.All(c.Server, c.Engine, c.Seed)
	if err != nil {
		return err
	}
	table := conformance.Report(list)
	if c.Out != "" {
		if err := os.WriteFile(c.Out, []byte(table), 0o644); err != nil {
			return err
		}
	} else {
		fmt.Print(table)
	}
	var faults []error
	for _, r := range list {
		if !r.OK() {
			faults = append(faults, fmt.Errorf("%s: %s", r.About, r.Name))
		}
	}
	for n := range uint64(c.Chains) {
		chain := conformance.Chain(12, c.Seed+n)
		for _, way := range conformance.Ways {
			if got, err := conformance.Play(c.Server, chain, way, c.Seed); err != nil || got != chain.Want {
				faults = append(faults, errors.Join(err, fmt.Errorf("%s, %v: got %.300s, want %.300s", chain.Name, way, got, chain.Want)))
			}
		}
	}
	fmt.Fprintf(os.Stderr, "%d cases and %d chains (each chain sent in %d ways): %d answers differ from what was expected\n", len(list), c.Chains, len(conformance.Ways), len(faults))
	return errors.Join(faults...)
}

// start builds the gateway in this folder and starts it with one emulated engine. It sets c.Server and c.Engine.
func (c *conformCommand) start() (stop func(), err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir, err := os.MkdirTemp("", "testbed-conform-")
	if err != nil {
		return nil, err
	}
	ends := []func(){func() { _ = os.RemoveAll(dir) }}
	stop = func() {
		for _, end := range slices.Backward(ends) {
			end()
		}
	}
	defer func() {
		if err != nil {
			stop()
		}
	}()
	program, err := harness.Build(ctx, ".", dir)
	if err != nil {
		return nil, err
	}
	addr, err := harness.UnusedAddress()
	if err != nil {
		return nil, err
	}
	r, err := harness.New(harness.Options{
		Root: ".", Dir: dir, Engines: 1, Work: func(string) (time.Duration, float64) { return 0, 1 }, HTTP: "127.0.0.1:0", Postgres: addr,
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	ends = append(ends, r.Close)
	g, err := harness.Start(program, io.Discard, "serve", "--postgres", r.Deploy)
	if err != nil {
		return nil, err
	}
	ends = append(ends, g.Stop)
	c.Server, c.Engine = addr, r.Postgres.Members()[0].Addr.String()
	return stop, harness.WaitListening(ctx, addr)
}

// loopback returns an error unless addr is a loopback address with a port.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip, err := netip.ParseAddr(host); err != nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not a loopback address: the test runs only against this machine, for example 127.0.0.1:5433", addr)
	}
	return nil
}
