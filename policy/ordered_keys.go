package policy

import (
	"maps"
	"slices"
	"time"
)

// orderedKeys serializes the queries of ordered classes: the queries of one key run one at a time, in the
// order of arrival.
type orderedKeys struct {
	// queues holds the queue of each key.
	queues map[string]*keyQueue
	// waiting holds the queries of all keys that wait for their turn, in the order of arrival.
	waiting []*query
}

// keyQueue holds the queries of one key that have not ended, in the order of arrival.
type keyQueue struct {
	queries []*query
	// pausedUntil is the time before which the next query must not start, as an attempt of an earlier one
	// may still be running.
	pausedUntil time.Duration
}

func isOrdered(q *query) bool { return q.class.Ordered && q.key != "" }

func (o *orderedKeys) add(q *query) {
	if !isOrdered(q) {
		return
	}
	if o.queues[q.key] == nil {
		o.queues[q.key] = &keyQueue{}
	}
	o.queues[q.key].queries = append(o.queues[q.key].queries, q)
}

func (o *orderedKeys) remove(q *query) {
	queue := o.queues[q.key]
	if !isOrdered(q) || queue == nil {
		return
	}
	queue.queries = slices.DeleteFunc(queue.queries, func(other *query) bool { return other == q })
}

// isTurn reports whether the query may run: all earlier queries of its key have ended and, for a first
// attempt, the pause of the key is over.
func (o *orderedKeys) isTurn(q *query, now time.Duration) bool {
	if !isOrdered(q) {
		return true
	}
	queue := o.queues[q.key]
	return queue.queries[0] == q && (now >= queue.pausedUntil || len(q.attempts) > 0)
}

// pause delays the next query of the key of q, after an attempt of q that may still be running.
func (o *orderedKeys) pause(q *query, until time.Duration) {
	if queue := o.queues[q.key]; queue != nil && q.class.Ordered {
		queue.pausedUntil = max(queue.pausedUntil, until)
	}
}

// addWaiting adds a query that must wait for its turn.
func (o *orderedKeys) addWaiting(q *query) { o.waiting = append(o.waiting, q) }

// prune drops the queues of keys that have neither queries nor a pause.
func (o *orderedKeys) prune(now time.Duration) {
	maps.DeleteFunc(o.queues, func(_ string, queue *keyQueue) bool {
		return len(queue.queries) == 0 && now >= queue.pausedUntil
	})
}

// admitWaiting admits the waiting queries whose turn has come, in the order of arrival.
func (g *Gateway) admitWaiting() {
	waiting := g.orderedKeys.waiting
	g.orderedKeys.waiting = nil
	for _, q := range waiting {
		switch {
		case q.answered:
		case g.orderedKeys.isTurn(q, g.now):
			g.admit(q)
		default:
			g.orderedKeys.addWaiting(q)
		}
	}
}
