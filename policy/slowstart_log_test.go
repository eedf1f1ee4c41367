package policy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSlowStartChangesAreReported follows an engine whose connection breaks, that answers soon after, and whose start the
// engine list reports later: each change is reported with what was sent to it.
func TestSlowStartChangesAreReported(t *testing.T) {
	s := testSettings()
	d := newDriver(t, s, liveEngine("e", "a", 1))
	var reports []SlowStartChanged
	observe := func(actions []Action) {
		for _, a := range actions {
			if report, ok := a.(SlowStartChanged); ok {
				reports = append(reports, report)
			}
		}
	}
	d.advance(3 * time.Second).handle(TimerFired{})
	d.arrive(1, "idempotent")
	observe(d.endAttempt(1, 0, ResultConnectionLost))
	d.advance(100 * time.Millisecond)
	d.arrive(2, "idempotent")
	observe(d.endAttempt(2, 0, ResultSuccess))
	started := liveEngine("e", "a", 1)
	started.Started, started.StartKnown = d.now, true
	observe(d.advance(time.Second).handle(EngineList{Mode: ListChanges, Engines: []Engine{started}}))
	var evidence []StartEvidence
	for _, report := range reports {
		evidence = append(evidence, report.Evidence)
	}
	want := []StartEvidence{RestartPresumed, RestartDisproved, StartReported}
	if diff := cmp.Diff(want, evidence); diff != "" {
		t.Fatalf("evidence of the reports (-want +got):\n%s", diff)
	}
	last := reports[len(reports)-1]
	if last.WarmIn != s.Rules.WarmUpPeriod-time.Second || last.PreviousWarmIn != 0 || last.Sent.Statements < 2 || last.Sent.WorkMS <= 0 {
		t.Errorf("report of the start: got %+v, want the rest of the warm-up, no earlier one, and the statements of the latest window", last)
	}
}
