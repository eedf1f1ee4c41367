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
	Root      string        // root of the repository, which holds the example configuration
	Program   string        // path of the gateway program
	Dir       string        // directory for the written files
	Processes int           // number of front ends, 3 to 24
	Engines   int           // number of engines
	Rate      float64       // requests per second at each front end
	Seed      uint64        // seeds the requests and the simulated network
	Faults    []Fault       // schedule; nil: no faults
	Span      time.Duration // duration of the run, counted from the time when all views agree
	Alone     bool          // front ends run without membership, and views are not checked
	Log       io.Writer     // receives the logs of all processes; nil: discarded
}

// Result holds the observations of a run.
type Result struct {
	Events   []Event              // logged events of all front ends, by time
	Broken   []string             // violated invariants, each with the observation that violates it
	Verdicts map[load.Verdict]int // number of requests by verdict
	Requests int
	Began    time.Time       // when all views first agreed
	Found    time.Duration   // time from the start until all views agreed
	Known    []time.Duration // for each front end that is down for good: time until the last survivor reported it
	Views    int             // maximum number of view changes at one front end
	Passed   int             // datagrams forwarded between front ends, duplicates included
	Lost     int             // datagrams dropped between front ends
	CPU      time.Duration   // CPU time of a process per second, the mean over the processes that ran for the whole span
	Memory   int             // resident bytes of a process at the end, the mean over the same processes
}

// cluster is the state of one run.
type cluster struct {
	opts      Options
	mesh      *mesh // relays datagrams between the front ends
	frontEnds []*frontEnd
	proxies   []connectionProxies // by front end
	began     time.Time           // when all views first agreed

	limits        map[limitKey]uint64 // soft limits before a fault, to be restored at its end
	starving      map[int]func()      // by front end: stops the CPU starvation
	replacements  sync.WaitGroup      // replacements under way
	sharedSockets bool                // listening sockets are opened here and inherited by successive processes

	mu      sync.Mutex
	events  []Event
	changed chan struct{} // closed and replaced at each event
	spans   []span        // times in which front ends were down or not reachable by all
	up      []bool        // by front end: whether it belongs in the views
	failed  error         // errors of replacements
}

// span is a period in which a front end was impaired.
type span struct {
	who              int       // number of the impaired front end, from 0
	from, to         time.Time // zero to: until the end of the run
	down             bool      // its process did not run
	disconnected     bool      // its clients may have lost their connections
	idleDisconnected bool      // only idle client connections may have been lost: accepted requests are answered
	unreachable      []int     // front ends with which it had no two-way contact
}

// limitKey identifies a resource limit of a front end.
type limitKey struct{ who, resource int }

// Run runs the schedule. It returns an error if the run could not be carried out; violated invariants are in Result.Broken.
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
	defer t.closeProxies()
	if err := t.prepare(r); err != nil {
		return nil, err
	}
	defer func() { // stops the processes after errors too
		for _, end := range t.starving {
			end()
		}
		for _, p := range t.frontEnds {
			p.kill()
		}
	}()
	if err := t.forEachFrontEnd(func(p *frontEnd) error { return t.start(p.n) }); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := t.await(ctx, 30*time.Second, t.viewsAgree); err != nil {
		return nil, fmt.Errorf("the front ends did not agree on one membership view; see their logs: %w", err)
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
	err = t.runSchedule(ctx)
	t.replacements.Wait()
	t.recordCosts(res, costs, t.costs())
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
	if err := t.await(ctx, settleTimeout, t.viewsAgree); err != nil {
		res.Broken = append(res.Broken, "views: "+t.views())
	}
	var records []load.Record
	for _, s := range sources {
		records = append(records, s.Records()...)
	}
	t.check(res, records, ledger.Runs())
}

// closeProxies closes all proxies to, from and between the front ends.
func (t *cluster) closeProxies() {
	for i := range t.proxies {
		t.proxies[i].close()
	}
	if t.mesh != nil {
		t.mesh.close()
	}
}

