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

// Ways in which a new version comes into service, as experiment files write them.
const (
	Nothing  = "nothing" // no new version: the baseline
	TakeOver = "upgrade" // it takes over from the running process
	Forget   = "forget"  // it takes over without the learned state of the decision module
	Restart  = "restart" // the old process is stopped gracefully, then the new one starts cold at its address
)

// ServiceOptions configure a run of PlayService.
type ServiceOptions struct {
	Way         string        // how the new version comes into service
	Root, Dir   string        // root of the repository; directory for the written files
	Program     string        // path of the gateway program
	Lab         string        // path of the testbed program, which runs scripted processes
	Engines     int           // number of engines
	Crowded     int           // number of engines whose machine is shared with another program
	Share       float64       // fraction of such a machine that the other program uses, 0 to 1
	Rate        float64       // requests per second
	Connections int           // client connections
	Warm        time.Duration // warm-up before the first measured span
	Span        time.Duration // length of each measured span: one before the event, one after
	Seed        uint64
	Log         io.Writer // log of the gateways
}

// Service compares the value of the answers in the spans before and after the event.
type Service struct {
	Before, After float64      // value of timely answers, as a fraction of the value of all requests
	Lost          int          // requests without an answer or without a connection
	Requests      int          // requests in both spans
	Faults        []load.Fault // violated rules
}

// PlayService runs one event under traffic and returns the service before and after it.
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
			return nil, errors.Join(fmt.Errorf("want the upgrade to succeed, but it ended with %q; see the gateways' log", u.Why), err)
		}
	case Forget:
		r := admin.Request{Command: admin.CommandUpgrade, Program: opts.Lab, Args: append([]string{"scripted", "forget", opts.Program}, g.args...)}
		last, err := admin.Call(ctx, g.admin, r, func(admin.Reply) {})
		if err != nil || last.Problem != "" {
			return nil, errors.Join(fmt.Errorf("want the upgrade to succeed, but it ended with %q; see the gateways' log", last.Problem), err)
		}
	case Restart:
		_ = g.first.Process.Signal(syscall.SIGTERM)
		select {
		case <-g.first.Ended:
			g.first.Ended <- nil // lets a later Stop return
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if g.first, err = harness.Start(opts.Program, opts.Log, g.args...); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("unknown way %q; use one of %q", opts.Way, []string{Nothing, TakeOver, Forget, Restart})
	}
	if err := harness.Sleep(ctx, time.Until(event.Add(opts.Span))); err != nil {
		return nil, err
	}
	stop()
	running.Wait()
	res = &Service{}
	var got, asked [2]float64 // value before and after the event
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
		if opts.Way != Restart || f.Rule != "no answer" && f.Rule != "not reached" { // a restart loses requests: Lost counts them
			res.Faults = append(res.Faults, f)
		}
	}
	return res, nil
}
