// Package deadline keeps every deadline and timer of the program in one sorted
// structure, which its owner sweeps each turn. It is not safe for concurrent use.
package timerqueue

import (
	"time"

	"github.com/google/btree"
)

// Queue holds what is due when, in order of time and then of adding.
type Queue struct {
	tree *btree.BTreeG[*Entry]
	seq  uint64
}

// Entry is one deadline. Its zero value belongs to no queue.
type Entry struct {
	at  time.Duration
	seq uint64
	run func()
	in  *Queue
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(16, func(a, b *Entry) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.seq < b.seq
	})}
}

// Add has run called by the first Sweep at or after the instant.
func (q *Queue) Add(at time.Duration, run func()) *Entry {
	q.seq++
	e := &Entry{at: at, seq: q.seq, run: run, in: q}
	q.tree.ReplaceOrInsert(e)
	return e
}

// Stop takes the entry out. It may be called twice, after the entry ran, and on nil.
func (e *Entry) Stop() {
	if e == nil || e.in == nil {
		return
	}
	e.in.tree.Delete(e)
	e.in, e.run = nil, nil
}

// Sweep runs all that is due at the instant. What these calls add for the same
// instant waits for the next sweep, so that one that re-arms itself cannot hold
// the turn for ever.
func (q *Queue) Sweep(now time.Duration) {
	last := q.seq
	var later []*Entry
	for {
		e, ok := q.tree.Min()
		if !ok || e.at > now {
			break
		}
		q.tree.DeleteMin()
		if e.seq > last {
			later = append(later, e)
			continue
		}
		run := e.run
		e.in, e.run = nil, nil
		run()
	}
	for _, e := range later {
		if e.in != nil {
			q.tree.ReplaceOrInsert(e)
		}
	}
}

// Next tells when the earliest entry is due.
func (q *Queue) Next() (at time.Duration, ok bool) {
	e, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return e.at, true
}

// Len is the number of entries.
func (q *Queue) Len() int { return q.tree.Len() }
