// Package sites sets up two sites on loopback, each a gateway with its own engines, and a link
// between them with the faults of a wide-area network. It checks what clients and engines see
// while engines, gateways and the link fail.
package sites

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/testca"
	"gannetspur/internal/testbed/workcost"
)

// Names holds the names of the two sites. The gateway of the first site dials that of the second.
var Names = [2]string{"lalitpur", "pokhara"}

// window is how long engines drop requests with a repeated idempotency key, as in the settings.
const window = 12 * time.Second

// Kinds of event besides those of engines (emulator.Fleet.Apply) and of links (faultproxy.Kind).
const (
	GatewayDies = "gateway-dies" // SIGKILL; a new process starts half a second later
	Upgrade     = "upgrade"      // a new version takes over at a gateway
	SiteDrain   = "site-drain"   // a gateway stops accepting requests from other sites
	SiteBack    = "site-undrain" // it accepts them again
	Busy        = "busy"         // the arrival rate at a site is Factor times the usual one from now on
)

// Known reports whether an event of this kind exists.
func Known(do string) bool {
	return emulator.Known(do) || slices.Contains([]string{GatewayDies, Upgrade, SiteDrain, SiteBack, Busy,
		string(faultproxy.Silence), string(faultproxy.HeldRequests), string(faultproxy.DroppedReplies), string(faultproxy.Cut), string(faultproxy.Reset)}, do)
}

// Event is one scheduled event.
type Event struct {
	At     time.Duration // since the end of the warm-up
	Do     string        // kind; see Known
	Site   int           // 0 or 1; ignored by link faults
	Engine int           // number of the engine, from 1
	For    time.Duration // duration of a link fault
	Factor float64       // of Busy: multiple of the usual arrival rate; at most 1 ends the extra load
}

// Options configure a run.
type Options struct {
	Front       string             // frontend: rest or postgres
	Root        string             // root of the repository
	Dir         string             // directory for the written files
	Program     string             // path of the gateway program
	Together    bool               // the sites are linked
	Engines     int                // number of engines at each site
	Engine      enginemodel.Config // resources of each engine
	Rate        float64            // arrivals per second at each site
	Loads       float64            // fraction of requests that are loads, 0 to 1
	Reports     float64            // fraction of requests that are reports; rest: always 0
	Writes      float64            // fraction of requests that are writes; rest: always 0
	Connections int                // client connections to each gateway
	Link        faultproxy.Options
	Settings    map[string]string // lines of the sites file that differ from deploy/sites.toml, value by name
	Events      []Event
	Warm        time.Duration // warm-up, which is not measured
	Span        time.Duration // measured time after the warm-up
	Seed        uint64
	Log         io.Writer
}

// Result holds the observations of a run.
type Result struct {
	Records  [2][]load.Record
	Runs     []emulator.Run
	Faults   []load.Fault
	Service  float64 // value of timely answers, as a fraction of the value of all requests
	Worst    float64 // the lowest such fraction in any span of 10 s
	Requests int
	Counters map[string]int64 // final counters, summed over both gateways
	Took     []float64        // latencies of served requests, ms
}

// siteState holds the emulated systems, the gateway and the traffic of one site.
type siteState struct {
	index        int // 0 or 1
	harness      *harness.Harness
	addr         string           // address that clients connect to
	peerAddr     string           // listen address for the other site
	admin        string           // path of the gateway's admin socket
	args         []string         // command line after the program
	gateway      *harness.Gateway // process started last by this package; upgrades start its successors
	source       *load.Source     // the usual traffic
	extraSources []*load.Source   // additional traffic of Busy events
	killed       bool             // a GatewayDies event happened
}

// Both holds the two sites that Open set up.
type Both struct {
	opts   Options
	ledger *emulator.Ledger
	ca     *testca.Authority
	sites  [2]*siteState
	link   *faultproxy.Link
	dialed atomic.Uint64 // number of clients of all sources: it seeds distinct request ids
}

