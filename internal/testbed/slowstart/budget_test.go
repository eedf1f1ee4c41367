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

// restart is how an engine's process ends and starts again.
type restart struct {
	down      time.Duration // from the crash to the start
	untold    time.Duration // from the start to the report by discovery
	start     emulator.StartOptions
	restarted int // number of the gateway that is killed and started again before the crash; -1: none
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

// checkBudget lets two engines restart at once while three others drain, which discovery reports in one event, and checks the work that reaches them.
func checkBudget(t *testing.T, d *deployment, r restart) {
	t.Helper()
	time.Sleep(learningTime)
	if r.restarted >= 0 {
		d.restartGateway(r.restarted)
	}
	for _, engine := range []int{5, 6, 7} {
		if err := d.fleet.Apply(emulator.Drain, engine); err != nil {
			t.Fatal(err)
		}
	}
	engines := []int{1, 2}
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
	time.Sleep(r.untold)
	told := time.Now()
	d.fleet.Announce(engines...)
	time.Sleep(observationTime)
	for _, engine := range engines {
		worst := d.recorder.worst(d.fleet.Members()[engine-1].ID, started, told, time.Now())
		t.Logf("engine %d: %.1f requests of mean work in a window that began %v after its start, limit %.1f (%.2f); %.2f of the work after the report",
			engine, worst.requests, worst.at.Round(time.Millisecond), worst.limit, worst.ratio(), worst.told)
		if worst.requests == 0 || worst.ratio() > 1 {
			t.Errorf("engine %d: got %.2f of its budget in a window, want more than 0 and at most 1", engine, worst.ratio())
		}
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
					down: 1500 * time.Millisecond, untold: 1200 * time.Millisecond, restarted: -1,
					start: emulator.StartOptions{ClockError: clockError},
				})
			})
		}
	}
}
