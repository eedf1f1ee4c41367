// Package site decides, for a gateway at one site, whether a query runs here, at another site
// or nowhere, and what is believed of the other sites. Which engine runs it is each site's own
// decision module's affair. No I/O, no clock: instants are the caller's, durations of one
// origin; what another site's clock says is never used, only how long things took here.
package site

import (
	"slices"
	"time"
)

// State is what is believed of another site.
type State uint8

// States. Only Up, Slow and Cold are sent to.
const (
	Silent   State = iota // nothing is heard of it: what is there is in doubt
	Up                    // it answers in time
	Slow                  // it answers, and the way there takes long
	Cold                  // it is back after a silence: it is fed by a ramp
	Draining              // it takes nothing new, by its own word
	Gone                  // it has left, by its own word
)

var names = [...]string{"silent", "up", "slow", "cold", "draining", "gone"}

func (s State) String() string { return names[s] }

// Config bounds what is decided.
type Config struct {
	SilentAfter time.Duration // without a word a site is silent; too short: a pause is taken for a loss
	SlowAbove   time.Duration // round trip from which a site is slow; it is up again below three quarters
	ColdFor     time.Duration // after a silence the ramp takes so long; at least as the engines need
	ColdStart   float64       // share of what it says it has room for at the ramp's start, 0 to 1
	Slack       time.Duration // kept of a query's time at each hop, for the answer's way through it
	SpillBelow  float64       // room here, as a share, below which work may cross
	StopAbove   float64       // and above which it stays again; above SpillBelow
	TakeAbove   float64       // room that the other site must have
	StaleAfter  time.Duration // what a site said of its room is not believed for longer
	Tries       int           // sends of one query over all sites together
}

// Defaults are for two sites some tens of milliseconds apart.
func Defaults() Config {
	return Config{
		SilentAfter: 1500 * time.Millisecond, SlowAbove: 400 * time.Millisecond, ColdFor: 15 * time.Second, ColdStart: 0.2,
		Slack: 20 * time.Millisecond, SpillBelow: 0.1, StopAbove: 0.3, TakeAbove: 0.3, StaleAfter: 2 * time.Second, Tries: 3,
	}
}

// Digest is what a site says of itself: the room that it has for each class, as a share of
// its capacity, and the work that it would take from here until its next word, in seconds of
// one core.
type Digest struct {
	Room  map[string]float64
	Takes float64
}

// Peer is another site, as this one sees it. Its zero value is silent.
type Peer struct {
	heard    time.Duration // the latest word; 0: never
	back     time.Duration // since then, after a silence; 0: there was none
	rtt      time.Duration // smoothed
	slow     bool
	draining bool
	gone     bool
	digest   Digest
	told     time.Duration
	credit   float64         // of Digest.Takes, not used yet
	spilling map[string]bool // by class
}

// Heard takes any word of the site, with a round trip where one was measured (0: none).
// Word after a silence, the first one too, begins the ramp: its engines may have restarted.
func (p *Peer) Heard(cfg Config, now, rtt time.Duration) {
	if p.heard == 0 || now-p.heard >= cfg.SilentAfter {
		p.back, p.draining, p.gone = now, false, false
		p.credit = 0 // what it said before is not known to hold
	}
	p.heard = now
	if rtt <= 0 {
		return
	}
	if p.rtt == 0 {
		p.rtt = rtt
	}
	p.rtt += (rtt - p.rtt) / 8 // RFC 6298's gain
	switch {
	case p.rtt > cfg.SlowAbove:
		p.slow = true
	case p.rtt < cfg.SlowAbove*3/4:
		p.slow = false
	}
}

// Told takes what the site says of itself.
func (p *Peer) Told(cfg Config, now time.Duration, d Digest) {
	p.Heard(cfg, now, 0)
	p.digest, p.told = d, now
	p.credit = max(d.Takes, 0) * p.Ramp(cfg, now)
}

// Drains takes its word that it takes nothing new, and Leaves that it has left.
func (p *Peer) Drains() { p.draining, p.credit = true, 0 }
func (p *Peer) Leaves() { p.gone, p.credit = true, 0 }

// State is what is believed of the site.
func (p *Peer) State(cfg Config, now time.Duration) State {
	switch {
	case p.gone:
		return Gone
	case p.heard == 0 || now-p.heard >= cfg.SilentAfter:
		return Silent
	case p.draining:
		return Draining
	case now-p.back < cfg.ColdFor:
		return Cold
	case p.slow:
		return Slow
	}
	return Up
}

