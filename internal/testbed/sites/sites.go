// Package sites sets up two sites on loopback, each a gateway with engines of its own, and a
// link between them that does what long lines do, and judges what clients and engines saw
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

// Names of the two sites. The first one's gateway dials the other's.
var Names = [2]string{"lalitpur", "pokhara"}

// window is how long engines drop repeats of a key, as the settings say.
const window = 12 * time.Second

// Kinds of event beside those of engines (emul.Fleet.Do) and of links (link.Kind).
const (
	GatewayDies = "gateway-dies" // by force; another starts in its place half a second later
	Upgrade     = "upgrade"      // a new version takes over at a gateway
	SiteDrain   = "site-drain"   // a gateway says that it takes nothing of other sites
	SiteBack    = "site-undrain"
	Busy        = "busy" // arrivals at a site are Factor times the usual from now on
)

// Known tells whether there is a kind of event of this name.
func Known(do string) bool {
	return emulator.Known(do) || slices.Contains([]string{GatewayDies, Upgrade, SiteDrain, SiteBack, Busy,
		string(faultproxy.Silence), string(faultproxy.HeldRequests), string(faultproxy.DroppedReplies), string(faultproxy.Cut), string(faultproxy.Reset)}, do)
}

// Event is something that happens.
type Event struct {
	At     time.Duration
	Do     string
	Site   int           // 0 or 1
	Engine int           // from 1
	For    time.Duration // of a link's fault
	Factor float64       // of Busy
}

// Options say what to play.
type Options struct {
	Front       string // rest or postgres
	Root        string // the repository
	Dir         string // for files
	Program     string // ringwood
	Together    bool   // the sites are linked
	Engines     int    // of a site
	Engine      enginemodel.Config
	Rate        float64 // arrivals a second at each site
	Loads       float64
	Reports     float64
	Writes      float64
	Connections int // of clients, to each gateway
	Link        faultproxy.Options
	Settings    map[string]string // lines of the file of sites that are others than deploy/sites.toml's
	Events      []Event
	Warm        time.Duration // at the start, which does not count
	Span        time.Duration
	Seed        uint64
	Log         io.Writer
}

// Result is what was seen.
type Result struct {
	Records  [2][]load.Record
	Runs     []emulator.Run
	Faults   []load.Fault
	Service  float64 // worth answered in time over worth asked
	Worst    float64 // of all spans of 10 s
	Requests int
	Counters map[string]int64 // of both gateways, as they were last asked
	Took     []float64        // of what was served, ms
}

// place is one site.
type place struct {
	n       int
	rig     *harness.Harness
	addr    string
	sites   string // where it listens for the other
	admin   string
	args    []string
	gateway *harness.Gateway
	source  *load.Source
	more    []*load.Source // while it is busy
	killed  bool
}

// Both are two sites that were set up.
type Both struct {
	opts   Options
	ledger *emulator.Ledger
	ca     *testca.Authority
	places [2]*place
	link   *faultproxy.Link
	dialed atomic.Uint64 // clients, of all sources: their requests' ids must differ
}

// Open sets two sites up, and returns once they serve and, if they are together, know each other.
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
	for i := range b.places {
		p := &place{n: i, admin: filepath.Join(opts.Dir, fmt.Sprintf("admin-%d", i))}
		b.places[i] = p
		dir := filepath.Join(opts.Dir, Names[i])
		if err = os.Mkdir(dir, 0o700); err != nil {
			return b, err
		}
		if p.addr, err = harness.UnusedAddress(); err != nil {
			return b, err
		}
		if p.sites, err = harness.UnusedAddress(); err != nil {
			return b, err
		}
		if p.rig, err = harness.New(harness.Options{
			Root: opts.Root, Dir: dir, Engines: opts.Engines, HTTP: p.addr, Postgres: p.addr, User: "ringwood", Clients: opts.Connections + 200, Name: Names[i] + "/",
			Ledger: b.ledger, QueryFor: workcost.Query, Machine: func(int) *emulator.Machine { return emulator.NewMachine(opts.Engine) }, Log: slog.New(slog.DiscardHandler),
		}); err != nil {
			return b, err
		}
		if _, err = b.ca.Issue(opts.Dir, Names[i], Names[i], Names[i]+"-1", testca.DefaultExpiry()); err != nil {
			return b, err
		}
	}
	if b.link, err = faultproxy.Listen(b.places[1].sites, opts.Link); err != nil {
		return b, err
	}
	for _, p := range b.places {
		if err = b.write(p); err != nil {
			return b, err
		}
		if p.gateway, err = harness.Start(opts.Program, opts.Log, p.args...); err != nil {
			return b, err
		}
	}
	for _, p := range b.places {
		if err = harness.WaitListening(ctx, p.addr); err != nil {
			return b, err
		}
	}
	if opts.Together {
		err = b.linked(ctx)
	}
	return b, err
}

