package membershipsim

import (
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Hundreds start at once, each knows two seeds, and of these one lives: all find each other, though the seed may not answer all.
func TestStartByOneSeed(t *testing.T) {
	t.Parallel()
	const n, most = 300, 45 * s
	w := New(Options{
		Members: n, Seed: 1, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, Make: Ours,
		Named: func(decide.ID) []decide.ID { return []decide.ID{1, 1001} },
		Hear: func(now time.Duration, at decide.ID, a decide.Action) {
			if a, ok := a.(decide.MemberReport); ok && (a.State == decide.Dead || a.State == decide.Unreachable) {
				t.Errorf("%v: %d calls %d %s, and all live", now, at, a.Member, a.State)
			}
		},
	})
	for w.Now() < most && !w.agreed() {
		w.Run(w.Now() + s)
	}
	if !w.agreed() {
		t.Errorf("not settled after %v", most)
	}
}

// A hundred start at once and three in ten datagrams are lost: they find each other, and don't go on to dispute who is there. Of a
// wrong word that is taken back, all hear.
func TestStartAmidLoss(t *testing.T) {
	t.Parallel()
	const n = 100
	told := 0
	w := New(Options{
		Members: n, Seed: 1, Loss: 0.3, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, Make: Ours,
		Hear: func(now time.Duration, at decide.ID, a decide.Action) {
			if a, ok := a.(decide.MemberReport); ok && now > 30*s {
				told++
				if !a.State.InView() {
					t.Errorf("%v: %d calls %d %s, and all live", now, at, a.Member, a.State)
				}
			}
		},
	})
	w.Run(30 * s)
	if !w.agreed() {
		t.Error("not settled after 30 s")
	}
	w.Run(60 * s)
	if told > 3*n { // three wrong words that all hear of
		t.Errorf("%d changes of states while nothing happens", told)
	}
}
