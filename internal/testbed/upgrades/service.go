package upgrades

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/workcost"
)

// Ways in which a new version comes into service.
const (
	Nothing  = "nothing" // none does: what a span is worth by itself
	TakeOver = "upgrade" // it takes over
	Forget   = "forget"  // it takes over, but for what the decision module has learned
	Restart  = "restart" // the old one is stopped by plan, the new one starts cold at its address
)

// ServiceOptions say what to play.
type ServiceOptions struct {
	Way         string
	Root, Dir   string
	Program     string
	Lab         string // this program
	Engines     int
	Crowded     int     // engines that another program has most of
	Share       float64 // which it has
	Rate        float64
	Connections int
	Warm        time.Duration // before the span that is compared
	Span        time.Duration // before the event, and after it
	Seed        uint64
	Log         io.Writer
}

// Service is what a span before the event and one after it were worth.
type Service struct {
	Before, After float64 // worth of answers in time over what was asked for
	Lost          int     // requests with no answer, or that found nobody
	Requests      int
	Faults        []load.Fault
}

// PlayService plays one event and tells what it cost.
func PlayService(ctx context.Context, opts ServiceOptions) (res *Service, err error) {
	ledger := emulator.NewLedger(window)
	g, err := open(ctx, Options{
		Front: "postgres", Root: opts.Root, Dir: opts.Dir, Program: opts.Program, Engines: opts.Engines, Connections: opts.Connections,
		ProveFor: time.Second, Log: opts.Log,
	}, harness.Options{
		Ledger: ledger, QueryFor: workcost.Query,
		Machine: func(i int) *emulator.Machine {
			m := emulator.NewMachine(enginemodel.Usual())
			if i < opts.Crowded {
				m.Take(opts.Share)
			}
			return m
		},
	})
	if err != nil {
		return nil, err
	}
	defer g.close()
	s, err := load.New(load.Options{
		Name: "5", Dial: func(uint64) (load.Client, error) { return load.DialPostgres(g.addr) }, Connections: opts.Connections,
		Rate: opts.Rate, Loads: 0.06, Reports: 0.14, Within: 20 * time.Second, Seed: opts.Seed,
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	traffic, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { s.Run(traffic) })
	defer running.Wait()
	defer stop()
	if err := harness.Sleep(ctx, opts.Warm+opts.Span); err != nil {
		return nil, err
	}
	event := time.Now()
	switch opts.Way {
	case Nothing:
	case TakeOver:
		u, err := g.upgrade(ctx, Good, nil)
		if err != nil || !u.Right {
			return nil, errors.Join(fmt.Errorf("the upgrade ended with %q", u.Why), err)
		}
	case Forget:
		r := admin.Request{Command: admin.CommandUpgrade, Program: opts.Lab, Args: append([]string{"scripted", "forget", opts.Program}, g.args...)}
		last, err := admin.Call(ctx, g.admin, r, func(admin.Reply) {})
		if err != nil || last.Problem != "" {
			return nil, errors.Join(fmt.Errorf("the upgrade ended with %q", last.Problem), err)
		}
	case Restart:
		_ = g.first.Process.Signal(syscall.SIGTERM)
		select {
		case <-g.first.Ended:
			g.first.Ended <- nil // for whoever stops it again
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if g.first, err = harness.Start(opts.Program, opts.Log, g.args...); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("there is no way %q", opts.Way)
	}
	if err := harness.Sleep(ctx, time.Until(event.Add(opts.Span))); err != nil {
		return nil, err
	}
	stop()
	running.Wait()
	res = &Service{}
	var got, asked [2]float64
	for _, rec := range s.Records() {
		span := 0
		switch since := rec.Due.Sub(event); {
		case since >= 0 && since < opts.Span:
			span = 1
		case since >= -opts.Span && since < 0:
		default:
			continue
		}
		res.Requests++
		asked[span] += workcost.ClassOf(rec.Mark).Value
		switch rec.Verdict {
		case load.Served:
			got[span] += workcost.Value(rec.Mark, rec.Latency())
		case load.Reset, load.Silent, load.Unreachable:
			res.Lost++
		}
	}
	res.Before, res.After = got[0]/asked[0], got[1]/asked[1]
	for _, f := range load.Check(s.Records(), ledger.Runs(), window) {
		if opts.Way != Restart || f.Rule != "no answer" && f.Rule != "not reached" { // a restart loses those: they are counted
			res.Faults = append(res.Faults, f)
		}
	}
	return res, nil
}