// Open sets up two sites. It returns once both serve and, with Options.Together, their gateways are
// connected.
func Open(ctx context.Context, opts Options) (b *Both, err error) {
	b = &Both{opts: opts, ledger: emulator.NewLedger(window)}
	defer func() {
		if err != nil {
			b.Close()
		}
	}()
	if b.ca, err = testca.New("sites"); err != nil {
		return b, err
	}
	if err = b.ca.WriteFiles(opts.Dir); err != nil {
		return b, err
	}
	for i := range b.sites {
		p := &siteState{index: i, admin: filepath.Join(opts.Dir, fmt.Sprintf("admin-%d", i))}
		b.sites[i] = p
		dir := filepath.Join(opts.Dir, Names[i])
		if err = os.Mkdir(dir, 0o700); err != nil {
			return b, err
		}
		if p.addr, err = harness.UnusedAddress(); err != nil {
			return b, err
		}
		if p.peerAddr, err = harness.UnusedAddress(); err != nil {
			return b, err
		}
		if p.harness, err = harness.New(harness.Options{
			Root: opts.Root, Dir: dir, Engines: opts.Engines, HTTP: p.addr, Postgres: p.addr, User: "ringwood", Clients: opts.Connections + 200, Name: Names[i] + "/",
			Ledger: b.ledger, QueryFor: workcost.Query, Machine: func(int) *emulator.Machine { return emulator.NewMachine(opts.Engine) }, Log: slog.New(slog.DiscardHandler),
		}); err != nil {
			return b, err
		}
		if _, err = b.ca.Issue(opts.Dir, Names[i], Names[i], Names[i]+"-1", testca.DefaultExpiry()); err != nil {
			return b, err
		}
	}
	if b.link, err = faultproxy.Listen(b.sites[1].peerAddr, opts.Link); err != nil {
		return b, err
	}
	for _, p := range b.sites {
		if err = b.writeFiles(p); err != nil {
			return b, err
		}
		if p.gateway, err = harness.Start(opts.Program, opts.Log, p.args...); err != nil {
			return b, err
		}
	}
	for _, p := range b.sites {
		if err = harness.WaitListening(ctx, p.addr); err != nil {
			return b, err
		}
	}
	if opts.Together {
		err = b.waitLinked(ctx)
	}
	return b, err
}

// writeFiles writes the sites file and the upgrade settings of a gateway, and sets its arguments.
func (b *Both) writeFiles(p *siteState) error {
	var text strings.Builder
	for _, line := range []string{
		fmt.Sprintf("site = %q", Names[p.index]), fmt.Sprintf("gateway = %q", Names[p.index]+"-1"), fmt.Sprintf("listen = %q", p.peerAddr), "keys_shared = true",
	} {
		text.WriteString(line + "\n")
	}
	names := make([]string, 0, len(b.opts.Settings))
	for name := range b.opts.Settings {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&text, "%s = %s\n", name, b.opts.Settings[name])
	}
	if b.opts.Together {
		addr := b.sites[0].peerAddr
		if p.index == 0 {
			addr = b.link.Addr()
		}
		fmt.Fprintf(&text, "[[peer]]\nsite = %q\ngateway = %q\naddress = %q\n", Names[1-p.index], Names[1-p.index]+"-1", addr)
	}
	fmt.Fprintf(&text, "[keys]\ncertificate = %q\nkey = %q\nauthority = \"authority.pem\"\nrevoked = \"revoked.pem\"\n", Names[p.index]+".pem", Names[p.index]+".key")
	sites := filepath.Join(b.opts.Dir, fmt.Sprintf("sites-%d.toml", p.index))
	upgrade := filepath.Join(b.opts.Dir, fmt.Sprintf("upgrade-%d.toml", p.index))
	return errors.Join(
		os.WriteFile(sites, []byte(text.String()), 0o600),
		os.WriteFile(upgrade, fmt.Appendf(nil, "admin = %q\nprove_for_s = 0.6\nprove_within_s = 2\n", p.admin), 0o600),
		p.setArguments(b.opts.Front, sites, upgrade))
}

// setArguments sets the command line of the site's gateway.
func (p *siteState) setArguments(front, sites, upgrade string) error {
	switch front {
	case "postgres":
		p.args = []string{"serve", "--postgres", p.harness.Deploy}
	case "rest":
		p.args = []string{"serve", "--config", p.harness.Config}
	default:
		return fmt.Errorf("unknown frontend %q; use \"rest\" or \"postgres\"", front)
	}
	p.args = append(p.args, "--sites", sites, "--upgrade", upgrade)
	return nil
}

