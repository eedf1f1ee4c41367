package membershipsim

import (
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// 300 members start at once and know two seeds, of which only one runs. All find each other, although the seed may not
// answer every member.
func TestStartByOneSeed(t *testing.T) {
	t.Parallel()
	const n, maxTime = 300, 45 * second
	w := New(Options{
		Members: n, Seed: 1, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, NewMember: Ours,
		KnownAtStart: func(decide.ID) []decide.ID { return []decide.ID{1, 1001} },
		OnAction: func(now time.Duration, at decide.ID, a decide.Action) {
			if a, ok := a.(decide.MemberReport); ok && (a.State == decide.Dead || a.State == decide.Unreachable) {
				t.Errorf("%v: member %d reports member %d as %s, but all are running", now, at, a.Member, a.State)
			}
		},
	})
	for w.Now() < maxTime && !w.agreed() {
		w.Run(w.Now() + second)
	}
	if !w.agreed() {
		t.Errorf("views do not agree after %v, want all members in all views", maxTime)
	}
}

// 100 members start at once with 30 % loss. They find each other, and the views then stay stable. A false report that is
// refuted reaches all members.
func TestStartAmidLoss(t *testing.T) {
	t.Parallel()
	const n = 100
	reports := 0
	w := New(Options{
		Members: n, Seed: 1, Loss: 0.3, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, NewMember: Ours,
		OnAction: func(now time.Duration, at decide.ID, a decide.Action) {
			if a, ok := a.(decide.MemberReport); ok && now > 30*second {
				reports++
				if !a.State.InView() {
					t.Errorf("%v: member %d reports member %d as %s, but all are running", now, at, a.Member, a.State)
				}
			}
		},
	})
	w.Run(30 * second)
	if !w.agreed() {
		t.Error("views do not agree after 30 s, want all members in all views")
	}
	w.Run(60 * second)
	if reports > 3*n { // as many as three false reports that reach all members
		t.Errorf("got %d state reports without faults other than loss, want at most %d", reports, 3*n)
	}
}
