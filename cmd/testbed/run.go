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

type runCommand struct {
	File     string   `arg:"" help:"The experiment, as in experiments/." name:"file"`
	Ringwood string   `placeholder:"FILE" help:"The gateway's program; without it, it is built from this folder." name:"ringwood"`
	Out      string   `placeholder:"FOLDER" help:"Keep table, figures and chart there, under the experiment's name." name:"out"`
	Log      string   `placeholder:"FILE" help:"Keep the gateways' events there." name:"log"`
	Seed     []uint64 `placeholder:"N" help:"Seeds in place of the file's; of experiments of kind tier and members." name:"seed"`
	Quiet    bool     `help:"No bar of progress." name:"quiet"`
}

// upgradeExperiment is a file of an upgradeExperiment with upgrades.
type upgradeExperiment struct {
	Name          string   `toml:"name"`
	Title         string   `toml:"title"`
	Kind          string   `toml:"kind"`
	Seeds         []uint64 `toml:"seeds"`
	Fronts        []string `toml:"fronts"`
	Engines       int      `toml:"engines"`
	WorkMS        float64  `toml:"work_ms"`
	Connections   []int    `toml:"connections"`
	Rate          float64  `toml:"rate"`
	Loads         float64  `toml:"loads"`
	Writes        float64  `toml:"writes"`
	Churn         float64  `toml:"churn"`
	Traffic       string   `toml:"traffic"`    // file of recorded traffic (testbed traffic generate) that is played in place of the clients' own; "": none
	ValidUpgrades int      `toml:"good"`       // upgrades that must go through
	FaultyKinds   []string `toml:"broken"`     // and others, of these kinds
	MayReturn     bool     `toml:"may_return"` // good ones may be returned from, as engines have troubles
	GapMS         float64  `toml:"gap_ms"`
	ProveForMS    float64  `toml:"prove_for_ms"`
	DelayMS       float64  `toml:"delay_ms"`  // of a link between gateway and engines, one way
	JitterMS      float64  `toml:"jitter_ms"` // added to it
	Events        []struct {
		AtS    float64 `toml:"at_s"` // from the first upgrade
		Do     string  `toml:"do"`
		Engine int     `toml:"engine"` // from 1
	} `toml:"event"`
	LinkFaults []struct {
		Kind  faultproxy.Kind `toml:"kind"`
		FromS float64         `toml:"from_s"` // from the start of the links, some 2 s before the first upgrade
		ForS  float64         `toml:"for_s"`  // 0: to the end
	} `toml:"link_fault"`
}

// link is what lies between gateway and engines.
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

// recorded reads the file of recorded traffic, if there is one.
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

func (e *upgradeExperiment) events() (all []upgrades.Event) {
	for _, ev := range e.Events {
		all = append(all, upgrades.Event{At: seconds(ev.AtS), Do: ev.Do, Engine: ev.Engine})
	}
	return all
}

// requireFunc notes a fault of an experiment's file unless ok.
type requireFunc func(ok bool, format string, args ...any)

// readFile reads an experiment, and names every fault in it.
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
		require(false, "%s: there is no such field", key)
	}
	check(require)
	return errors.Join(faults...)
}

// requireCommon checks what all experiments have.
func requireCommon(require requireFunc, name string, seeds []uint64, engines int, rate float64) {
	require(name != "" && !strings.ContainsAny(name, "/ "), "name: missing, or not fit for a file's name")
	require(len(seeds) > 0, "seeds: none")
	require(engines > 0 && engines <= 64, "engines: %d is not from 1 to 64", engines)
	require(rate > 0 && rate <= 5000, "rate: %g is not above 0, up to 5000 a second", rate)
}

func readExperiment(path string) (*upgradeExperiment, error) {
	var e upgradeExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		requireCommon(require, e.Name, e.Seeds, e.Engines, e.Rate)
		require(len(e.Connections) > 0 && slices.Min(e.Connections) > 0 && slices.Max(e.Connections) <= 20000, "connections: wanted are numbers from 1 to 20000")
		require(e.ProveForMS >= 100 && e.ProveForMS <= 60000, "prove_for_ms: %g is not from 100 to 60000", e.ProveForMS)
		for _, f := range e.Fronts {
			require(f == "rest" || f == "postgres", "fronts: there is no %q; wanted is rest or postgres", f)
		}
		require(e.DelayMS >= 0 && e.DelayMS <= 1000 && e.JitterMS >= 0 && e.JitterMS <= 1000, "delay_ms, jitter_ms: not from 0 to 1000")
		for i, ev := range e.Events {
			require(emulator.Known(ev.Do) || ev.Do == upgrades.Reconnect, "event[%d].do: there is no %q", i, ev.Do)
			require(ev.Engine >= 0 && ev.Engine <= e.Engines, "event[%d].engine: %d is not from 1 to %d", i, ev.Engine, e.Engines)
		}
		for _, k := range e.FaultyKinds {
			require(upgrades.Broken[k] != "", "broken: there is no kind %q", k)
		}
	})
}

