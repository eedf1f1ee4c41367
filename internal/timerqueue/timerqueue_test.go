package timerqueue

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Timers run in order of due time, then in the order in which they were added. A timer stopped by
// an earlier one does not run. A timer that adds itself again for the same time waits for the next
// call of RunDue.
func TestRunDue(t *testing.T) {
	q := New()
	var got []int
	add := func(due int) *Timer { return q.Add(time.Duration(due), func() { got = append(got, due) }) }
	add(30)
	stopped := add(20)
	add(10)
	q.Add(15, func() { stopped.Stop(); stopped.Stop() })
	var rearm func()
	rearm = func() { got = append(got, 0); q.Add(5, rearm) }
	q.Add(5, rearm)
	q.RunDue(25)
	if diff := cmp.Diff([]int{0, 10}, got); diff != "" {
		t.Errorf("timers run by the first RunDue (-want +got):\n%s", diff)
	}
	if due, ok := q.Next(); !ok || due != 5 || q.Len() != 2 {
		t.Errorf("Next() = %v, %v with %d timers, want 5ns, true with 2", due, ok, q.Len())
	}
	q.RunDue(30)
	if diff := cmp.Diff([]int{0, 10, 0, 30}, got); diff != "" {
		t.Errorf("timers run by both calls of RunDue (-want +got):\n%s", diff)
	}
}

// A timer that is added and stopped within the same RunDue never runs, though it is due already.
func TestStopWithinSameRunDue(t *testing.T) {
	q := New()
	q.Add(1, func() {
		added := q.Add(1, func() { t.Error("got a call of a stopped timer, want none") })
		q.Add(1, func() {})
		added.Stop()
	})
	q.RunDue(1)
	q.RunDue(1)
	if q.Len() != 0 {
		t.Errorf("Len() = %d, want 0", q.Len())
	}
	if _, ok := q.Next(); ok {
		t.Error("Next() on an empty queue: got a timer, want none")
	}
}

// TestShift moves all timers by the same time. Their order stays, and a stopped one stays stopped.
func TestShift(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		q := New()
		var order []int
		for i := range 100 {
			timer := q.Add(2*time.Hour+time.Duration(i%7)*time.Second, func() { order = append(order, i%7) })
			if i%5 == 0 {
				timer.Stop()
			}
		}
		q.Shift(by)
		q.RunDue(2*time.Hour + by - 1)
		if len(order) != 0 {
			t.Errorf("shift by %v: got %d timers run before their time, want none", by, len(order))
		}
		q.RunDue(2*time.Hour + by + 6*time.Second)
		if len(order) != 80 || !slices.IsSorted(order) {
			t.Errorf("shift by %v: got the order %v, want 80 timers in the order of their times", by, order)
		}
	}
}
