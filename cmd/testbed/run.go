package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/shapes"
	"gannetspur/internal/testbed/traffic"
	"gannetspur/internal/testbed/upgrades"

	"github.com/BurntSushi/toml"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
)

// runCommand runs the experiment that a file describes.
type runCommand struct {
	File    string   `arg:"" help:"Experiment file, for example experiments/upgrade-short.toml." name:"file"`
	Program string   `placeholder:"FILE" help:"Path of the gateway's program; if omitted, it is built from this folder." name:"ringwood"`
	Out     string   `placeholder:"FOLDER" help:"Write table (.md), figures (.csv) and chart (.svg) to this folder, named after the experiment." name:"out"`
	Log     string   `placeholder:"FILE" help:"Write the gateways' log to this file." name:"log"`
	Seed    []uint64 `placeholder:"N" help:"Seeds to use instead of the file's; only for experiments of kind tier and members." name:"seed"`
	Quiet   bool     `help:"Show no progress." name:"quiet"`
}

// upgradeExperiment upgrades a gateway repeatedly, to valid and to faulty successors, while clients send requests.
type upgradeExperiment struct {
	Name          string   `toml:"name"`
	Title         string   `toml:"title"`
	Kind          string   `toml:"kind"`
	Seeds         []uint64 `toml:"seeds"`
	Fronts        []string `toml:"fronts"` // front ends to test: "rest", "postgres"
	Engines       int      `toml:"engines"`
	WorkMS        float64  `toml:"work_ms"`      // time of each statement at an engine, in milliseconds
	Connections   []int    `toml:"connections"`  // numbers of client connections; each is one series
	Rate          float64  `toml:"rate"`         // requests per second
	Loads         float64  `toml:"loads"`        // share of requests that are loads
	Writes        float64  `toml:"writes"`       // share of requests that are other writes
	Churn         float64  `toml:"churn"`        // share of requests after which the client connection is replaced
	Traffic       string   `toml:"traffic"`      // file of recorded traffic (testbed traffic generate) to replay instead of generated requests; "": none
	ValidUpgrades int      `toml:"good"`         // number of upgrades that must succeed
	FaultyKinds   []string `toml:"broken"`       // kinds of faulty upgrades, one upgrade for each entry
	MayReturn     bool     `toml:"may_return"`   // valid upgrades may be rolled back, because engine faults can be mistaken for the new process's
	GapMS         float64  `toml:"gap_ms"`       // time between upgrades, in milliseconds
	ProveForMS    float64  `toml:"prove_for_ms"` // probation of a new process, in milliseconds
	DelayMS       float64  `toml:"delay_ms"`     // one-way delay between gateway and engines, in milliseconds
	JitterMS      float64  `toml:"jitter_ms"`    // jitter added to the delay, in milliseconds
	Events        []struct {
		AtS    float64 `toml:"at_s"`   // seconds from the first upgrade
		Do     string  `toml:"do"`     // kind of event, one that emulator.Known accepts or upgrades.Reconnect
		Engine int     `toml:"engine"` // engine number, from 1; 0: the event concerns no single engine
	} `toml:"event"`
	LinkFaults []struct {
		Kind  faultproxy.Kind `toml:"kind"`
		FromS float64         `toml:"from_s"` // seconds from the start of the links, about 2 s before the first upgrade
		ForS  float64         `toml:"for_s"`  // duration in seconds; 0: until the end
	} `toml:"link_fault"`
}

// link returns the delays and faults between gateway and engines; nil: a direct connection.
func (e *upgradeExperiment) link(seed uint64) *faultproxy.Options {
	if e.DelayMS <= 0 && e.JitterMS <= 0 && len(e.LinkFaults) == 0 {
		return nil
	}
	opts := &faultproxy.Options{Delay: milliseconds(e.DelayMS), Jitter: milliseconds(e.JitterMS), Seed: seed}
	for _, f := range e.LinkFaults {
		opts.Faults = append(opts.Faults, faultproxy.Fault{Kind: f.Kind, From: milliseconds(1000 * f.FromS), For: milliseconds(1000 * f.ForS)})
	}
	return opts
}