// openSources opens a source of requests for each front end, which connects through the front end's proxy. With an error, it
// also returns the sources opened before.
func (t *cluster) openSources() (sources []*load.Source, err error) {
	for _, p := range t.frontEnds {
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

// costs returns the resource use of all processes so far. The entry of a process that has ended is zero.
func (t *cluster) costs() (all []cost) {
	for _, p := range t.frontEnds {
		c, err := p.cost()
		if err != nil { // it has ended
			c = cost{}
		}
		all = append(all, c)
	}
	return all
}

// recordCosts records the mean resource use between two samples, over the processes that ran at both.
func (t *cluster) recordCosts(res *Result, before, after []cost) {
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

// settleTimeout is how long views may differ after the end of the schedule.
const settleTimeout = 15 * time.Second

// prepare creates the mesh and the proxies and writes the configuration files of all front ends.
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
	t.sharedSockets = slices.ContainsFunc(t.opts.Faults, func(f Fault) bool { return f.Do == Replace || f.Do == ReplaceOld || f.Do == ReplaceNew })
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
			peers = append(peers, t.mesh.addressSeenBy(i, j))
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
		f := &frontEnd{n: i, program: t.opts.Program, dir: dir, notMember: t.opts.Alone, addr: addr, log: t.opts.Log, onEvent: t.record}
		t.frontEnds = append(t.frontEnds, f)
		if t.sharedSockets {
			if err := f.openSocket(); err != nil {
				return err
			}
		}
	}
	return nil
}

// useProxies replaces the addresses of the event bus and of the engines in a front end's configuration with those of
// proxies of its own.
func (t *cluster) useProxies(i int, file map[string]any, r *harness.Harness) (err error) {
	w := &t.proxies[i]
	if file["bus"], err = w.open(Bus, file["bus"].(string), t.opts.Seed); err != nil {
		return err
	}
	proxyOf := map[string]string{} // by engine address
	for _, m := range r.Lines.Members() {
		if proxyOf[m.Addr.String()], err = w.open(Engines, m.Addr.String(), t.opts.Seed); err != nil {
			return err
		}
	}
	for _, b := range file["known"].(map[string]any)["batch"].([]any) {
		for _, e := range b.(map[string]any)["topology"].(map[string]any)["targets"].([]any) {
			target := e.(map[string]any)
			target["endpoint"] = proxyOf[target["endpoint"].(string)]
		}
	}
	return nil
}

// forEachFrontEnd calls f for all front ends at the same time and waits for the calls to return.
func (t *cluster) forEachFrontEnd(f func(*frontEnd) error) error {
	errs := make([]error, len(t.frontEnds))
	var all sync.WaitGroup
	for i, p := range t.frontEnds {
		all.Go(func() { errs[i] = f(p) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// record appends a logged event and wakes the callers of await.
func (t *cluster) record(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
	close(t.changed)
	t.changed = make(chan struct{})
}

// await waits until the condition holds, evaluating it at each event. The condition is called with the lock held.
func (t *cluster) await(ctx context.Context, timeout time.Duration, condition func() bool) error {
	expired := time.After(timeout)
	for {
		t.mu.Lock()
		changed, ok := t.changed, condition()
		t.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return fmt.Errorf("the condition did not hold within %v", timeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// latest returns the digest and the size of the latest view of each running front end. The caller must hold the lock.
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

// viewsAgree reports whether all running front ends have the same view, of exactly as many members as are running. The
// caller must hold the lock.
func (t *cluster) viewsAgree() bool {
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

// views describes the latest view of each running front end.
func (t *cluster) views() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest, size := t.latest()
	var all []string
	for i, is := range t.up {
		if is {
			all = append(all, fmt.Sprintf("front end %d has %d members (digest %s)", i, size[i], digest[i]))
		}
	}
	return strings.Join(all, ", ")
}

// start starts a front end and waits until it serves.
func (t *cluster) start(n int) error {
	t.mu.Lock()
	t.up[n] = true
	t.mu.Unlock()
	return t.frontEnds[n].start()
}

// runSchedule begins and ends the scheduled faults at their times, and returns at the end of the span.
func (t *cluster) runSchedule(ctx context.Context) error {
	type step struct {
		at time.Duration
		do func() error
	}
	var steps []step
	for _, f := range t.opts.Faults {
		steps = append(steps, step{f.At, func() error { return t.applyFault(f, faultBegins) }})
		if f.For > 0 {
			steps = append(steps, step{f.At + f.For, func() error { return t.applyFault(f, faultEnds) }})
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