// Ramp is the share of what it takes that it is sent.
func (p *Peer) Ramp(cfg Config, now time.Duration) float64 {
	age := now - p.back
	if cfg.ColdFor <= 0 || age >= cfg.ColdFor {
		return 1
	}
	return cfg.ColdStart + (1-cfg.ColdStart)*max(float64(age)/float64(cfg.ColdFor), 0)
}

// Way is the time that one way to the site takes: half of a round trip, which is all that can
// be known without trusting its clock.
func (p *Peer) Way() time.Duration { return p.rtt / 2 }

// Left is what a query has left at the other end of a way, and ok whether that is anything.
// Both ways come off, and the slack of this hop: the answer has to come back in time.
func Left(cfg Config, wanted, way time.Duration) (left time.Duration, ok bool) {
	left = wanted - 2*way - cfg.Slack
	return left, left > 0
}

// Effect says how far a query may be repeated, as in policy.
type Effect uint8

// Effects; the zero value is the most cautious.
const (
	Unsafe Effect = iota
	Keyed
	Safe
)

// Query is one query that a gateway has.
type Query struct {
	Class    string
	Effect   Effect
	Work     float64       // expected, in seconds of one core
	Left     time.Duration // of its client's wait
	Crossed  bool          // it came from another site: it never goes on to a third
	Sends    int           // so far, over all sites
	Doubt    bool          // one of them may have run
	FirstAgo time.Duration // since the first send anywhere that may have run
	Window   time.Duration // in which repeats of its key are dropped
}

// Choice is where a query goes.
type Choice struct {
	Where Where
	Peer  int // with There
}

// Where is the kind of a choice.
type Where uint8

// Choices.
const (
	Here   Where = iota // this site's decision module has it
	There               // it crosses
	Answer              // neither: it may not go out again, and its client is told so
)

// margin is kept to the end of a key's window, beside the way.
const margin = 50 * time.Millisecond

// again tells whether a query may be sent (again), with so long a way before it.
func again(cfg Config, q *Query, way time.Duration) bool {
	switch {
	case q.Sends >= cfg.Tries:
		return false
	case !q.Doubt || q.Effect == Safe:
		return true
	case q.Effect == Keyed:
		return q.FirstAgo+way+margin < q.Window
	}
	return false
}

// Choose decides where a query goes. room is what this site has for its class, as a share.
// Work crosses only where this site has next to none, to the nearest site that says it has
// much, within what it said it would take; and once it crosses, until this site has clearly
// room again. So two full sites keep their own, and one that frees up gets its own back.
func Choose(cfg Config, now time.Duration, q *Query, room float64, peers []*Peer) Choice {
	if !again(cfg, q, 0) {
		return Choice{Where: Answer}
	}
	if q.Crossed {
		return Choice{Where: Here}
	}
	best := -1
	for i, p := range peers {
		if p.takes(cfg, now, q, room) && (best < 0 || p.rtt < peers[best].rtt) {
			best = i
		}
	}
	if best < 0 {
		return Choice{Where: Here}
	}
	peers[best].credit -= q.Work
	return Choice{There, best}
}

// takes tells whether a query may cross to a site.
func (p *Peer) takes(cfg Config, now time.Duration, q *Query, room float64) bool {
	spilling := p.spilling[q.Class]
	switch {
	case room < cfg.SpillBelow:
		spilling = true
	case room > cfg.StopAbove:
		spilling = false
	}
	if p.spilling == nil {
		p.spilling = map[string]bool{}
	}
	p.spilling[q.Class] = spilling
	state := p.State(cfg, now)
	sent := state == Up || state == Slow || state == Cold
	if !spilling || !sent || now-p.told >= cfg.StaleAfter || p.digest.Room[q.Class] < cfg.TakeAbove || p.credit < q.Work {
		return false
	}
	_, ok := Left(cfg, q.Left, p.Way())
	return ok && again(cfg, q, p.Way())
}

// Silenced tells what becomes of the queries that are at a site which has fallen silent, or is
// gone: those that may be repeated are chosen for anew, here; the others are answered now, as
// ones that may have run. It is called once a silence is seen, before any client gives up.
func Silenced(cfg Config, open []*Query) (anew, doubt []*Query) {
	for _, q := range open {
		q.Doubt = true
		if again(cfg, q, 0) {
			anew = append(anew, q)
		} else {
			doubt = append(doubt, q)
		}
	}
	return slices.Clip(anew), slices.Clip(doubt)
}