// recorded returns the recorded traffic to replay; nil: none.
func (e *upgradeExperiment) recorded() ([]traffic.Record, error) {
	if e.Traffic == "" {
		return nil, nil
	}
	f, err := os.Open(e.Traffic)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	all, _, err := shapes.Records(bufio.NewReader(f))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.Traffic, err)
	}
	return all, nil
}

// events returns the engine events of the experiment.
func (e *upgradeExperiment) events() (all []upgrades.Event) {
	for _, ev := range e.Events {
		all = append(all, upgrades.Event{At: seconds(ev.AtS), Do: ev.Do, Engine: ev.Engine})
	}
	return all
}

// requireFunc records an error in an experiment file unless ok is true.
type requireFunc func(ok bool, format string, args ...any)

// readFile decodes an experiment file into e and checks it. The error names every problem in the file.
func readFile(path string, e any, check func(require requireFunc)) error {
	meta, err := toml.DecodeFile(path, e)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var faults []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: "+format, append([]any{path}, args...)...))
		}
	}
	for _, key := range meta.Undecoded() {
		require(false, "%s: unknown field", key)
	}
	check(require)
	return errors.Join(faults...)
}

// requireCommon checks the settings that all experiments have.
func requireCommon(require requireFunc, name string, seeds []uint64, engines int, rate float64) {
	require(name != "" && !strings.ContainsAny(name, "/ "), "name: %q is empty or contains a slash or a space; it becomes a file name", name)
	require(len(seeds) > 0, "seeds: at least one is required")
	require(engines > 0 && engines <= 64, "engines: %d is out of range, want 1 to 64", engines)
	require(rate > 0 && rate <= 5000, "rate: %g is out of range, want above 0 and at most 5000 requests per second", rate)
}

// readExperiment reads and checks an upgrade experiment.
func readExperiment(path string) (*upgradeExperiment, error) {
	var e upgradeExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		requireCommon(require, e.Name, e.Seeds, e.Engines, e.Rate)
		require(len(e.Connections) > 0 && slices.Min(e.Connections) > 0 && slices.Max(e.Connections) <= 20000, "connections: got %v, want one or more numbers from 1 to 20000", e.Connections)
		require(e.ProveForMS >= 100 && e.ProveForMS <= 60000, "prove_for_ms: %g is out of range, want 100 to 60000 ms", e.ProveForMS)
		for _, f := range e.Fronts {
			require(f == "rest" || f == "postgres", "fronts: unknown front end %q, want rest or postgres", f)
		}
		require(e.DelayMS >= 0 && e.DelayMS <= 1000 && e.JitterMS >= 0 && e.JitterMS <= 1000, "delay_ms, jitter_ms: got %g and %g, want 0 to 1000 ms", e.DelayMS, e.JitterMS)
		for i, ev := range e.Events {
			require(emulator.Known(ev.Do) || ev.Do == upgrades.Reconnect, "event[%d].do: unknown event %q", i, ev.Do)
			require(ev.Engine >= 0 && ev.Engine <= e.Engines, "event[%d].engine: %d is out of range, want 1 to %d, or 0 for an event that concerns no single engine", i, ev.Engine, e.Engines)
		}
		for _, k := range e.FaultyKinds {
			require(upgrades.Broken[k] != "", "broken: unknown kind of faulty upgrade %q", k)
		}
	})
}

