// Package upgrades runs upgrades of a gateway under steady traffic, both to good versions and to
// versions that are broken in each known way, and checks what clients and engines saw.
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

// Good is the kind of upgrade that must succeed.
const Good = "good"

// Broken maps the kinds of upgrade that must fail to what the new version does.
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

// window is how long engines drop requests with a repeated idempotency key, as in the settings.
const window = 12 * time.Second

// Options configure a run on one frontend.
type Options struct {
	Front       string              // frontend: rest or postgres
	Root        string              // root of the repository
	Dir         string              // directory for the written files
	Program     string              // path of the gateway program
	Lab         string              // path of the testbed program, which runs scripted processes
	Engines     int                 // number of engines
	Work        time.Duration       // execution time of each statement
	Connections int                 // client connections
	Rate        float64             // requests per second
	Loads       float64             // fraction of requests that are loads, 0 to 1
	Writes      float64             // fraction of requests that are writes; rest: always 0
	Churn       float64             // fraction of requests after which the connection is replaced, 0 to 1
	Recorded    []traffic.Record    // statements in place of generated ones; PostgreSQL frontend only
	Kinds       []string            // kinds of the upgrades, in order
	MayReturn   bool                // a good upgrade may be rolled back, because engine faults can be taken for its own
	Gap         time.Duration       // pause after each upgrade
	ProveFor    time.Duration       // probation of a new version
	Link        *faultproxy.Options // faults between gateway and engines; nil: direct connections
	Events      []Event             // events, timed from the start of the first upgrade
	Seed        uint64
	Log         io.Writer     // log of the gateways
	Each        func(Upgrade) // called after each upgrade
}

// Reconnect is the event at which all clients with an idle connection close it and open a new one at
// the same time.
const Reconnect = "reconnect"

// Event is Reconnect, or a change of an engine or of its discovery (emulator.Fleet.Apply).
type Event struct {
	At     time.Duration // since the start of the first upgrade
	Do     string
	Engine int // number of the engine, for events of engines
}

// Upgrade is the outcome of one upgrade.
type Upgrade struct {
	Kind        string
	Began, Done time.Time
	Why         string // reason of the rollback or failure; "": it succeeded
	Right       bool   // it ended as its kind requires
}

// Result holds the observations of a run.
type Result struct {
	Upgrades []Upgrade
	Records  []load.Record
	Runs     []emulator.Run
	Faults   []load.Fault
	Ended    int       // idle connections found closed at the end of the run
	Unasked  int       // connections with an unsolicited answer at the end of the run
	Resident int64     // resident memory of the gateway at the end, bytes
	Extra    int64     // maximum additional resident memory during a good upgrade, bytes
	Stable   time.Time // end of the start-up: traffic from here until the first upgrade is the steady state
}

// gatewayUnderTest is the gateway that serves at an address, whichever process that is at present.
type gatewayUnderTest struct {
	opts    Options
	harness *harness.Harness
	addr    string           // address that clients connect to
	admin   string           // path of its admin socket
	args    []string         // command line after the program
	first   *harness.Gateway // process started last by this package; upgrades start its successors
}

