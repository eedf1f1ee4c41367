// Package timerqueue keeps the deadlines and timers of one goroutine in order of time. Its
// owner runs those that are due once per iteration of its event loop.
package timerqueue

import (
	"time"

	"github.com/google/btree"
)

// btreeDegree is the number of children of a tree node; the tree's speed hardly depends on it.
const btreeDegree = 16

// Queue holds timers in order of due time and, for equal times, of adding. It is not safe for
// concurrent use.
type Queue struct {
	tree    *btree.BTreeG[*Entry]
	lastSeq uint64
}

// Entry is one timer of a queue.
type Entry struct {
	due   time.Duration
	seq   uint64
	run   func()
	queue *Queue // nil once it has run or was stopped
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(btreeDegree, before)}
}

func before(a, b *Entry) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.seq < b.seq
}

// Add schedules run for the first Sweep at or after the time due.
func (q *Queue) Add(due time.Duration, run func()) *Entry {
	q.lastSeq++
	e := &Entry{due: due, seq: q.lastSeq, run: run, queue: q}
	q.tree.ReplaceOrInsert(e)
	return e
}

// Stop removes the entry from its queue. Stopping a nil entry, or one that has run or was
// stopped, does nothing.
func (e *Entry) Stop() {
	if e == nil || e.queue == nil {
		return
	}
	e.queue.tree.Delete(e)
	e.release()
}

// release forgets the queue and the function, so that an entry that is kept keeps neither alive.
func (e *Entry) release() {
	e.queue = nil
	e.run = nil
}

// Sweep runs all entries that are due at the time now. Entries that they add for the same time
// wait for the next sweep, so that one that re-arms itself can't block the event loop forever.
func (q *Queue) Sweep(now time.Duration) {
	lastBefore := q.lastSeq
	var deferred []*Entry
	for {
		e, ok := q.tree.Min()
		if !ok || e.due > now {
			break
		}
		q.tree.DeleteMin()
		if e.seq > lastBefore {
			deferred = append(deferred, e)
			continue
		}
		run := e.run
		e.release()
		run()
	}
	for _, e := range deferred {
		stopped := e.queue == nil
		if !stopped {
			q.tree.ReplaceOrInsert(e)
		}
	}
}

// Next returns the time at which the earliest entry is due. ok is false for an empty queue.
func (q *Queue) Next() (due time.Duration, ok bool) {
	e, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return e.due, true
}

// Len is the number of entries.
func (q *Queue) Len() int { return q.tree.Len() }
