package remotesite

import "time"

// Where is the kind of a choice.
type Where uint8

// Choices.
const (
	Here   Where = iota // this site's decision module has it, or has had it
	There               // it crosses
	Answer              // neither: it may not go out again, and its client is told so
)

// Choice is where a query goes.
type Choice struct {
	Where Where
	Peer  int // with There
}

// Chooser chooses for one gateway. Its zero value is ready.
type Chooser struct {
	spilling map[string]bool // by class
	warm     warmth
}

// Choose decides where a query goes. room is what this site has for its class, as a share.
//
// Work crosses only where this site has next to none (or has turned it away), to the peer that
// is believed to have most, less what the way there takes of the query's time, within what that
// peer said it takes; and once it crosses, until this site has clearly room again. So two full
// sites keep their own, one that frees up gets its own back, and since nothing crosses twice
// there is no loop with any number of sites.
func (c *Chooser) Choose(cfg Config, now time.Duration, q *Query, room float64, peers []*Peer) Choice {
	if !Again(cfg, q, 0) {
		return Choice{Where: Answer}
	}
	if q.Foreign {
		return Choice{Where: Here}
	}
	if q.Turned {
		room = 0
	}
	if c.spilling == nil {
		c.spilling = map[string]bool{}
	}
	switch {
	case room < cfg.SpillBelow:
		c.spilling[q.Class] = true
	case room > cfg.StopAbove:
		c.spilling[q.Class] = false
	}
	if !c.spilling[q.Class] || q.Worth < cfg.Price {
		c.warm.ran(now, q.Group, home)
		return Choice{Where: Here}
	}
	best, most := -1, 0.0
	for i, p := range peers {
		if s := c.score(cfg, now, q, room, p, i); s > most {
			best, most = i, s
		}
	}
	if best < 0 {
		c.warm.ran(now, q.Group, home)
		return Choice{Where: Here}
	}
	c.warm.ran(now, q.Group, best)
	peers[best].credit -= q.Work
	return Choice{There, best}
}

// score is how much better off a query is at a peer, in shares of room; 0 or less: it stays.
func (c *Chooser) score(cfg Config, now time.Duration, q *Query, room float64, p *Peer, place int) float64 {
	switch p.State(cfg, now) {
	case Up, Slow, Cold:
	default:
		return 0
	}
	left, ok := Left(cfg, q.Left, p.Way())
	if !ok || !Again(cfg, q, p.Way()) {
		return 0
	}
	offer := p.offers(cfg, now, q.Class)
	wanted := cfg.TakeAbove
	switch at, warm := c.warm.where(now, q.Group); {
	case !warm:
	case at == place: // its tables are warm there
		offer += cfg.Affinity
	case at == home && !q.Turned:
		wanted += cfg.Affinity
	}
	if offer < wanted || offer <= room {
		return 0
	}
	return (offer - room) * float64(left) / float64(q.Left)
}

// home is the place of this site among those where tables are warm.
const home = -1

// Bounds of what is remembered of groups: an entry past warmFor counts for nothing, and past
// warmMost entries all that are as old go.
const (
	warmFor  = 30 * time.Second
	warmMost = 1024
)

// warmth remembers where the queries of a group of tables ran last.
type warmth struct{ at map[int64]ranAt }

type ranAt struct {
	place int
	at    time.Duration
}

func (w *warmth) ran(now time.Duration, group int64, place int) {
	if group == 0 {
		return
	}
	if w.at == nil {
		w.at = map[int64]ranAt{}
	}
	if _, known := w.at[group]; !known && len(w.at) >= warmMost {
		for g, r := range w.at {
			if now-r.at >= warmFor {
				delete(w.at, g)
			}
		}
		if len(w.at) >= warmMost { // more groups than it can tell apart: none is warm
			clear(w.at)
		}
	}
	w.at[group] = ranAt{place, now}
}

func (w *warmth) where(now time.Duration, group int64) (place int, ok bool) {
	r, known := w.at[group]
	if group == 0 || !known || now-r.at >= warmFor {
		return 0, false
	}
	return r.place, true
}
