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
	"strings"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"

	"golang.org/x/sys/unix"
)

// Options say what to play.
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

// Fault is what happens to front ends, or to the ways from some to others, at a time.
type Fault struct {
	At    time.Duration
	For   time.Duration // pauses and changes of ways last so long; 0: to the end
	Do    Do
	Who   []int // front ends from 0
	To    []int // of ways: to these; nil: to all others
	Back  bool  // and the way back
	Share float64
	Slow  time.Duration
	Side  Side            // of Link: ways to engines (of the numbers in To, from 0; nil: all), to the bus, or from clients
	Kind  faultproxy.Kind // of Link
}

// Do is a kind of fault.
type Do string

// Kinds of fault.
const (
	Cut     Do = "cut"     // nothing passes
	Lossy   Do = "lossy"   // a share is lost
	Twice   Do = "twice"   // a share comes twice
	Spoil   Do = "spoil"   // of a share a byte is changed
	Slow    Do = "slow"    // datagrams take so much longer, and up to as much again
	Pause   Do = "pause"   // SIGSTOP, and SIGCONT later
	Crash   Do = "crash"   // SIGKILL
	Stop    Do = "stop"    // SIGTERM
	Start   Do = "start"   // what ended starts again
	Restart Do = "restart" // SIGKILL, and a start at once

	Replace    Do = "replace"     // another process takes the place, then SIGTERM to the one before
	ReplaceOld Do = "replace-old" // the same, with SIGKILL: it dies in the middle
	ReplaceNew Do = "replace-new" // the other process dies in the middle, and the one before goes on
	Starve     Do = "starve"      // it stands still for Share of each tenth of a second
	DiskFull   Do = "disk-full"   // nothing more can be written to files (RLIMIT_FSIZE)
	NoFiles    Do = "no-files"    // no descriptor more than it has (RLIMIT_NOFILE)
	Link       Do = "link"        // what Kind says happens to its connections on a Side
)

// Kinds are all kinds of fault.
var Kinds = []Do{Cut, Lossy, Twice, Spoil, Slow, Pause, Crash, Stop, Start, Restart, Replace, ReplaceOld, ReplaceNew, Starve, DiskFull, NoFiles, Link}

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

// tier is what is played.
type tier struct {
	opts  Options
	mesh  *mesh
	procs []*front
	ways  []ways    // of each front end's connections
	began time.Time // when all had found each other

	limits map[limited]uint64 // what was before
	starve map[int]func()     // ends it
	later  sync.WaitGroup     // replacements under way
	held   bool               // processes take each other's place at sockets that are held here

	mu     sync.Mutex
	events []Event
	news   chan struct{} // closed and made anew with each event
	spans  []span        // of front ends that were not there, or not heard by all
	up     []bool
	failed error // of replacements
}

// span is a time in which a front end could not be relied on.
type span struct {
	who      int
	from, to time.Time // zero: to the end
	down     bool      // its process did not run
	broke    bool      // its clients may have lost their connections
	parted   bool      // the same, but only such as were idle: what was taken is answered
	deaf     []int     // with whom it had no whole way, both ways
}

// limited is a resource of a front end.
type limited struct{ who, resource int }