// kinds returns the kinds of upgrades of one run, faulty and valid ones in random order.
func (e *upgradeExperiment) kinds(seed uint64) []string {
	all := slices.Clone(e.FaultyKinds)
	for range e.ValidUpgrades {
		all = append(all, upgrades.Good)
	}
	rng := rand.New(rand.NewPCG(seed, 0x6b696e64))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// environment holds the programs and folders that experiments with gateway processes need.
type environment struct {
	program string    // absolute path of the gateway's program
	testbed string    // path of this program, which acts as a faulty successor in some upgrades
	dir     string    // folder for temporary files
	log     io.Writer // receives the gateways' log
}

// processExperiment is an experiment that starts gateway processes.
type processExperiment interface {
	run(ctx context.Context, c *runCommand, env environment) error
}

// Run runs the experiment that the file describes.
func (c *runCommand) Run() error {
	var header struct {
		Kind string `toml:"kind"`
	}
	if _, err := toml.DecodeFile(c.File, &header); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	switch header.Kind {
	case "fleet":
		return runFleet(c)
	case "growth":
		return runGrowth(c)
	case "members":
		return runMembers(c)
	}
	e, err := c.readProcessExperiment(header.Kind)
	if err != nil {
		return err
	}
	return c.runProcesses(e)
}

// readProcessExperiment reads the experiment file as one of the given kind.
func (c *runCommand) readProcessExperiment(kind string) (processExperiment, error) {
	switch kind {
	case "upgrades":
		return readExperiment(c.File)
	case "service":
		return readService(c.File)
	case "tier":
		e, err := readCluster(c.File)
		if len(c.Seed) > 0 {
			e.Seeds = c.Seed
		}
		return e, err
	case "sites":
		return readSites(c.File)
	default:
		return nil, fmt.Errorf("%s: kind: unknown kind %q, want upgrades, service, fleet, growth, sites, members or tier", c.File, kind)
	}
}

// runProcesses prepares program, folder and log, and runs an experiment until it ends or a signal arrives.
func (c *runCommand) runProcesses(e processExperiment) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "testbed-run-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	env := environment{dir: dir, log: io.Discard}
	if env.testbed, err = os.Executable(); err != nil {
		return err
	}
	if env.program, err = c.gatewayProgram(ctx, dir); err != nil {
		return err
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		env.log = f
	}
	return e.run(ctx, c, env)
}

// gatewayProgram returns the absolute path of the named program, or of one built from this folder into dir.
func (c *runCommand) gatewayProgram(ctx context.Context, dir string) (string, error) {
	program := c.Program
	if program == "" {
		built, err := harness.Build(ctx, ".", dir)
		if err != nil {
			return "", err
		}
		program = built
	}
	found, err := exec.LookPath(program)
	if err != nil {
		return "", err
	}
	return filepath.Abs(found)
}

// run runs all series of upgrades. It fails if a rule was broken or an upgrade did not end as its kind requires.
func (e *upgradeExperiment) run(ctx context.Context, c *runCommand, env environment) error {
	recorded, err := e.recorded()
	if err != nil {
		return err
	}
	t := newUpgradeTables(e)
	var faults []load.Fault
	wrong := 0
	for _, connections := range e.Connections {
		for _, front := range e.Fronts {
			for _, seed := range e.Seeds {
				res, err := e.play(ctx, c, env, upgrades.Options{Front: front, Connections: connections, Seed: seed, Recorded: recorded})
				if err != nil {
					return err
				}
				faults = append(faults, res.Faults...)
				for _, u := range res.Upgrades {
					if !u.Right {
						wrong++
						fmt.Printf("%s: an upgrade of kind %s did not end as expected; reason given: %q\n", front, u.Kind, u.Why)
					}
				}
				t.add(front, connections, seed, res)
			}
		}
	}
	if err := t.write(c.Out, e); err != nil {
		return err
	}
	return reportViolations(faults, wrong)
}

