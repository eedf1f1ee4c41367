package policy

import (
	"maps"
	"slices"
	"time"
)

// orderedKeys makes the queries of an ordered class run one at a time for each key, in the order of arrival.
type orderedKeys struct {
	queues  map[string]*keyQueue
	waiting []*query // queries whose turn has not come, of all keys, in the order of arrival
}

// keyQueue holds the queries of one key that are not over.
type keyQueue struct {
	queries []*query
	// pausedUntil holds the next query back while an attempt of an earlier one may still run.
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

// isTurn tells whether all earlier queries of the key are over and, before the first attempt, its pause too.
func (o *orderedKeys) isTurn(q *query, now time.Duration) bool {
	if !isOrdered(q) {
		return true
	}
	queue := o.queues[q.key]
	return queue.queries[0] == q && (now >= queue.pausedUntil || len(q.attempts) > 0)
}

// pause holds the key's next query back after an attempt of q that may still run.
func (o *orderedKeys) pause(q *query, until time.Duration) {
	if queue := o.queues[q.key]; queue != nil && q.class.Ordered {
		queue.pausedUntil = max(queue.pausedUntil, until)
	}
}

// wait keeps a query until its turn has come.
func (o *orderedKeys) wait(q *query) { o.waiting = append(o.waiting, q) }

// prune drops the queues of keys that have neither a query nor a pause.
func (o *orderedKeys) prune(now time.Duration) {
	maps.DeleteFunc(o.queues, func(_ string, queue *keyQueue) bool {
		return len(queue.queries) == 0 && now >= queue.pausedUntil
	})
}

// admitWaiting admits the queries whose turn has come, in the order of their arrival.
func (g *Gateway) admitWaiting() {
	waiting := g.orderedKeys.waiting
	g.orderedKeys.waiting = nil
	for _, q := range waiting {
		switch {
		case q.answered:
		case g.orderedKeys.isTurn(q, g.now):
			g.admit(q)
		default:
			g.orderedKeys.wait(q)
		}
	}
}
