package upgrades

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/lab/emul"
	"gannetspur/internal/lab/load"
	"gannetspur/internal/lab/model"
	"gannetspur/internal/lab/rig"

	"gonum.org/v1/gonum/stat/distuv"
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

// class is what a class of the register is worth, and how long its answers may take.
type class struct {
	worth, late float64
	aim         time.Duration
	stretch     float64
	threads, io float64
	mean        float64 // of the work, ms
	need        float64 // of memory, MB
	load, waits bool
}

var classes = map[load.Kind]class{
	load.Lookup: {worth: 1, late: 0.1, aim: 1200 * time.Millisecond, stretch: 1.5, threads: 1, io: 0.3, mean: 220, need: 100, waits: true},
	load.Report: {worth: 4, late: 0.3, aim: 2 * time.Second, stretch: 2.5, threads: 3, io: 0.5, mean: 2500, need: 700},
	load.Load:   {worth: 5, late: 0.5, aim: 4 * time.Second, stretch: 2.5, threads: 2, io: 0.5, mean: 3000, need: 500, load: true},
}

// work is what a request needs, the same whenever its mark is met.
func work(mark string) (class, time.Duration, int64) {
	c := classes[load.Kind(mark[0])]
	h := fnv.New64a()
	_, _ = h.Write([]byte(mark)) // it never fails
	scatter := distuv.LogNormal{Mu: -0.18, Sigma: 0.6, Src: rand.NewPCG(h.Sum64(), 1)}
	return c, time.Duration(c.mean * scatter.Rand() * float64(time.Millisecond)), int64(h.Sum64() % 8)
}

func query(statement string) model.Query {
	mark := emul.Mark(statement)
	if mark == "" {
		return model.Query{Work: time.Millisecond, NeedMB: 1, Class: model.Class{Threads: 1}, Priority: 1}
	}
	c, w, group := work(mark)
	return model.Query{Work: w, NeedMB: c.need, Group: group, Priority: 1, Class: model.Class{Threads: c.threads, IO: c.io, Load: c.load, Waits: c.waits}}
}

// PlayService plays one event and tells what it cost.
func PlayService(ctx context.Context, opts ServiceOptions) (res *Service, err error) {
	ledger := emul.NewLedger(window)
	g, err := open(ctx, Options{
		Front: "postgres", Root: opts.Root, Dir: opts.Dir, Program: opts.Program, Engines: opts.Engines, Connections: opts.Connections,
		ProveFor: time.Second, Log: opts.Log,
	}, rig.Options{
		Ledger: ledger, Ask: query,
		Machine: func(i int) *emul.Machine {
			m := emul.NewMachine(model.Usual())
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
	if err := pause(ctx, opts.Warm+opts.Span); err != nil {
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
		r := admin.Request{Do: "upgrade", Program: opts.Lab, Args: append([]string{"scripted", "forget", opts.Program}, g.args...)}
		last, err := admin.Call(ctx, g.admin, r, func(admin.Reply) {})
		if err != nil || last.Why != "" {
			return nil, errors.Join(fmt.Errorf("the upgrade ended with %q", last.Why), err)
		}
	case Restart:
		_ = g.first.Process.Signal(syscall.SIGTERM)
		select {
		case <-g.first.Ended:
			g.first.Ended <- nil // for whoever stops it again
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if g.first, err = rig.Start(opts.Program, opts.Log, g.args...); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("there is no way %q", opts.Way)
	}
	if err := pause(ctx, time.Until(event.Add(opts.Span))); err != nil {
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
		c, w, _ := work(rec.Mark)
		asked[span] += c.worth
		switch rec.Verdict {
		case load.Served:
			if aim := c.aim + time.Duration(c.stretch*float64(w)/c.threads); rec.Latency() <= aim {
				got[span] += c.worth
			} else {
				got[span] += c.worth * c.late
			}
		case load.Reset, load.Silent, load.Unasked:
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