// play runs one series of upgrades. opts holds what differs between series; play fills in the rest.
func (e *upgradeExperiment) play(ctx context.Context, c *runCommand, env environment, opts upgrades.Options) (*upgrades.Result, error) {
	opts.Root = "."
	opts.Dir = filepath.Join(env.dir, fmt.Sprintf("%s-%d-%d", opts.Front, opts.Connections, opts.Seed))
	opts.Program = env.program
	opts.Lab = env.testbed
	opts.Log = env.log
	opts.Engines = e.Engines
	opts.Work = milliseconds(e.WorkMS)
	opts.Rate = e.Rate
	opts.Loads = e.Loads
	opts.Writes = e.Writes
	opts.Churn = e.Churn
	opts.Kinds = e.kinds(opts.Seed)
	opts.MayReturn = e.MayReturn
	opts.Gap = milliseconds(e.GapMS)
	opts.ProveFor = milliseconds(e.ProveForMS)
	opts.Link = e.link(opts.Seed)
	opts.Events = e.events()
	bar := c.newProgressBar(fmt.Sprintf("%s, %d connections, seed %d", opts.Front, opts.Connections, opts.Seed), len(opts.Kinds))
	opts.Each = func(upgrades.Upgrade) { bar.step() }
	if err := os.Mkdir(opts.Dir, 0o700); err != nil {
		return nil, err
	}
	res, err := upgrades.Play(ctx, opts)
	bar.end()
	return res, err
}

// milliseconds converts a number of milliseconds from an experiment file.
func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// seconds converts a number of seconds from an experiment file.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// reportViolations prints at most 20 violations of the rules that load.Check verifies, for example that each
// request gets exactly one answer. It returns an error if a rule was broken or wrong, the number
// of upgrades that did not end as expected, is above 0.
func reportViolations(faults []load.Fault, wrong int) error {
	for i, f := range faults {
		if i == 20 {
			fmt.Printf("and %d more broken rules\n", len(faults)-i)
			break
		}
		fmt.Println(f)
	}
	if len(faults) > 0 || wrong > 0 {
		return fmt.Errorf("%d rules broken, %d upgrades did not end as expected", len(faults), wrong)
	}
	fmt.Println("every request got exactly one answer; no rule was broken")
	return nil
}

// progressBar shows how many steps of a run are done; its zero value shows nothing.
type progressBar struct {
	container *mpb.Progress
	bar       *mpb.Bar
}

// newProgressBar returns a bar of that many steps on standard error, or one that shows nothing with --quiet.
func (c *runCommand) newProgressBar(name string, steps int) *progressBar {
	if c.Quiet {
		return &progressBar{}
	}
	p := mpb.New(mpb.WithWidth(40), mpb.WithOutput(os.Stderr))
	elapsed := decor.Elapsed(decor.ET_STYLE_GO, decor.WCSyncSpace)
	bar := p.AddBar(int64(steps), mpb.PrependDecorators(decor.Name(name+" ")), mpb.AppendDecorators(decor.CountersNoUnit("%d of %d"), elapsed))
	return &progressBar{container: p, bar: bar}
}

// step marks one more step as done.
func (s *progressBar) step() {
	if s.bar != nil {
		s.bar.Increment()
	}
}

// end stops the bar and leaves it on the screen.
func (s *progressBar) end() {
	if s.bar != nil {
		s.bar.Abort(false)
		s.container.Wait()
	}
}

// upgradeTables collects the results of an upgrade experiment.
type upgradeTables struct {
	requests, kinds, raw report.Table
	chart                report.Bars
}

func newUpgradeTables(e *upgradeExperiment) *upgradeTables {
	return &upgradeTables{
		requests: report.Table{Columns: []string{"front", "connections", "seed", "upgrades", "requests", "served", "refused", "in doubt or failed", "rules broken",
			"steady: p50, p99, max (ms)", "during valid upgrades: p50, p99, max (ms)", "during faulty upgrades: p50, p99, max (ms)", "resident memory (MB)", "extra memory during an upgrade (MB)"}},
		kinds: report.Table{Columns: []string{"front", "connections", "kind", "upgrades", "ended as expected", "time until decided, median (s)", "time until decided, max (s)", "last reason"}},
		raw:   report.Table{Columns: []string{"front", "connections", "seed", "phase", "kind", "due_ms", "latency_ms", "verdict", "tries"}},
		chart: report.Bars{Title: e.Title, Axis: "latency (ms)", Series: []string{"steady p99", "valid upgrades p99", "faulty upgrades p99", "max"}, Values: make([][]float64, 4)},
	}
}

