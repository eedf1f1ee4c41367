package policy

import "slices"

func (g *Gateway) enter(q *query) {
	if !q.class.Ordered || q.key == "" {
		return
	}
	if g.lanes[q.key] == nil {
		g.lanes[q.key] = &lane{}
	}
	g.lanes[q.key].line = append(g.lanes[q.key].line, q)
}

// turn tells whether all earlier queries of the key are over and, at its first attempt, its rest too.
func (g *Gateway) turn(q *query) bool {
	l := g.lanes[q.key]
	return !q.class.Ordered || q.key == "" || l.line[0] == q && (g.now >= l.rest || len(q.tries) > 0)
}

func (g *Gateway) rest(q *query) {
	if l := g.lanes[q.key]; l != nil && q.class.Ordered {
		l.rest = max(l.rest, g.now+g.set.Rules.SettleTime+g.set.CallInterval)
	}
}

func (g *Gateway) leave(q *query) {
	l := g.lanes[q.key]
	if !q.class.Ordered || q.key == "" || l == nil {
		return
	}
	l.line = slices.DeleteFunc(l.line, func(o *query) bool { return o == q })
}

// pump admits held queries whose turn has come, in the order they were taken.
func (g *Gateway) pump() {
	held := g.waiting
	g.waiting = nil
	for _, q := range held {
		switch {
		case q.done:
		case g.turn(q):
			g.admit(q)
		default:
			g.waiting = append(g.waiting, q)
		}
	}
}