// write writes a gateway's files.
func (b *Both) write(p *place) error {
	var text strings.Builder
	for _, line := range []string{
		fmt.Sprintf("site = %q", Names[p.n]), fmt.Sprintf("gateway = %q", Names[p.n]+"-1"), fmt.Sprintf("listen = %q", p.sites), "keys_shared = true",
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
		addr := b.places[0].sites
		if p.n == 0 {
			addr = b.link.Addr()
		}
		fmt.Fprintf(&text, "[[peer]]\nsite = %q\ngateway = %q\naddress = %q\n", Names[1-p.n], Names[1-p.n]+"-1", addr)
	}
	fmt.Fprintf(&text, "[keys]\ncertificate = %q\nkey = %q\nauthority = \"authority.pem\"\nrevoked = \"revoked.pem\"\n", Names[p.n]+".pem", Names[p.n]+".key")
	sites := filepath.Join(b.opts.Dir, fmt.Sprintf("sites-%d.toml", p.n))
	upgrade := filepath.Join(b.opts.Dir, fmt.Sprintf("upgrade-%d.toml", p.n))
	return errors.Join(
		os.WriteFile(sites, []byte(text.String()), 0o600),
		os.WriteFile(upgrade, fmt.Appendf(nil, "admin = %q\nprove_for_s = 0.6\nprove_within_s = 2\n", p.admin), 0o600),
		p.command(b.opts.Front, sites, upgrade))
}

func (p *place) command(front, sites, upgrade string) error {
	switch front {
	case "postgres":
		p.args = []string{"serve", "--postgres", p.rig.Deploy}
	case "rest":
		p.args = []string{"serve", "--config", p.rig.Config}
	default:
		return fmt.Errorf("there is no front %q", front)
	}
	p.args = append(p.args, "--sites", sites, "--upgrade", upgrade)
	return nil
}

// Overview is how a gateway sees the sites.
func (b *Both) Overview(ctx context.Context, site int) (o forwarding.Overview, err error) {
	last, err := admin.Call(ctx, b.places[site].admin, admin.Request{Command: admin.CommandSiteStatus}, func(admin.Reply) {})
	if err != nil {
		return o, err
	}
	return o, json.Unmarshal(last.Sites, &o)
}