// Overview returns the state of the sites as the gateway of one site reports it.
func (b *Both) Overview(ctx context.Context, site int) (o forwarding.Overview, err error) {
	last, err := admin.Call(ctx, b.sites[site].admin, admin.Request{Command: admin.CommandSiteStatus}, func(admin.Reply) {})
	if err != nil {
		return o, err
	}
	return o, json.Unmarshal(last.Sites, &o)
}

// waitLinked waits until each gateway has received a message from the other.
func (b *Both) waitLinked(ctx context.Context) error {
	for i := range b.sites {
		for {
			o, err := b.Overview(ctx, i)
			if err == nil && len(o.Peers) > 0 && o.Peers[0].State != "silent" {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("the gateway of site %s got no message from the other site; see the gateways' log", Names[i]), err, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops both sites.
func (b *Both) Close() {
	for _, p := range b.sites {
		if p != nil && p.gateway != nil {
			b.stop(p)
		}
	}
	if b.link != nil {
		b.link.Close()
	}
	for _, p := range b.sites {
		if p != nil && p.harness != nil {
			p.harness.Close()
		}
	}
}

// stop ends the serving process of a site, and its first process.
func (b *Both) stop(p *siteState) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if st, err := admin.FetchStatus(ctx, p.admin); err == nil && st.PID != p.gateway.Process.Pid { // a new version has taken over
		_ = syscall.Kill(st.PID, syscall.SIGTERM)
		for syscall.Kill(st.PID, 0) == nil && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
	p.gateway.Stop()
}

// dial returns a function that connects a client to a site.
func (b *Both) dial(site int) func(seed uint64) (load.Client, error) {
	return func(uint64) (load.Client, error) {
		if b.opts.Front == "rest" {
			return load.DialHTTP(b.sites[site].addr, b.dialed.Add(1))
		}
		return load.DialPostgres(b.sites[site].addr)
	}
}

// sourceAt returns a source of requests to a site.
func (b *Both) sourceAt(site int, name string, rate float64, seed uint64) (*load.Source, error) {
	o := load.Options{
		Name: name, Dial: b.dial(site), Connections: b.opts.Connections, Rate: rate, Loads: b.opts.Loads, Reports: b.opts.Reports, Writes: b.opts.Writes,
		Within: 20 * time.Second, Retries: 2, Elsewhere: b.dial(1 - site), Seed: seed,
	}
	if b.opts.Front == "rest" {
		o.Reports, o.Writes = 0, 0 // the example settings have no classes for reports and writes
	}
	return load.New(o)
}

// Play sets up two sites, runs traffic and events, and checks the observations.
func Play(ctx context.Context, opts Options) (res *Result, err error) {
	b, err := Open(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	traffic, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for i, p := range b.sites {
		if p.source, err = b.sourceAt(i, fmt.Sprint(i+1), opts.Rate, opts.Seed*2+uint64(i)); err != nil {
			return nil, err
		}
		defer p.source.Close()
		running.Go(func() { p.source.Run(traffic) })
	}
	begin := time.Now().Add(opts.Warm)
	events := slices.Clone(opts.Events)
	slices.SortStableFunc(events, func(x, y Event) int { return int(x.At - y.At) })
	for _, e := range events {
		if err := harness.Sleep(ctx, time.Until(begin.Add(e.At))); err != nil {
			return nil, err
		}
		if err := b.applyEvent(ctx, e, traffic, &running); err != nil {
			return nil, err
		}
	}
	if err := harness.Sleep(ctx, time.Until(begin.Add(opts.Span))); err != nil {
		return nil, err
	}
	stop()
	running.Wait()
	return b.evaluate(ctx, begin), nil
}

// applyEvent carries out an event.
func (b *Both) applyEvent(ctx context.Context, e Event, traffic context.Context, running *sync.WaitGroup) error {
	p := b.sites[e.Site]
	switch {
	case emulator.Known(e.Do):
		return p.harness.Apply(e.Do, e.Engine)
	case e.Do == GatewayDies:
		p.killed = true
		st, err := admin.FetchStatus(ctx, p.admin)
		if err != nil {
			return err
		}
		_ = syscall.Kill(st.PID, syscall.SIGKILL)
		if st.PID == p.gateway.Process.Pid {
			<-p.gateway.Ended
		}
		time.Sleep(500 * time.Millisecond)
		if p.gateway, err = harness.Start(b.opts.Program, b.opts.Log, p.args...); err != nil {
			return err
		}
		if err := harness.WaitListening(ctx, p.addr); err != nil {
			return err
		}
		for _, s := range append([]*load.Source{p.source}, p.extraSources...) { // lets clients notice the closed connections now
			if err := s.Reconnect(); err != nil {
				return err
			}
		}
		return nil
	case e.Do == Upgrade:
		for {
			last, err := admin.Call(ctx, p.admin, admin.Request{Command: admin.CommandUpgrade}, func(admin.Reply) {})
			switch {
			case err != nil || last.Problem == "":
				return err
			case !strings.Contains(last.Problem, "is not through"): // otherwise the previous upgrade's old process still answers accepted requests: retry
				return fmt.Errorf("want the upgrade to succeed, but it ended with %q; see the gateways' log", last.Problem)
			}
			if err := harness.Sleep(ctx, 200*time.Millisecond); err != nil {
				return err
			}
		}
	case e.Do == SiteDrain || e.Do == SiteBack:
		_, err := admin.Call(ctx, p.admin, admin.Request{Command: e.Do}, func(admin.Reply) {})
		return err
	case e.Do == Busy:
		if e.Factor <= 1 {
			for _, s := range p.extraSources {
				s.Stop()
			}
			return nil
		}
		s, err := b.sourceAt(e.Site, fmt.Sprintf("%d%d", e.Site+1, 5+len(p.extraSources)), b.opts.Rate*(e.Factor-1), b.opts.Seed*2+uint64(e.Site)+1000)
		if err != nil {
			return err
		}
		p.extraSources = append(p.extraSources, s)
		running.Go(func() { s.Run(traffic) })
		return nil
	}
	b.link.Add(faultproxy.Fault{Kind: faultproxy.Kind(e.Do), For: e.For})
	return nil
}

// evaluate evaluates the clients' records together with the engines' executions.
func (b *Both) evaluate(ctx context.Context, begin time.Time) *Result {
	res := &Result{Runs: b.ledger.Runs(), Counters: map[string]int64{}}
	spans := make([][2]float64, int(b.opts.Span.Seconds())+1)
	var all []load.Record
	var asked, got float64
	for i, p := range b.sites {
		res.Records[i] = p.source.Records()
		for _, s := range p.extraSources {
			res.Records[i] = append(res.Records[i], s.Records()...)
		}
		for _, r := range res.Records[i] {
			if p.killed && (r.Verdict == load.Reset || r.Verdict == load.Unreachable) { // a gateway that was killed drops its connections, so whether the request ran is unknown
				r.Verdict = load.Ambiguous
			}
			all = append(all, r)
			at := r.Due.Sub(begin)
			if at < 0 || at >= b.opts.Span {
				continue
			}
			res.Requests++
			span := &spans[int(at/time.Second)]
			maxValue := workcost.ClassOf(r.Mark).Value
			span[1] += maxValue
			asked += maxValue
			if r.Verdict == load.Served {
				v := workcost.Value(r.Mark, r.Latency())
				span[0] += v
				got += v
				res.Took = append(res.Took, float64(r.Latency())/1e6)
			}
		}
	}
	res.Service = got / max(asked, 1e-9)
	res.Worst = workcost.WorstTenSeconds(spans)
	res.Faults = load.Check(all, res.Runs, window)
	for i, p := range b.sites {
		var runs []emulator.Run // executions at this site
		for _, r := range res.Runs {
			if id, ok := strings.CutPrefix(r.Engine, Names[i]+"/"); ok {
				r.Engine = id
				runs = append(runs, r)
			}
		}
		fleet := p.harness.Postgres
		if b.opts.Front == "rest" {
			fleet = p.harness.Lines
		}
		res.Faults = append(res.Faults, load.CheckDrains(runs, fleet.History())...)
		if st, err := admin.FetchStatus(ctx, p.admin); err == nil {
			for name, n := range st.Counters {
				res.Counters[name] += n
			}
		}
	}
	return res
}
