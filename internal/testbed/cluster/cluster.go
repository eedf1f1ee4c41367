package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
)

// Options describe a run.
type Options struct {
	Root      string // the repository, whose examples are taken
	Program   string
	Dir       string // for files
	Processes int    // 3 to 24
	Engines   int
	Rate      float64 // requests a second at each front end
	Seed      uint64
	Faults    []Fault
	Span      time.Duration // from the time on when all have found each other
	Alone     bool          // they are no members: nothing is checked of views
	Log       io.Writer     // of all processes; nil: none
}

// Result is what was seen.
type Result struct {
	Events   []Event
	Broken   []string // rules, each with what broke it
	Verdicts map[load.Verdict]int
	Requests int
	Began    time.Time       // when all had found each other
	Found    time.Duration   // until all had found each other
	Known    []time.Duration // of each crash: until the last survivor called it dead or lost
	Views    int             // the most changes of the view that one front end had
	Passed   int             // datagrams
	Lost     int
	CPU      time.Duration // of a process and second, the mean over those that ran all the time
	Memory   int           // resident bytes of a process in the end, the same
}

// cluster is the state of one run.
type cluster struct {
	opts    Options
	mesh    *mesh
	procs   []*frontEnd
	proxies []connectionProxies // of each front end's connections
	began   time.Time           // when all had found each other

	limits       map[limitKey]uint64 // what was before
	starving     map[int]func()      // ends it
	replacements sync.WaitGroup      // replacements under way
	held         bool                // processes take each other's place at sockets that are held here

	mu      sync.Mutex
	events  []Event
	changed chan struct{} // closed and replaced at each event
	spans   []span        // of front ends that were not there, or not heard by all
	up      []bool
	failed  error // of replacements
}

// span is a time in which a front end could not be relied on.
type span struct {
	who              int
	from, to         time.Time // zero: to the end
	down             bool      // its process did not run
	disconnected     bool      // its clients may have lost their connections
	idleDisconnected bool      // the same, but only such as were idle: what was taken is answered
	unreachable      []int     // with whom it had no whole way, both ways
}

// limitKey is a resource of a front end.
type limitKey struct{ who, resource int }