// kinds are the upgrades of one run, the broken ones shuffled among the good.
func (e *upgradeExperiment) kinds(seed uint64) []string {
	all := slices.Clone(e.FaultyKinds)
	for range e.ValidUpgrades {
		all = append(all, upgrades.Good)
	}
	rng := rand.New(rand.NewPCG(seed, 0x6b696e64))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// environment is what an experiment with gateway processes runs in.
type environment struct {
	program string    // the gateway's program, an absolute path
	testbed string    // this program, which acts as a faulty successor in some upgrades
	dir     string    // for temporary files
	log     io.Writer // receives the gateways' events
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

// readProcessExperiment reads the experiment's file as one of that kind.
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
		return nil, fmt.Errorf("%s: kind: there is no %q; wanted is upgrades, service, fleet, growth, sites, members or tier", c.File, kind)
	}
}

// runProcesses prepares program, folder and log, and runs an experiment with them until it ends or a signal comes.
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

// gatewayProgram returns the absolute path of the named program, or of one built from this folder.
func (c *runCommand) gatewayProgram(ctx context.Context, dir string) (string, error) {
	program := c.Ringwood
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

// run plays all series of upgrades, and fails if a rule was broken or an upgrade ended otherwise than it must.
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
						fmt.Printf("%s: an upgrade of kind %s ended as it must not: %q\n", front, u.Kind, u.Why)
					}
				}
				t.add(front, connections, seed, res)
			}
		}
	}
	if err := t.keep(c.Out, e); err != nil {
		return err
	}
	return reportViolations(faults, wrong)
}

// play plays one series of upgrades. The options name what differs between series; the rest is filled in here.
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

// milliseconds converts a number of an experiment's file, in milliseconds.
func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// seconds converts a number of an experiment's file, in seconds.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// reportViolations prints the rules broken, and returns an error where there are any.
func reportViolations(faults []load.Fault, wrong int) error {
	for i, f := range faults {
		if i == 20 {
			fmt.Printf("and %d more\n", len(faults)-i)
			break
		}
		fmt.Println(f)
	}
	if len(faults) > 0 || wrong > 0 {
		return fmt.Errorf("%d rules broken, %d upgrades that ended as they must not", len(faults), wrong)
	}
	fmt.Println("every request had its one answer; no rule was broken")
	return nil
}

// progressBar shows how many steps of a run are done; its zero value shows nothing.
type progressBar struct {
	container *mpb.Progress
	bar       *mpb.Bar
}

// newProgressBar returns a bar of that many steps on standard error, or a silent one with --quiet.
func (c *runCommand) newProgressBar(name string, steps int) *progressBar {
	if c.Quiet {
		return &progressBar{}
	}
	p := mpb.New(mpb.WithWidth(40), mpb.WithOutput(os.Stderr))
	elapsed := decor.Elapsed(decor.ET_STYLE_GO, decor.WCSyncSpace)
	bar := p.AddBar(int64(steps), mpb.PrependDecorators(decor.Name(name+" ")), mpb.AppendDecorators(decor.CountersNoUnit("%d of %d upgrades"), elapsed))
	return &progressBar{container: p, bar: bar}
}

func (s *progressBar) step() {
	if s.bar != nil {
		s.bar.Increment()
	}
}

func (s *progressBar) end() {
	if s.bar != nil {
		s.bar.Abort(false)
		s.container.Wait()
	}
}

// upgradeTables are the results of an experiment with upgrades.
type upgradeTables struct {
	requests, kinds, raw report.Table
	chart                report.Bars
}

func newUpgradeTables(e *upgradeExperiment) *upgradeTables {
	return &upgradeTables{
		requests: report.Table{Columns: []string{"front", "connections", "seed", "upgrades", "requests", "served", "refused", "in doubt or failed", "rules broken",
			"steady p50, p99, worst (ms)", "during good ones", "during broken ones", "resident (MB)", "more during an upgrade (MB)"}},
		kinds: report.Table{Columns: []string{"front", "connections", "kind", "played", "as it must", "until decided, median (s)", "worst (s)", "reason, the last"}},
		raw:   report.Table{Columns: []string{"front", "connections", "seed", "phase", "kind", "due_ms", "latency_ms", "verdict", "tries"}},
		chart: report.Bars{Title: e.Title, Axis: "latency, ms", Series: []string{"steady p99", "good p99", "broken p99", "worst of all"}, Values: make([][]float64, 4)},
	}
}

// upgradeAftermath is how long behind an upgrade's end a request still counts as during it.
const upgradeAftermath = 500 * time.Millisecond

func (t *upgradeTables) add(front string, connections int, seed uint64, res *upgrades.Result) {
	var h [3]*hdrhistogram.Histogram
	for i := range h {
		h[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	var served, refused, failed int
	for _, r := range res.Records {
		phase := 0
		for _, u := range res.Upgrades {
			if r.End.After(u.Began) && r.Due.Before(u.Done.Add(upgradeAftermath)) {
				if phase = 1; u.Kind != upgrades.Good {
					phase = 2
				}
				break
			}
		}
		_ = h[phase].RecordValue(max(r.Latency().Microseconds(), 1)) // within its bounds: clients wait 6 s
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
	three := func(h *hdrhistogram.Histogram) string {
		if h.TotalCount() == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f, %.1f, %.1f", ms(h, 50), ms(h, 99), float64(h.Max())/1000)
	}
	t.requests.Add(front, connections, seed, len(res.Upgrades), len(res.Records), served, refused, failed, len(res.Faults),
		three(h[0]), three(h[1]), three(h[2]), fmt.Sprintf("%.0f", float64(res.Resident)/1e6), fmt.Sprintf("%.0f", float64(res.Extra)/1e6))
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

func (t *upgradeTables) keep(dir string, e *upgradeExperiment) error {
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
