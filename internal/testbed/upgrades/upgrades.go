// Package upgrades plays upgrades of a gateway under steady traffic, good ones and ones that
// are broken in every way that is known, and judges what clients and engines saw of them.
package upgrades

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/metrics"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/traffic"
)

// Good is the kind of an upgrade that must go through.
const Good = "good"

// Broken are the kinds of new versions that must not, and what each does.
var Broken = map[string]string{
	"exit":         "ends at once",
	"missing":      "there is no such program",
	"mute":         "never says a word",
	"no-settings":  "can't read its settings",
	"descriptors":  "has too few descriptors for the connections",
	"version":      "speaks another version",
	"garbage":      "writes garbage to the channel",
	"dies-warming": "dies while it takes what is known, or just before or after",
	"dies-serving": "dies after it has served for a while",
	"hangs":        "stops after it has served for a while",
	"memory":       "takes too much memory",
	"errors":       "answers errors only, or refuses all",
}

// window is how long engines drop repeats of a key, as the settings say.
const window = 12 * time.Second

// Options say what to play on one front.
type Options struct {
	Front       string // rest or postgres
	Root        string // the repository
	Dir         string // for files
	Program     string // ringwood
	Lab         string // this program, for scripted processes
	Engines     int
	Work        time.Duration // of each statement
	Connections int
	Rate        float64
	Loads       float64
	Writes      float64
	Churn       float64
	Recorded    []traffic.Record // statements in place of the clients' own; of the PostgreSQL front
	Kinds       []string         // of the upgrades, in order
	MayReturn   bool             // a good one may be returned from: troubles of the engines are taken for its own
	Gap         time.Duration
	ProveFor    time.Duration
	Link        *faultproxy.Options // between gateway and engines; nil: none
	Events      []Event             // among the engines, by time from the first upgrade
	Seed        uint64
	Log         io.Writer // of the gateways
	Each        func(Upgrade)
}

// Reconnect has every client whose connection is free close it and make another, all at once.
const Reconnect = "reconnect"

// Event is Reconnect, or something that happens to an engine or to what tells of them
// (emul.Fleet.Do).
type Event struct {
	At     time.Duration
	Do     string
	Engine int
}

// Upgrade is one upgrade that was played.
type Upgrade struct {
	Kind        string
	Began, Done time.Time
	Why         string // of a return; "": it went through
	Right       bool   // it ended as its kind must
}

// Result is what was seen.
type Result struct {
	Upgrades []Upgrade
	Records  []load.Record
	Runs     []emulator.Run
	Faults   []load.Fault
	Ended    int // connections that had ended without a word, at the end
	Unasked  int // that had an answer waiting that nobody asked for
	Resident int64
	Extra    int64     // the most that both processes of an upgrade took beyond what the one had taken
	Stable   time.Time // traffic before this is the steady state
}

// gate is the gateway that serves just now, whichever process that is.
type gate struct {
	opts  Options
	rig   *harness.Harness
	addr  string
	admin string
	args  []string
	first *harness.Gateway
}