// linked waits until each gateway has heard of the other.
func (b *Both) linked(ctx context.Context) error {
	for i := range b.places {
		for {
			o, err := b.Overview(ctx, i)
			if err == nil && len(o.Peers) > 0 && o.Peers[0].State != "silent" {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("%s never heard of the other site", Names[i]), err, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close ends both sites.
func (b *Both) Close() {
	for _, p := range b.places {
		if p != nil && p.gateway != nil {
			b.stop(p)
		}
	}
	if b.link != nil {
		b.link.Close()
	}
	for _, p := range b.places {
		if p != nil && p.rig != nil {
			p.rig.Close()
		}
	}
}

// stop ends whichever process serves at a place.
func (b *Both) stop(p *place) {
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

// dial connects a client to a site.
func (b *Both) dial(site int) func(seed uint64) (load.Client, error) {
	return func(uint64) (load.Client, error) {
		if b.opts.Front == "rest" {
			return load.DialHTTP(b.places[site].addr, b.dialed.Add(1))
		}
		return load.DialPostgres(b.places[site].addr)
	}
}

// source is traffic to a site.
func (b *Both) sourceAt(site int, name string, rate float64, seed uint64) (*load.Source, error) {
	o := load.Options{
		Name: name, Dial: b.dial(site), Connections: b.opts.Connections, Rate: rate, Loads: b.opts.Loads, Reports: b.opts.Reports, Writes: b.opts.Writes,
		Within: 20 * time.Second, Retries: 2, Elsewhere: b.dial(1 - site), Seed: seed,
	}
	if b.opts.Front == "rest" {
		o.Reports, o.Writes = 0, 0 // the example's settings have neither
	}
	return load.New(o)
}

// Play plays two sites.
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
	for i, p := range b.places {
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
		if err := b.do(ctx, e, traffic, &running); err != nil {
			return nil, err
		}
	}
	if err := harness.Sleep(ctx, time.Until(begin.Add(opts.Span))); err != nil {
		return nil, err
	}
	stop()
	running.Wait()
	return b.judge(ctx, begin), nil
}

// do has an event happen.
func (b *Both) do(ctx context.Context, e Event, traffic context.Context, running *sync.WaitGroup) error {
	p := b.places[e.Site]
	switch {
	case emulator.Known(e.Do):
		return p.rig.Apply(e.Do, e.Engine)
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
		for _, s := range append([]*load.Source{p.source}, p.more...) { // clients see at once that their connections have ended
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
			case !strings.Contains(last.Problem, "is not through"): // else the one before answers what it had taken still
				return fmt.Errorf("the upgrade ended with %q", last.Problem)
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
			for _, s := range p.more {
				s.Stop()
			}
			return nil
		}
		s, err := b.sourceAt(e.Site, fmt.Sprintf("%d%d", e.Site+1, 5+len(p.more)), b.opts.Rate*(e.Factor-1), b.opts.Seed*2+uint64(e.Site)+1000)
		if err != nil {
			return err
		}
		p.more = append(p.more, s)
		running.Go(func() { s.Run(traffic) })
		return nil
	}
	b.link.Add(faultproxy.Fault{Kind: faultproxy.Kind(e.Do), For: e.For})
	return nil
}

// judge joins what clients were told with what engines did.
func (b *Both) judge(ctx context.Context, begin time.Time) *Result {
	res := &Result{Runs: b.ledger.Runs(), Counters: map[string]int64{}}
	spans := make([][2]float64, int(b.opts.Span.Seconds())+1)
	var all []load.Record
	var asked, got float64
	for i, p := range b.places {
		res.Records[i] = p.source.Records()
		for _, s := range p.more {
			res.Records[i] = append(res.Records[i], s.Records()...)
		}
		for _, r := range res.Records[i] {
			if p.killed && (r.Verdict == load.Reset || r.Verdict == load.Unreachable) { // a gateway that dies takes its connections along
				r.Verdict = load.Ambiguous
			}
			all = append(all, r)
			at := r.Due.Sub(begin)
			if at < 0 || at >= b.opts.Span {
				continue
			}
			res.Requests++
			span := &spans[int(at/time.Second)]
			worth := workcost.ClassOf(r.Mark).Value
			span[1] += worth
			asked += worth
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
	for i, p := range b.places {
		var mine []emulator.Run
		for _, r := range res.Runs {
			if id, ok := strings.CutPrefix(r.Engine, Names[i]+"/"); ok {
				r.Engine = id
				mine = append(mine, r)
			}
		}
		fleet := p.rig.Postgres
		if b.opts.Front == "rest" {
			fleet = p.rig.Lines
		}
		res.Faults = append(res.Faults, load.CheckDrains(mine, fleet.History())...)
		if st, err := admin.FetchStatus(ctx, p.admin); err == nil {
			for name, n := range st.Counters {
				res.Counters[name] += n
			}
		}
	}
	return res
}
