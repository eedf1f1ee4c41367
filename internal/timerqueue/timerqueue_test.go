package timerqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Entries run in order of due time, then in the order in which they were added. An entry stopped by
// an earlier one does not run. An entry that adds itself again for the same time waits for the next
// sweep.
func TestSweep(t *testing.T) {
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
		t.Errorf("entries run by the first sweep (-want +got):\n%s", diff)
	}
	if due, ok := q.Next(); !ok || due != 5 || q.Len() != 2 {
		t.Errorf("Next() = %v, %v with %d entries, want 5ns, true with 2", due, ok, q.Len())
	}
	q.RunDue(30)
	if diff := cmp.Diff([]int{0, 10, 0, 30}, got); diff != "" {
		t.Errorf("entries run by both sweeps (-want +got):\n%s", diff)
	}
}

// An entry that is added and stopped within the same sweep never runs, though it is due already.
func TestStopWithinSameSweep(t *testing.T) {
	q := New()
	q.Add(1, func() {
		added := q.Add(1, func() { t.Error("got a call of a stopped entry, want none") })
		q.Add(1, func() {})
		added.Stop()
	})
	q.RunDue(1)
	q.RunDue(1)
	if q.Len() != 0 {
		t.Errorf("Len() = %d, want 0", q.Len())
	}
	if _, ok := q.Next(); ok {
		t.Error("Next() on an empty queue: got an entry, want none")
	}
}