// open starts the emulated systems and a gateway, and returns once it serves. set holds further
// options of the harness.
func open(ctx context.Context, opts Options, set harness.Options) (g *gatewayUnderTest, err error) {
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
	g = &gatewayUnderTest{opts: opts, harness: r, addr: addr, admin: filepath.Join(opts.Dir, "admin")}
	if err = g.writeFiles(); err == nil {
		g.first, err = harness.Start(opts.Program, opts.Log, g.args...)
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	if err := g.waitServing(ctx); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// close stops the gateway and the emulated systems.
func (g *gatewayUnderTest) close() {
	g.stop()
	g.harness.Close()
}

// Play runs the upgrades under traffic and checks the observations.
func Play(ctx context.Context, opts Options) (res *Result, err error) {
	ledger := emulator.NewLedger(window)
	g, err := open(ctx, opts, harness.Options{
		Ledger: ledger, Link: opts.Link, Work: func(string) (time.Duration, float64) { return opts.Work, 1 },
	})
	if err != nil {
		return nil, err
	}
	defer g.close()
	r, addr := g.harness, g.addr
	dial := func(seed uint64) (load.Client, error) { return load.DialHTTP(addr, seed) }
	name := "1"
	if opts.Front == "rest" {
		opts.Writes, opts.Recorded = 0, nil // the example settings have no class for writes
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
	rng := rand.New(rand.NewPCG(opts.Seed, 0x75706772))
	eventErrors := make(chan error, len(opts.Events))
	for _, e := range opts.Events {
		t := time.AfterFunc(e.At, func() {
			if e.Do == Reconnect {
				eventErrors <- s.Reconnect()
			} else {
				eventErrors <- r.Apply(e.Do, e.Engine)
			}
		})
		defer t.Stop()
	}
	for _, kind := range opts.Kinds {
		sampled := g.sampleMemory(ctx, kind == Good)
		u, err := g.upgrade(ctx, kind, rng)
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
	for len(eventErrors) > 0 {
		if err := <-eventErrors; err != nil {
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

// during describes the upgrade that overlapped with a request; "": none.
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

// waitServing waits until the gateway serves a lookup, which shows that it knows its engines.
func (g *gatewayUnderTest) waitServing(ctx context.Context) error {
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
			return errors.Join(errors.New("the gateway did not answer a lookup before the context ended; see its log"), err, over)
		}
	}
}

// writeFiles writes the configuration files of the gateway and of the broken versions.
func (g *gatewayUnderTest) writeFiles() error {
	text, err := os.ReadFile(filepath.Join(g.opts.Root, "deploy", "upgrade.toml"))
	if err != nil {
		return fmt.Errorf("cannot read the upgrade settings; run this from the repository's root: %w", err)
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
		g.args = []string{"serve", "--postgres", g.harness.Deploy, "--upgrade", file}
	} else {
		g.args = []string{"serve", "--config", g.harness.Config, "--upgrade", file}
	}
	// Settings with which each request fails or is refused or gets no answer: engines do not accept
	// this user, or lookups may run only in a hall without engines.
	for _, f := range []struct{ from, to, old, new string }{
		{g.harness.Deploy, "stranger.toml", `user = "ringwood"`, `user = "stranger"`},
		{g.harness.Config, "stranger.json", `"effect": "read_like"`, `"runs-in": ["hall-b"], "effect": "read_like"`},
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

// script writes a shell script that acts before or beside the gateway program and then runs it.
func (g *gatewayUnderTest) script(name, text string) (string, error) {
	path := filepath.Join(g.opts.Dir, name+".sh")
	text = strings.ReplaceAll(text, "RINGWOOD", "'"+g.opts.Program+"'")
	return path, os.WriteFile(path, []byte("#!/bin/sh\n"+text+"\n"), 0o700)
}

// request returns the upgrade request for a kind of upgrade, and writes the script that it needs.
func (g *gatewayUnderTest) request(kind string, rng *rand.Rand) (r admin.Request, err error) {
	r.Command = admin.CommandUpgrade
	randomSeconds := func(low, high time.Duration) float64 {
		return (low + time.Duration(rng.Int64N(int64(high-low)))).Seconds()
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
		text = fmt.Sprintf("(sleep %.3f; kill -9 $$) & exec RINGWOOD \"$@\"", randomSeconds(0, 150*time.Millisecond))
	case "dies-serving":
		text = fmt.Sprintf("(sleep %.3f; kill -9 $$) & exec RINGWOOD \"$@\"", randomSeconds(g.opts.ProveFor/5, g.opts.ProveFor*3/5)) // well within the probation, on a slow machine too
	case "hangs":
		text = fmt.Sprintf("(sleep %.3f; kill -STOP $$) & exec RINGWOOD \"$@\"", randomSeconds(g.opts.ProveFor/5, g.opts.ProveFor*3/5)) // well within the probation, on a slow machine too
	case "memory":
		text = "x=$(head -c 600000000 /dev/zero | tr '\\0' x); RINGWOOD \"$@\" & wait"
	case "errors":
		text = "exec RINGWOOD serve --postgres '" + filepath.Join(g.opts.Dir, "stranger.toml") + "' --upgrade '" + filepath.Join(g.opts.Dir, "upgrade.toml") + "'"
		if g.opts.Front != "postgres" {
			text = strings.Replace(text, "--postgres", "--config", 1)
			text = strings.Replace(text, "stranger.toml", "stranger.json", 1)
		}
	default:
		return r, fmt.Errorf("unknown kind of upgrade %q; use %q or a key of Broken", kind, Good)
	}
	r.Program, err = g.script(kind, text)
	return r, err
}

// upgrade requests one upgrade and waits for its outcome. rng is not used by Good, for which it may be nil.
func (g *gatewayUnderTest) upgrade(ctx context.Context, kind string, rng *rand.Rand) (u Upgrade, err error) {
	r, err := g.request(kind, rng)
	if err != nil {
		return u, err
	}
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	// The previous upgrade is not through while its old process still answers accepted requests.
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

// sampleMemory samples the memory of the serving process and of its children until the
// returned function is called, if on is true. That function returns the maximum increase since the start, in bytes.
func (g *gatewayUnderTest) sampleMemory(ctx context.Context, on bool) (end func() int64) {
	st, err := admin.FetchStatus(ctx, g.admin)
	if !on || err != nil {
		return func() int64 { return 0 }
	}
	start := metrics.ResidentBytes(st.PID)
	stop, result := make(chan struct{}), make(chan int64, 1)
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
				result <- extra
				return
			}
		}
	}()
	return func() int64 { close(stop); return <-result }
}

// children returns the child processes of all threads of a process (proc(5)).
func children(pid int) (pids []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, t := range tasks {
		b, _ := os.ReadFile(t) // a thread that has ended has no children
		for _, child := range strings.Fields(string(b)) {
			if n, err := strconv.Atoi(child); err == nil {
				pids = append(pids, n)
			}
		}
	}
	return pids
}

// stop ends the serving process, and the first process if it still runs.
func (g *gatewayUnderTest) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if st, err := admin.FetchStatus(ctx, g.admin); err == nil && st.PID != g.first.Process.Pid {
		_ = syscall.Kill(st.PID, syscall.SIGTERM)
		for range 400 { // not a child of this process: wait until its admin socket is closed
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
