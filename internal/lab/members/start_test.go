package members

import (
	"testing"
	"time"

	decide "gannetspur/internal/decide/members"
)

// settled tells whether so many members live, and all of these have all of them in their views, and nobody else.
func settled(w *World, n int) bool {
	living := w.Living()
	if len(living) != n {
		return false
	}
	for _, id := range living {
		if v, _ := w.Member(id).(*decide.Machine).View(); v.Size != len(living) {
			return false
		}
		for _, o := range living {
			if st, _, _ := w.Member(id).State(o); !st.In() {
				return false
			}
		}
	}
	return true
}

// Hundreds start at once, each knows two seeds, and of these one lives: all find each other, though the seed may not answer all.
func TestStartByOneSeed(t *testing.T) {
	t.Parallel()
	const n, most = 300, 45 * s
	w := New(Options{
		Members: n, Seed: 1, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, Make: Ours,
		Named: func(decide.ID) []decide.ID { return []decide.ID{1, 1001} },
		Hear: func(now time.Duration, at decide.ID, a any) {
			if a, ok := a.(decide.Told); ok && (a.State == decide.Dead || a.State == decide.Lost) {
				t.Errorf("%v: %d calls %d %s, and all live", now, at, a.About, a.State)
			}
		},
	})
	for w.Now() < most && !settled(w, n) {
		w.Run(w.Now() + s)
	}
	if !settled(w, n) {
		t.Errorf("not settled after %v", most)
	}
}
