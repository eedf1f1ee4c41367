package slowstart

import (
	"context"
	"os"
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
)

const (
	// learningTime is how long the gateways serve before the first crash.
	learningTime = 4 * time.Second
	// observationTime is how long engines are observed after discovery has reported their start.
	observationTime = 4 * time.Second
)

// noGateway stands for no gateway in a restart.
const noGateway = -1

// restart is how the processes of two engines end and start again, and what else happens meanwhile.
type restart struct {
	down        time.Duration // from the crash to the start
	untold      time.Duration // from the start to the report by discovery
	start       emulator.StartOptions
	killed      int           // number of the gateway that is killed and started again right before the crash, or noGateway
	paused      int           // number of the gateway that is stopped at the start, or noGateway
	pause       time.Duration // how long it is stopped
	busSilence  time.Duration // how long discovery is silent or away from the start on
	secondAfter time.Duration // from the report to a second crash, of the first engine; 0: none
}

var program string // path of the gateway's program

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "slowstart")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if program, err = harness.Build(context.Background(), "../../..", dir); err != nil {
		panic(err)
	}
	return m.Run()
}

// maxListDelay is the time after which an engine's start counts as told although discovery is silent.
const maxListDelay = 7 * time.Second

// checkBudget lets two engines restart at once while three others drain, which discovery reports in one event, and checks
// the work that reaches them.
func checkBudget(t *testing.T, d *deployment, r restart) {
	t.Helper()
	time.Sleep(learningTime)
	if r.killed != noGateway {
		d.restartGateway(r.killed)
	}
	for _, engine := range []int{5, 6, 7} {
		d.apply(emulator.Drain, engine)
	}
	engines := []int{1, 2}
	d.checkRestart(r, engines)
	if r.secondAfter > 0 {
		r.killed, r.paused, r.busSilence = noGateway, noGateway, 0
		time.Sleep(r.secondAfter)
		d.checkRestart(r, engines[:1])
	}
}

// checkRestart lets engines crash and start again, and checks the work that reaches them.
func (d *deployment) checkRestart(r restart, engines []int) {
	t := d.t
	t.Helper()
	for _, engine := range engines {
		d.fleet.Crash(engine)
	}
	time.Sleep(r.down)
	started := time.Now()
	for _, engine := range engines {
		if err := d.fleet.Start(engine, r.start); err != nil {
			t.Fatal(err)
		}
	}
	if r.paused != noGateway {
		d.pauseGateway(r.paused, r.pause)
	}
	if r.busSilence > 0 {
		d.apply(emulator.BusSilent, 0)
		d.apply(emulator.ConsulAway, 0)
		time.AfterFunc(r.busSilence, func() {
			d.apply(emulator.BusSpeaks, 0)
			d.apply(emulator.ConsulBack, 0)
		})
	}
	time.Sleep(r.untold)
	d.fleet.Announce(engines...)
	told := time.Now()
	if silenceEnds := started.Add(r.busSilence); silenceEnds.After(told) {
		told = told.Add(min(silenceEnds.Sub(told), maxListDelay))
	}
	time.Sleep(time.Until(told) + observationTime)
	d.checkWork(engines, started, told)
}

// checkWork checks the work that has reached engines that started at the same time.
func (d *deployment) checkWork(engines []int, started, told time.Time) {
	d.t.Helper()
	for _, engine := range engines {
		worst := d.recorder.worst(d.fleet.Members()[engine-1].ID, started, told, time.Now())
		d.t.Logf("engine %d: %.1f requests of mean work in a window that began %v after its start, limit %.1f (%.2f); %.2f of the work after the report",
			engine, worst.requests, worst.at.Round(time.Millisecond), worst.limit, worst.ratio(), worst.told)
		if worst.requests == 0 || worst.ratio() > 1 {
			d.t.Errorf("engine %d: got %.2f of its budget in a window, want more than 0 and at most 1", engine, worst.ratio())
		}
	}
}

// apply applies an action to the engines of the frontend's protocol, or to their discovery.
func (d *deployment) apply(kind string, engine int) {
	if err := d.fleet.Apply(kind, engine); err != nil {
		d.t.Error(err)
	}
}

// TestStartReportedByAnotherClock guards against an engine that gets its full load right after its start because the
// clock that gives the time of the start differs from the gateway's.
func TestStartReportedByAnotherClock(t *testing.T) {
	t.Parallel()
	for _, front := range []frontend{platformFrontend, postgresFrontend} {
		for name, clockError := range map[string]time.Duration{"20 s behind": -20 * time.Second, "an hour behind": -time.Hour, "an hour ahead": time.Hour} {
			t.Run(string(front)+", "+name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, program, front, 1)
				checkBudget(t, d, restart{
					down: 1500 * time.Millisecond, untold: 1200 * time.Millisecond, killed: noGateway, paused: noGateway,
					start: emulator.StartOptions{ClockError: clockError},
				})
			})
		}
	}
}

// TestRestartWhileDiscoveryIsAway guards against an engine that restarts within a moment while discovery is away, and gets
// its full load because it answers soon after its connections broke.
func TestRestartWhileDiscoveryIsAway(t *testing.T) {
	t.Parallel()
	for _, front := range []frontend{platformFrontend, postgresFrontend} {
		t.Run(string(front), func(t *testing.T) {
			t.Parallel()
			checkBudget(t, newDeployment(t, program, front, 1), restart{
				untold: 300 * time.Millisecond, killed: noGateway, paused: noGateway, busSilence: 12 * time.Second,
			})
		})
	}
}
