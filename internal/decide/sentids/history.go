// Package sentids remembers the ids of requests that may have run and must not run again: a client that has left may
// send such a request anew, with the same id, while or after the first is given up at its engine.
package sentids

import "time"

// History holds ids, each for its retention. It makes no I/O and reads no clock.
type History struct {
	retention time.Duration
	maxIDs    int
	until     map[string]time.Duration // when each id is forgotten
	order     []string                 // the ids in the order in which they were recorded, including removed ones
	evicted   int64                    // ids that were forgotten early, because there were more than maxIDs
}

// New returns a history of at most maxIDs ids.
func New(retention time.Duration, maxIDs int) *History {
	return &History{retention: retention, maxIDs: max(maxIDs, 1), until: map[string]time.Duration{}}
}

// Record remembers an id from now on. It reports whether the id is new.
func (h *History) Record(now time.Duration, id string) (isNew bool) {
	isNew = !h.Contains(now, id)
	_, known := h.until[id]
	h.until[id] = now + h.retention
	if !known {
		h.order = append(h.order, id)
	}
	h.expire(now)
	return isNew
}

// Contains reports whether a request of this id may have run.
func (h *History) Contains(now time.Duration, id string) bool { return now < h.until[id] }

// Remove forgets an id, because its request never ran.
func (h *History) Remove(id string) { delete(h.until, id) }

// TakeEvicted returns how many ids were forgotten before their retention was over, since the last call.
func (h *History) TakeEvicted() int64 {
	evicted := h.evicted
	h.evicted = 0
	return evicted
}

// IDs returns the ids that are remembered, the oldest first.
func (h *History) IDs() (ids []string) {
	listed := map[string]bool{}
	for _, id := range h.order {
		if _, known := h.until[id]; known && !listed[id] {
			listed[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// expire drops the oldest ids while they were removed, are over their retention or too many.
func (h *History) expire(now time.Duration) {
	for len(h.order) > 0 {
		oldest := h.order[0]
		until, known := h.until[oldest]
		full := len(h.order) > h.maxIDs
		if known && now < until && !full {
			return
		}
		if known && now < until {
			h.evicted++
		}
		delete(h.until, oldest)
		h.order = h.order[1:]
	}
}