// open sets a gateway up between engines, and returns once it serves. set says what is set up
// beside what the options say.
func open(ctx context.Context, opts Options, set harness.Options) (g *gate, err error) {
	addr, err := harness.UnusedAddress()
	if err != nil {
		return nil, err
	}
	set.Root, set.Dir, set.Engines, set.Clients = opts.Root, opts.Dir, opts.Engines, opts.Connections
	set.HTTP, set.Postgres, set.User, set.Log = addr, addr, "ringwood", slog.New(slog.DiscardHandler)
	r, err := harness.New(set)
	if err != nil {
		return nil, err
	}
	g = &gate{opts: opts, rig: r, addr: addr, admin: filepath.Join(opts.Dir, "admin")}
	if err = g.write(); err == nil {
		g.first, err = harness.Start(opts.Program, opts.Log, g.args...)
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	if err := g.settled(ctx); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// close ends the gateway, and what is round it.
func (g *gate) close() {
	g.stop()
	g.rig.Close()
}

// Play plays the upgrades.
func Play(ctx context.Context, opts Options) (res *Result, err error) {
	ledger := emulator.NewLedger(window)
	g, err := open(ctx, opts, harness.Options{
		Ledger: ledger, Link: opts.Link, Work: func(string) (time.Duration, float64) { return opts.Work, 1 },
	})
	if err != nil {
		return nil, err
	}
	defer g.close()
	r, addr := g.rig, g.addr
	dial := func(seed uint64) (load.Client, error) { return load.DialHTTP(addr, seed) }
	name := "1"
	if opts.Front == "rest" {
		opts.Writes, opts.Recorded = 0, nil // the toy settings have no class for them
	} else {
		dial, name = func(uint64) (load.Client, error) { return load.DialPostgres(addr) }, "2"
	}
	s, err := load.New(load.Options{
		Name: name, Dial: dial, Connections: opts.Connections, Rate: opts.Rate, Loads: opts.Loads, Writes: opts.Writes, Churn: opts.Churn,
		Within: 5 * time.Second, Retries: 2, Seed: opts.Seed, Recorded: opts.Recorded,
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	traffic, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { s.Run(traffic); close(ended) }()
	res = &Result{}
	defer func() { stop(); <-ended }()
	if err := harness.Sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	res.Stable = time.Now()
	chance := rand.New(rand.NewPCG(opts.Seed, 0x75706772))
	went := make(chan error, len(opts.Events))
	for _, e := range opts.Events {
		t := time.AfterFunc(e.At, func() {
			if e.Do == Reconnect {
				went <- s.Reconnect()
			} else {
				went <- r.Apply(e.Do, e.Engine)
			}
		})
		defer t.Stop()
	}
	for _, kind := range opts.Kinds {
		sampled := g.sample(ctx, kind == Good)
		u, err := g.upgrade(ctx, kind, chance)
		res.Extra = max(res.Extra, sampled())
		if err != nil {
			return nil, fmt.Errorf("upgrade %q: %w", kind, err)
		}
		res.Upgrades = append(res.Upgrades, u)
		opts.Each(u)
		if err := harness.Sleep(ctx, opts.Gap); err != nil {
			return nil, err
		}
	}
	if err := harness.Sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if st, err := admin.FetchStatus(ctx, g.admin); err == nil {
		res.Resident = metrics.ResidentBytes(st.PID)
	}
	stop()
	<-ended
	res.Ended, res.Unasked = s.Sweep()
	res.Records, res.Runs = s.Records(), ledger.Runs()
	for len(went) > 0 {
		if err := <-went; err != nil {
			return nil, err
		}
	}
	fleet := r.Lines
	if opts.Front == "postgres" {
		fleet = r.Postgres
	}
	res.Faults = append(load.Check(res.Records, res.Runs, window), load.CheckDrains(res.Runs, fleet.History())...)
	for i := range res.Faults {
		res.Faults[i].What += res.during(res.Faults[i].Mark)
	}
	if res.Ended > 0 {
		res.Faults = append(res.Faults, load.Fault{Rule: "ended unasked", What: fmt.Sprintf("%d connections", res.Ended)})
	}
	if res.Unasked > 0 {
		res.Faults = append(res.Faults, load.Fault{Rule: "answered unasked", What: fmt.Sprintf("%d connections", res.Unasked)})
	}
	return res, nil
}

// during names the upgrade that a request met.
func (res *Result) during(mark string) string {
	for _, r := range res.Records {
		if r.Mark != mark {
			continue
		}
		for i, u := range res.Upgrades {
			if r.End.After(u.Began) && r.Due.Before(u.Done.Add(time.Second)) {
				return fmt.Sprintf(" (%.3f s to %.3f s of upgrade %d, %s)", r.Due.Sub(u.Began).Seconds(), r.End.Sub(u.Began).Seconds(), i, u.Kind)
			}
		}
	}
	return ""
}

// settled waits until the gateway serves what it is asked: it knows its engines.
func (g *gate) settled(ctx context.Context) error {
	for {
		var c load.Client
		var err error
		if g.opts.Front == "postgres" {
			c, err = load.DialPostgres(g.addr)
		} else {
			c, err = load.DialHTTP(g.addr, 1<<30)
		}
		if err == nil {
			v, _ := c.Send(load.Lookup, "q-0-0", nil, time.Second)
			c.Close()
			if v == load.Served {
				return nil
			}
		}
		if over := harness.Sleep(ctx, 50*time.Millisecond); over != nil {
			return errors.Join(errors.New("the gateway never served"), err, over)
		}
	}
}

// write writes the files of the gateway and of the broken ones.
func (g *gate) write() error {
	text, err := os.ReadFile(filepath.Join(g.opts.Root, "deploy", "upgrade.toml"))
	if err != nil {
		return fmt.Errorf("start this from the repository's root: %w", err)
	}
	s := strings.Replace(string(text), `"/tmp/ringwood-admin.sock"`, fmt.Sprintf("%q", g.admin), 1)
	s = strings.Replace(s, "greet_within_s = 5 ", "greet_within_s = 2 ", 1)
	s = strings.Replace(s, "prove_for_s = 3 ", fmt.Sprintf("prove_for_s = %g ", g.opts.ProveFor.Seconds()), 1)
	s = strings.Replace(s, "most_memory_mb = 0 ", "most_memory_mb = 400 ", 1)
	file := filepath.Join(g.opts.Dir, "upgrade.toml")
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		return err
	}
	if g.opts.Front == "postgres" {
		g.args = []string{"serve", "--postgres", g.rig.Deploy, "--upgrade", file}
	} else {
		g.args = []string{"serve", "--config", g.rig.Config, "--upgrade", file}
	}
	// Settings with which every answer is an error or a refusal, or there is none: engines
	// don't trust this user, or lookups may run in no hall that has one.
	for _, f := range []struct{ from, to, old, new string }{
		{g.rig.Deploy, "stranger.toml", `user = "ringwood"`, `user = "stranger"`},
		{g.rig.Config, "stranger.json", `"effect": "read_like"`, `"runs-in": ["hall-b"], "effect": "read_like"`},
	} {
		raw, err := os.ReadFile(f.from)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(g.opts.Dir, f.to), []byte(strings.Replace(string(raw), f.old, f.new, 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// script is a program that acts before, or beside, the gateway that it becomes.
func (g *gate) script(name, text string) (string, error) {
	path := filepath.Join(g.opts.Dir, name+".sh")
	text = strings.ReplaceAll(text, "RINGWOOD", "'"+g.opts.Program+"'")
	return path, os.WriteFile(path, []byte("#!/bin/sh\n"+text+"\n"), 0o700)
}

func (g *gate) request(kind string, chance *rand.Rand) (r admin.Request, err error) {
	r.Command = admin.CommandUpgrade
	between := func(low, high time.Duration) float64 {
		return (low + time.Duration(chance.Int64N(int64(high-low)))).Seconds()
	}
	var text string
	switch kind {
	case Good:
		return r, nil
	case "missing":
		r.Program = filepath.Join(g.opts.Dir, "nothing-here")
		return r, nil
	case "version", "garbage":
		r.Program, r.Args = g.opts.Lab, []string{"scripted", kind}
		return r, nil
	case "exit":
		text = "exit 3"
	case "mute":
		text = "exec sleep 60"
	case "no-settings":
		text = "exec RINGWOOD serve --postgres /nonexistent/settings.toml"
	case "descriptors":
		text = "ulimit -n 70; exec RINGWOOD \"$@\""
	case "dies-warming":
		text = fmt.Sprintf("(sleep %.3f; kill -9 $$) & exec RINGWOOD \"$@\"", between(0, 150*time.Millisecond))
	case "dies-serving":
		text = fmt.Sprintf("(sleep %.3f; kill -9 $$) & exec RINGWOOD \"$@\"", between(g.opts.ProveFor/5, g.opts.ProveFor*3/5)) // well within the probation, on a slow machine too
	case "hangs":
		text = fmt.Sprintf("(sleep %.3f; kill -STOP $$) & exec RINGWOOD \"$@\"", between(g.opts.ProveFor/5, g.opts.ProveFor*3/5)) // well within the probation, on a slow machine too
	case "memory":
		text = "x=$(head -c 600000000 /dev/zero | tr '\\0' x); RINGWOOD \"$@\" & wait"
	case "errors":
		text = "exec RINGWOOD serve --postgres '" + filepath.Join(g.opts.Dir, "stranger.toml") + "' --upgrade '" + filepath.Join(g.opts.Dir, "upgrade.toml") + "'"
		if g.opts.Front != "postgres" {
			text = strings.Replace(text, "--postgres", "--config", 1)
			text = strings.Replace(text, "stranger.toml", "stranger.json", 1)
		}
	default:
		return r, fmt.Errorf("there is no kind of upgrade %q", kind)
	}
	r.Program, err = g.script(kind, text)
	return r, err
}

// upgrade plays one upgrade.
func (g *gate) upgrade(ctx context.Context, kind string, chance *rand.Rand) (u Upgrade, err error) {
	r, err := g.request(kind, chance)
	if err != nil {
		return u, err
	}
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	// The process before the last one may still answer what it had taken.
	for {
		u = Upgrade{Kind: kind, Began: time.Now()}
		last, err := admin.Call(ctx, g.admin, r, func(admin.Reply) {})
		if err != nil {
			return u, err
		}
		u.Done, u.Why = time.Now(), strings.ReplaceAll(last.Problem, g.opts.Dir+"/", "")
		if strings.Contains(u.Why, "not through") {
			if err := harness.Sleep(ctx, 20*time.Millisecond); err != nil {
				return u, err
			}
			continue
		}
		u.Right = (u.Why == "") == (kind == Good) || kind == Good && g.opts.MayReturn
		return u, nil
	}
}

// sample looks at the memory of the process that serves and of its children until the
// returned function is called, which tells the most that they took beyond the start.
func (g *gate) sample(ctx context.Context, on bool) (end func() int64) {
	st, err := admin.FetchStatus(ctx, g.admin)
	if !on || err != nil {
		return func() int64 { return 0 }
	}
	start := metrics.ResidentBytes(st.PID)
	stop, most := make(chan struct{}), make(chan int64, 1)
	go func() {
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		extra := int64(0)
		for {
			select {
			case <-t.C:
				sum := metrics.ResidentBytes(st.PID)
				for _, pid := range children(st.PID) {
					sum += metrics.ResidentBytes(pid)
				}
				extra = max(extra, sum-start)
			case <-stop:
				most <- extra
				return
			}
		}
	}()
	return func() int64 { close(stop); return <-most }
}

// children are the processes that any thread of a process has started (proc(5)).
func children(pid int) (pids []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, t := range tasks {
		b, _ := os.ReadFile(t) // one that has left has none
		for _, child := range strings.Fields(string(b)) {
			if n, err := strconv.Atoi(child); err == nil {
				pids = append(pids, n)
			}
		}
	}
	return pids
}

// stop ends the process that serves, and the first one where it still lives.
func (g *gate) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if st, err := admin.FetchStatus(ctx, g.admin); err == nil && st.PID != g.first.Process.Pid {
		_ = syscall.Kill(st.PID, syscall.SIGTERM)
		for range 400 { // it is nobody's child here: its socket tells when it has ended
			c, err := net.Dial("unix", g.admin)
			if err != nil {
				break
			}
			_ = c.Close()
			time.Sleep(20 * time.Millisecond)
		}
	}
	g.first.Stop()
}
