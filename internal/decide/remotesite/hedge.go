package remotesite

import (
	"math"
	"time"
)

// Hedge decides which crossings of safe classes are run at this site as well, while they are
// still out: those that take far longer than is usual, within a budget. Its zero value is
// ready. (Dean and Barroso, "The Tail at Scale", 2013.)
type Hedger struct {
	crossed float64 // of late; both fade
	hedged  float64
	at      time.Duration
	usual   map[string]*usual
}

type usual struct {
	mean, vary float64 // s
	n          int
}

// Bounds of hedging.
const (
	hedgeFades  = 30 * time.Second
	hedgeFree   = 1.1 // hedges that are allowed whatever crossed
	hedgeSpread = 4.0 // mean deviations over the usual from which a crossing is late
	hedgeLeast  = 8   // crossings of a class before that is known
)

func (h *Hedger) fade(now time.Duration) {
	f := math.Exp(-float64(max(now-h.at, 0)) / float64(hedgeFades))
	h.crossed, h.hedged, h.at = h.crossed*f, h.hedged*f, now
}

// Crossed counts a crossing.
func (h *Hedger) RecordForward(now time.Duration) {
	h.fade(now)
	h.crossed++
}

// Took takes how long one took that was served.
func (h *Hedger) RecordLatency(class string, took time.Duration) {
	if h.usual == nil {
		h.usual = map[string]*usual{}
	}
	u := h.usual[class]
	if u == nil {
		u = &usual{mean: took.Seconds(), vary: took.Seconds() / 2}
		h.usual[class] = u
	}
	off := took.Seconds() - u.mean
	u.n++
	u.mean += off / 20
	u.vary += (math.Abs(off) - u.vary) / 20
}

// When is how long after a crossing of a class a hedge of it may be due; ok is false where
// that isn't known yet.
func (h *Hedger) Delay(class string) (after time.Duration, ok bool) {
	u := h.usual[class]
	if u == nil || u.n < hedgeLeast {
		return 0, false
	}
	return time.Duration((u.mean + hedgeSpread*u.vary) * float64(time.Second)), true
}

// May tells whether a crossing that is late is run here as well, and counts it if so. room is
// what this site has for the class.
func (h *Hedger) Allow(cfg Config, now time.Duration, q *Query, room float64) bool {
	h.fade(now)
	if q.Idempotency != Idempotent || !MayAttempt(cfg, q, 0) || room < cfg.SpillBelow || h.hedged+1 > hedgeFree+cfg.HedgeRatio*h.crossed {
		return false
	}
	h.hedged++
	return true
}
