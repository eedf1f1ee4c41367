package remotesite

import "time"

// Where is the kind of a choice.
type Destination uint8

// Choices.
const (
	Local  Destination = iota // this site's decision module has it, or has had it
	Remote                    // it crosses
	Reject                    // neither: it may not go out again, and its client is told so
)

// Choice is where a query goes.
type Choice struct {
	Destination Destination
	Peer        int // with There
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
	if !MayAttempt(cfg, q, 0) {
		return Choice{Destination: Reject}
	}
	if q.Forwarded {
		return Choice{Destination: Local}
	}
	if q.RejectedLocally {
		room = 0
	}
	if c.spilling == nil {
		c.spilling = map[string]bool{}
	}
	switch {
	case room < cfg.SpillBelow:
		c.spilling[q.Class] = true
	case room > cfg.StopSpillAbove:
		c.spilling[q.Class] = false
	}
	if !c.spilling[q.Class] || q.PriorityWeight < cfg.MinPriorityWeight {
		c.warm.ran(now, q.TableGroup, home)
		return Choice{Destination: Local}
	}
	best, most := -1, 0.0
	for i, p := range peers {
		if s := c.score(cfg, now, q, room, p, i); s > most {
			best, most = i, s
		}
	}
	if best < 0 {
		c.warm.ran(now, q.TableGroup, home)
		return Choice{Destination: Local}
	}
	c.warm.ran(now, q.TableGroup, best)
	peers[best].credit -= q.Work
	return Choice{Remote, best}
}

// score is how much better off a query is at a peer, in shares of room; 0 or less: it stays.
func (c *Chooser) score(cfg Config, now time.Duration, q *Query, room float64, p *Peer, place int) float64 {
	switch p.State(cfg, now) {
	case Up, Slow, RampingUp:
	default:
		return 0
	}
	left, ok := RemainingAfter(cfg, q.Remaining, p.OneWayDelay())
	if !ok || !MayAttempt(cfg, q, p.OneWayDelay()) {
		return 0
	}
	offer := p.offers(cfg, now, q.Class)
	wanted := cfg.MinPeerCapacity
	switch at, warm := c.warm.where(now, q.TableGroup); {
	case !warm:
	case at == place: // its tables are warm there
		offer += cfg.AffinityBonus
	case at == home && !q.RejectedLocally:
		wanted += cfg.AffinityBonus
	}
	if offer < wanted || offer <= room {
		return 0
	}
	return (offer - room) * float64(left) / float64(q.Remaining)
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