// Run runs the schedule. It returns an error where that was not possible; broken invariants are in the result.
func Run(ctx context.Context, opts Options) (res *Result, err error) {
	t := &cluster{
		opts: opts, changed: make(chan struct{}), up: make([]bool, opts.Processes), proxies: make([]connectionProxies, opts.Processes), limits: map[limitKey]uint64{}, starving: map[int]func(){},
	}
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return nil, err
	}
	ledger := emulator.NewLedger(12 * time.Second)
	r, err := harness.New(harness.Options{
		Root: opts.Root, Dir: opts.Dir, Engines: opts.Engines, HTTP: "127.0.0.1:9090", Postgres: "127.0.0.1:0", Ledger: ledger,
		Work: emulator.Plain, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	defer t.closeRelays()
	if err := t.prepare(r); err != nil {
		return nil, err
	}
	defer func() { // by their ids, also where something failed
		for _, end := range t.starving {
			end()
		}
		for _, p := range t.procs {
			p.end()
		}
	}()
	if err := t.each(func(p *frontEnd) error { return t.start(p.n) }); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := t.await(ctx, 30*time.Second, t.settled); err != nil {
		return nil, fmt.Errorf("the front ends do not find each other: %w", err)
	}
	t.began = time.Now()
	res = &Result{Verdicts: map[load.Verdict]int{}, Began: t.began, Found: t.began.Sub(started)}

	loading, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	sources, err := t.openSources()
	defer func() {
		for _, s := range sources {
			s.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	for _, s := range sources {
		running.Go(func() { s.Run(loading) })
	}
	costs := t.costs()
	err = t.play(ctx)
	t.replacements.Wait()
	t.spent(res, costs, t.costs())
	err = errors.Join(err, t.failed)
	stop()
	running.Wait()
	if err != nil {
		return nil, err
	}
	t.checkRun(ctx, res, sources, ledger)
	return res, nil
}

// checkRun waits until all views agree, and checks the invariants on what was observed.
func (t *cluster) checkRun(ctx context.Context, res *Result, sources []*load.Source, ledger *emulator.Ledger) {
	if err := t.await(ctx, settleTimeout, t.settled); err != nil {
		res.Broken = append(res.Broken, "views: "+t.views())
	}
	var records []load.Record
	for _, s := range sources {
		records = append(records, s.Records()...)
	}
	t.check(res, records, ledger.Runs())
}

// closeRelays closes all relays to, from and between the front ends.
func (t *cluster) closeRelays() {
	for i := range t.proxies {
		t.proxies[i].close()
	}
	if t.mesh != nil {
		t.mesh.close()
	}
}

// openSources opens a source of requests for each front end, at the relay to it. With an error it returns those opened before.
func (t *cluster) openSources() (sources []*load.Source, err error) {
	for _, p := range t.procs {
		addr, err := t.proxies[p.n].open(Clients, p.addr, t.opts.Seed)
		if err != nil {
			return sources, err
		}
		s, err := load.New(load.Options{
			Name: strconv.Itoa(p.n), Connections: 8, Rate: t.opts.Rate, Loads: 0.1, Reports: 0.1, Churn: 0.1, Within: 4 * time.Second, Seed: t.opts.Seed + uint64(p.n),
			Dial: func(seed uint64) (load.Client, error) { return load.DialHTTP(addr, seed) },
		})
		if err != nil {
			return sources, err
		}
		sources = append(sources, s)
	}
	return sources, nil
}

// costs are what processes have taken so far.
func (t *cluster) costs() (all []cost) {
	for _, p := range t.procs {
		c, err := p.cost()
		if err != nil { // it has ended
			c = cost{}
		}
		all = append(all, c)
	}
	return all
}

// spent records what was used between two times, by those that ran at both.
func (t *cluster) spent(res *Result, before, after []cost) {
	n := 0
	for i, a := range after {
		if b := before[i]; a.pid != 0 && a.pid == b.pid {
			n++
			res.CPU += a.cpu - b.cpu
			res.Memory += a.memory
		}
	}
	if n > 0 {
		res.CPU, res.Memory = time.Duration(float64(res.CPU)/float64(n)/t.opts.Span.Seconds()), res.Memory/n
	}
}

// settleTimeout is how long views may differ after the last fault.
const settleTimeout = 15 * time.Second

// prepare writes the files of all front ends.
func (t *cluster) prepare(r *harness.Harness) error {
	raw, err := os.ReadFile(r.Config)
	if err != nil {
		return err
	}
	var addrs []netip.AddrPort
	for len(addrs) < t.opts.Processes {
		free, err := harness.UnusedAddress()
		if err != nil {
			return err
		}
		if a := netip.MustParseAddrPort(free); !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	t.held = slices.ContainsFunc(t.opts.Faults, func(f Fault) bool { return f.Do == Replace || f.Do == ReplaceOld || f.Do == ReplaceNew })
	if t.mesh, err = newMesh(addrs, t.opts.Seed); err != nil {
		return err
	}
	for i := range t.opts.Processes {
		var file map[string]any
		if err := json.Unmarshal(raw, &file); err != nil {
			return err
		}
		addr, err := harness.UnusedAddress()
		if err != nil {
			return err
		}
		var peers []string
		for j := range t.opts.Processes {
			peers = append(peers, t.mesh.seen(i, j))
		}
		file["name"], file["listen"], file["peer_listen"], file["peers"] = fmt.Sprintf("n%d", i), addr, addrs[i].String(), peers
		settings := file["settings"].(map[string]any)
		settings["balancers"] = t.opts.Processes
		settings["limits"].(map[string]any)["may-tell"] = true
		if err := t.useProxies(i, file, r); err != nil {
			return err
		}
		dir := filepath.Join(t.opts.Dir, fmt.Sprint("n", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		text, err := json.MarshalIndent(file, "", " ")
		if err != nil {
			return err
		}
		if err := errors.Join(os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600),
			os.WriteFile(filepath.Join(dir, "fleet.toml"), []byte("peers = \"platform\"\n"), 0o600)); err != nil {
			return err
		}
		f := &frontEnd{n: i, program: t.opts.Program, dir: dir, alone: t.opts.Alone, addr: addr, log: t.opts.Log, onEvent: t.record}
		t.procs = append(t.procs, f)
		if t.held {
			if err := f.hold(); err != nil {
				return err
			}
		}
	}
	return nil
}

// useProxies puts relays of a front end's own in place of what its file names.
func (t *cluster) useProxies(i int, file map[string]any, r *harness.Harness) (err error) {
	w := &t.proxies[i]
	if file["bus"], err = w.open(Bus, file["bus"].(string), t.opts.Seed); err != nil {
		return err
	}
	relays := map[string]string{}
	for _, m := range r.Lines.Members() {
		if relays[m.Addr.String()], err = w.open(Engines, m.Addr.String(), t.opts.Seed); err != nil {
			return err
		}
	}
	for _, b := range file["known"].(map[string]any)["batch"].([]any) {
		for _, e := range b.(map[string]any)["topology"].(map[string]any)["targets"].([]any) {
			one := e.(map[string]any)
			one["endpoint"] = relays[one["endpoint"].(string)]
		}
	}
	return nil
}

func (t *cluster) each(f func(*frontEnd) error) error {
	errs := make([]error, len(t.procs))
	var all sync.WaitGroup
	for i, p := range t.procs {
		all.Go(func() { errs[i] = f(p) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (t *cluster) record(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
	close(t.changed)
	t.changed = make(chan struct{})
}

// await waits until something is so, looking at each event.
func (t *cluster) await(ctx context.Context, timeout time.Duration, condition func() bool) error {
	late := time.After(timeout)
	for {
		t.mu.Lock()
		news, ok := t.changed, condition()
		t.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-news:
		case <-late:
			return fmt.Errorf("not within %v", timeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// latest are the views that the front ends that are up have: the digests, and the sizes. The caller holds the lock.
func (t *cluster) latest() (digest map[int]string, size map[int]int) {
	digest, size = map[int]string{}, map[int]int{}
	for _, e := range t.events {
		switch {
		case becameMember(e):
			delete(digest, e.From)
		case e.Name == "members.view" && t.up[e.From]:
			n, _ := e.Fields["size"].(float64)
			digest[e.From], size[e.From] = fmt.Sprint(e.Fields["digest"]), int(n)
		}
	}
	return digest, size
}

// settled reports whether all that are up have the view of just these. The caller holds the lock.
func (t *cluster) settled() bool {
	if t.opts.Alone {
		return true
	}
	up := 0
	for _, is := range t.up {
		if is {
			up++
		}
	}
	digest, size := t.latest()
	seen := map[string]bool{}
	for i, is := range t.up {
		if is {
			if size[i] != up {
				return false
			}
			seen[digest[i]] = true
		}
	}
	return len(seen) == 1
}

// views describes the views that differ.
func (t *cluster) views() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest, size := t.latest()
	var all []string
	for i, is := range t.up {
		if is {
			all = append(all, fmt.Sprintf("%d has %d members (%s)", i, size[i], digest[i]))
		}
	}
	return strings.Join(all, ", ")
}

func (t *cluster) start(n int) error {
	t.mu.Lock()
	t.up[n] = true
	t.mu.Unlock()
	return t.procs[n].start()
}

// play does what the schedule says.
func (t *cluster) play(ctx context.Context) error {
	type step struct {
		at time.Duration
		do func() error
	}
	var steps []step
	for _, f := range t.opts.Faults {
		steps = append(steps, step{f.At, func() error { return t.do(f, faultBegins) }})
		if f.For > 0 {
			steps = append(steps, step{f.At + f.For, func() error { return t.do(f, faultEnds) }})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	steps = append(steps, step{t.opts.Span, func() error { return nil }})
	for _, s := range steps {
		if err := harness.Sleep(ctx, max(time.Until(t.began.Add(s.at)), 0)); err != nil {
			return err
		}
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}