// upgradeSettleTime is the time after an upgrade's end in which requests still count as sent during it.
const upgradeSettleTime = 500 * time.Millisecond

// add adds the results of one series to the tables and the chart.
func (t *upgradeTables) add(front string, connections int, seed uint64, res *upgrades.Result) {
	var h [3]*hdrhistogram.Histogram
	for i := range h {
		h[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	var served, refused, failed int
	for _, r := range res.Records {
		phase := 0
		for _, u := range res.Upgrades {
			if r.End.After(u.Began) && r.Due.Before(u.Done.Add(upgradeSettleTime)) {
				if phase = 1; u.Kind != upgrades.Good {
					phase = 2
				}
				break
			}
		}
		_ = h[phase].RecordValue(max(r.Latency().Microseconds(), 1)) // within the histogram's range of 60 s: clients wait 6 s
		switch r.Verdict {
		case load.Served:
			served++
		case load.Refused:
			refused++
		default:
			failed++
		}
		t.raw.Add(front, connections, seed, []string{"steady", "good", "broken"}[phase], string(rune(r.Kind)), r.Due.Sub(res.Stable).Milliseconds(),
			fmt.Sprintf("%.3f", float64(r.Latency().Microseconds())/1000), r.Verdict, len(r.Attempts))
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	formatLatencies := func(h *hdrhistogram.Histogram) string {
		if h.TotalCount() == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f, %.1f, %.1f", ms(h, 50), ms(h, 99), float64(h.Max())/1000)
	}
	t.requests.Add(front, connections, seed, len(res.Upgrades), len(res.Records), served, refused, failed, len(res.Faults),
		formatLatencies(h[0]), formatLatencies(h[1]), formatLatencies(h[2]), fmt.Sprintf("%.0f", float64(res.Resident)/1e6), fmt.Sprintf("%.0f", float64(res.Extra)/1e6))
	t.chart.Groups = append(t.chart.Groups, fmt.Sprintf("%s %d", front, connections))
	worst := 0.0
	for i := range h {
		t.chart.Values[i] = append(t.chart.Values[i], ms(h[i], 99))
		worst = max(worst, float64(h[i].Max())/1000)
	}
	t.chart.Values[3] = append(t.chart.Values[3], worst)
	by := map[string][]upgrades.Upgrade{}
	for _, u := range res.Upgrades {
		by[u.Kind] = append(by[u.Kind], u)
	}
	names := make([]string, 0, len(by))
	for k := range by {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		var durations []float64
		right, why := 0, ""
		for _, u := range by[k] {
			durations = append(durations, u.Done.Sub(u.Began).Seconds())
			why = u.Why
			if u.Right {
				right++
			}
		}
		slices.Sort(durations)
		t.kinds.Add(front, connections, k, len(durations), right, fmt.Sprintf("%.2f", durations[len(durations)/2]), fmt.Sprintf("%.2f", durations[len(durations)-1]), why)
	}
}

// write prints the tables, and writes them with figures and chart to dir unless it is "".
func (t *upgradeTables) write(dir string, e *upgradeExperiment) error {
	var b strings.Builder
	for _, table := range []*report.Table{&t.requests, &t.kinds} {
		md, err := table.Markdown()
		if err != nil {
			return err
		}
		b.WriteString(md + "\n")
	}
	fmt.Print(b.String())
	if dir == "" {
		return nil
	}
	csv, err := t.raw.CSV()
	if err != nil {
		return err
	}
	svg, err := t.chart.SVG()
	if err != nil {
		return err
	}
	return report.Write(dir, map[string][]byte{e.Name + ".md": []byte(b.String()), e.Name + ".csv": []byte(csv), e.Name + ".svg": svg})
}
