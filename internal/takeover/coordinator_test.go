package takeover

import (
	"log/slog"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// newCoordinator returns the coordinator of a process whose clock is off by the given time, and its loop.
func newCoordinator(t *testing.T, dir string, clockError time.Duration) (*Coordinator, *netio.Loop) {
	t.Helper()
	loop, err := netio.New(0)
	if err != nil {
		t.Fatal(err)
	}
	loop.AdoptClock(loop.Now() + clockError)
	settings := policy.Settings{
		Gateways: 1, Classes: []policy.Class{{Name: "read", LatencyObjective: time.Second, Timeout: time.Second}},
	}
	c, err := core.New(settings, 1, loop, loop.Timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	options := Options{
		State: func() *handover.ProcessState { return &handover.ProcessState{} }, StartAlone: func() {},
		ApplyState: func(*handover.ProcessState) error { return nil }, OnLimitShare: func(float64) {}, OnReplaced: func() {},
	}
	coordinator, err := New(loop, c, dir, options, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(coordinator.Close)
	return coordinator, loop
}

// TestReplacementSharesTheClock guards against a process that serves alone, or mistakes instants of the process that it
// replaces, because the system's time was stepped between their starts.
func TestReplacementSharesTheClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		dir := t.TempDir()
		old, oldLoop := newCoordinator(t, dir, 0)
		old.Start()
		replacement, loop := newCoordinator(t, dir, step)
		if difference := loop.Now() - oldLoop.Now(); difference < -time.Second || difference > time.Second {
			t.Errorf("step of %v: got clocks %v apart, want the same time", step, difference)
		}
		if !replacement.self.StartedAfter(old.self) {
			t.Errorf("step of %v: the replacement counts as started before the process that it replaces", step)
		}
	}
}