// Run plays it. An error is that it could not be played; broken rules are in the result.
func Run(ctx context.Context, opts Options) (res *Result, err error) {
	t := &tier{
		opts: opts, news: make(chan struct{}), up: make([]bool, opts.Processes), ways: make([]ways, opts.Processes), limits: map[limited]uint64{}, starve: map[int]func(){},
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
	defer func() {
		for i := range t.ways {
			t.ways[i].close()
		}
		if t.mesh != nil {
			t.mesh.close()
		}
	}()
	if err := t.prepare(r); err != nil {
		return nil, err
	}
	defer func() { // by their ids, also where something failed
		for _, end := range t.starve {
			end()
		}
		for _, p := range t.procs {
			p.end()
		}
	}()
	if err := t.each(func(p *front) error { return t.start(p.n) }); err != nil {
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
	var sources []*load.Source
	var all sync.WaitGroup
	for _, p := range t.procs {
		at, err := t.ways[p.n].open(Clients, p.addr, opts.Seed)
		if err != nil {
			return nil, err
		}
		s, err := load.New(load.Options{
			Name: fmt.Sprint(p.n), Connections: 8, Rate: opts.Rate, Loads: 0.1, Reports: 0.1, Churn: 0.1, Within: 4 * time.Second, Seed: opts.Seed + uint64(p.n),
			Dial: func(seed uint64) (load.Client, error) { return load.DialHTTP(at, seed) },
		})
		if err != nil {
			return nil, err
		}
		defer s.Close()
		sources = append(sources, s)
		all.Go(func() { s.Run(loading) })
	}
	costs := t.costs()
	err = t.play(ctx)
	t.later.Wait()
	t.spent(res, costs, t.costs())
	err = errors.Join(err, t.failed)
	stop()
	all.Wait()
	if err != nil {
		return nil, err
	}
	if err := t.await(ctx, settleMost, t.settled); err != nil {
		res.Broken = append(res.Broken, "views: "+t.views())
	}
	var records []load.Record
	for _, s := range sources {
		records = append(records, s.Records()...)
	}
	t.judge(res, records, ledger.Runs())
	return res, nil
}

// costs are what processes have taken so far.
func (t *tier) costs() (all []cost) {
	for _, p := range t.procs {
		c, err := p.cost()
		if err != nil { // it has ended
			c = cost{}
		}
		all = append(all, c)
	}
	return all
}

// spent tells what was taken between two times, by those that ran at both.
func (t *tier) spent(res *Result, before, after []cost) {
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

// settleMost is how long views may differ after the last fault.
const settleMost = 15 * time.Second

// prepare writes the files of all front ends.
func (t *tier) prepare(r *harness.Harness) error {
	raw, err := os.ReadFile(r.Config)
	if err != nil {
		return err
	}
	var real []netip.AddrPort
	for len(real) < t.opts.Processes {
		free, err := harness.UnusedAddress()
		if err != nil {
			return err
		}
		if a := netip.MustParseAddrPort(free); !slices.Contains(real, a) {
			real = append(real, a)
		}
	}
	t.held = slices.ContainsFunc(t.opts.Faults, func(f Fault) bool { return f.Do == Replace || f.Do == ReplaceOld || f.Do == ReplaceNew })
	if t.mesh, err = newMesh(real, t.opts.Seed); err != nil {
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
		file["name"], file["listen"], file["peer_listen"], file["peers"] = fmt.Sprintf("n%d", i), addr, real[i].String(), peers
		settings := file["settings"].(map[string]any)
		settings["balancers"] = t.opts.Processes
		settings["limits"].(map[string]any)["may-tell"] = true
		if err := t.relayed(i, file, r); err != nil {
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
		f := &front{n: i, program: t.opts.Program, dir: dir, alone: t.opts.Alone, addr: addr, log: t.opts.Log, hear: t.hear}
		t.procs = append(t.procs, f)
		if t.held {
			if err := f.hold(); err != nil {
				return err
			}
		}
	}
	return nil
}

// relayed puts relays of a front end's own in place of what its file names.
func (t *tier) relayed(i int, file map[string]any, r *harness.Harness) (err error) {
	w := &t.ways[i]
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

func (t *tier) each(f func(*front) error) error {
	errs := make([]error, len(t.procs))
	var all sync.WaitGroup
	for i, p := range t.procs {
		all.Go(func() { errs[i] = f(p) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (t *tier) hear(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
	close(t.news)
	t.news = make(chan struct{})
}

// await waits until something is so, looking at each event.
func (t *tier) await(ctx context.Context, most time.Duration, so func() bool) error {
	late := time.After(most)
	for {
		t.mu.Lock()
		news, ok := t.news, so()
		t.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-news:
		case <-late:
			return fmt.Errorf("not within %v", most)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// latest are the views that the front ends that are up have: the digests, and the sizes. The caller holds the lock.
func (t *tier) latest() (digest map[int]string, size map[int]int) {
	digest, size = map[int]string{}, map[int]int{}
	for _, e := range t.events {
		switch {
		case started(e):
			delete(digest, e.From)
		case e.Name == "members.view" && t.up[e.From]:
			n, _ := e.Fields["size"].(float64)
			digest[e.From], size[e.From] = fmt.Sprint(e.Fields["digest"]), int(n)
		}
	}
	return digest, size
}

// settled tells whether all that are up have the view of just these. The caller holds the lock.
func (t *tier) settled() bool {
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

// views words the views that differ.
func (t *tier) views() string {
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

func (t *tier) start(n int) error {
	t.mu.Lock()
	t.up[n] = true
	t.mu.Unlock()
	return t.procs[n].start()
}

// play does what the schedule says.
func (t *tier) play(ctx context.Context) error {
	type step struct {
		at time.Duration
		do func() error
	}
	var steps []step
	for _, f := range t.opts.Faults {
		steps = append(steps, step{f.At, func() error { return t.do(f, true) }})
		if f.For > 0 {
			steps = append(steps, step{f.At + f.For, func() error { return t.do(f, false) }})
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

// do begins or ends a fault.
func (t *tier) do(f Fault, begin bool) error {
	to := f.To
	if to == nil {
		for i := range t.procs {
			if !slices.Contains(f.Who, i) {
				to = append(to, i)
			}
		}
	}
	ways := func(change func(*way)) {
		t.mesh.change(f.Who, to, change)
		if f.Back {
			t.mesh.change(to, f.Who, change)
		}
	}
	share, slow := f.Share, f.Slow
	if !begin {
		share, slow = 0, 0
	}
	switch f.Do {
	case Cut:
		ways(func(w *way) { w.cut = begin })
		t.note(f, to, begin)
	case Lossy:
		ways(func(w *way) { w.loss = share })
	case Twice:
		ways(func(w *way) { w.twice = share })
	case Spoil:
		ways(func(w *way) { w.spoil = share })
	case Slow:
		ways(func(w *way) { w.slow = slow })
	case Pause:
		for _, n := range f.Who {
			if begin {
				t.down(n, true)
				t.procs[n].signal(syscall.SIGSTOP, false)
			} else {
				t.procs[n].signal(syscall.SIGCONT, false)
				t.back(n)
			}
		}
	case Crash, Stop, Restart, Start:
		for _, n := range f.Who { // what replaces one there is over first
			t.procs[n].turn.Lock()
			defer t.procs[n].turn.Unlock()
		}
		if f.Do != Start {
			if err := t.kill(f); err != nil {
				return err
			}
		}
		if f.Do == Restart || f.Do == Start {
			return t.again(f.Who)
		}
	case Replace, ReplaceOld, ReplaceNew:
		for _, n := range f.Who {
			t.later.Go(func() { t.replace(n, f.Do) })
		}
	case Link:
		for _, n := range f.Who {
			if !begin {
				continue // it ends by itself
			}
			t.ways[n].do(f.Side, f.To, f.Kind, f.For)
			if f.Side == Clients {
				t.broke(n, f.For, false)
			}
		}
	default:
		return t.strain(f, begin)
	}
	return nil
}

// replace has another process take the place of a front end's, while all else goes on.
func (t *tier) replace(n int, how Do) {
	s := syscall.SIGTERM
	if how == ReplaceOld {
		s = syscall.SIGKILL
	}
	if how != ReplaceNew { // there the process that serves goes on, with all its clients
		t.broke(n, startMost, how == Replace)
	}
	if err := t.procs[n].replace(s, how == ReplaceNew); err != nil {
		t.mu.Lock()
		t.failed = errors.Join(t.failed, fmt.Errorf("%s: %w", how, err))
		t.mu.Unlock()
	}
}

// broke notes that connections of a front end's clients may end, or only idle ones.
func (t *tier) broke(n int, most time.Duration, idle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.spans = append(t.spans, span{who: n, from: now, to: now.Add(most), broke: !idle, parted: idle})
}

// strainEvery is how often a process that is starved of time stands still.
const strainEvery = 100 * time.Millisecond

// strain takes from a process what it needs of the machine, or gives it back.
func (t *tier) strain(f Fault, begin bool) error {
	for _, n := range f.Who {
		p := t.procs[n]
		var err error
		switch f.Do {
		case Starve:
			if end := t.starve[n]; end != nil {
				end()
				delete(t.starve, n)
			}
			if begin {
				t.starve[n] = p.starve(time.Duration(f.Share * float64(strainEvery)))
			}
		case DiskFull:
			err = t.limit(n, unix.RLIMIT_FSIZE, 0, begin)
		case NoFiles:
			var open uint64
			if open, err = p.open(); err == nil {
				err = t.limit(n, unix.RLIMIT_NOFILE, open, begin)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *tier) limit(n, resource int, cur uint64, begin bool) error {
	key := limited{n, resource}
	if !begin {
		cur = t.limits[key]
	}
	was, err := t.procs[n].limit(resource, cur)
	if err == nil && begin {
		t.limits[key] = was
	}
	return err
}

// kill ends processes.
func (t *tier) kill(f Fault) error {
	for _, n := range f.Who {
		s := syscall.SIGKILL
		if f.Do == Stop {
			s = syscall.SIGTERM
		}
		t.down(n, f.Do == Restart)
		t.procs[n].signal(s, true)
	}
	for _, n := range f.Who {
		if err := t.procs[n].wait(); err != nil {
			return err
		}
		if f.Do != Restart { // with its machine: clients that connect are refused, and do not wait for nobody
			t.procs[n].drop()
		}
	}
	return nil
}

func (t *tier) again(who []int) error {
	errs := make([]error, len(who))
	var all sync.WaitGroup
	for i, n := range who {
		all.Go(func() {
			if t.held && t.procs[n].socket == nil {
				errs[i] = t.procs[n].hold()
			}
			errs[i] = errors.Join(errs[i], t.start(n))
			t.back(n)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// down notes that a process does not run from now on; counts tells that it is still one of those who serve.
func (t *tier) down(n int, counts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up[n] = counts
	t.spans = append(t.spans, span{who: n, from: time.Now(), down: true})
}

func (t *tier) back(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.spans {
		if s := &t.spans[i]; s.who == n && s.down && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// note notes between whom nothing passes in one direction at least.
func (t *tier) note(f Fault, to []int, begin bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add := func(n int, others []int) {
		if begin {
			t.spans = append(t.spans, span{who: n, from: time.Now(), deaf: others})
			return
		}
		for i := range t.spans {
			if s := &t.spans[i]; s.who == n && !s.down && s.to.IsZero() && slices.Equal(s.deaf, others) {
				s.to = time.Now()
			}
		}
	}
	for _, n := range f.Who {
		add(n, to)
	}
	for _, n := range to {
		add(n, f.Who)
	}
}
