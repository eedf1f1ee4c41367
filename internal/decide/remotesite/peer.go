package remotesite

import (
	"fmt"
	"math"
	"time"
)

// State is what is believed of a peer.
type State uint8

// States. Only Up, Slow and Cold are sent to.
const (
	Unreachable State = iota // nothing is heard of it: what is there is in doubt
	Up                       // it answers in time
	Slow                     // it answers, and the way there takes long
	RampingUp                // it is back after a silence: it is fed by a ramp
	Draining                 // it takes nothing new, by its own word or an operator's here
	Departed                 // it has left, by its own word
)

var stateNames = [...]string{"silent", "up", "slow", "cold", "draining", "gone"}

func (s State) String() string { return stateNames[s] }

// Digest is what a peer says of itself: the room that it has for each class, as a share of
// its capacity, and the work that it would take from here until its next word, in seconds of
// one core.
type Digest struct {
	FreeCapacity   map[string]float64
	AcceptableWork float64
	Draining       bool // it takes nothing new
}

// Peer is a gateway at another site, as this one sees it. Its zero value is silent.
type Peer struct {
	heard    time.Duration // the latest reply; 0: never
	back     time.Duration // since then, after a silence
	rtt      time.Duration // smoothed
	vary     time.Duration // mean deviation from it
	slow     bool
	linked   bool
	shut     bool // an operator here has drained it
	gone     bool
	digest   Digest
	told     time.Duration
	credit   float64 // of Digest.Takes, not used yet; below 0 after one query larger than it
	distrust float64 // 0 to 1: of late, what it did not do of what it said it takes
	judged   time.Duration
	last     State // as Watch told it
	watched  bool
}

// Heard takes word of the peer that proves both ways: a reply to something from here, with its
// round trip where one was measured (0: none). What a peer says by itself proves one way only, and
// nothing of whether it hears. Word after a silence, the first one too, begins the ramp: its engines may have restarted.
func (p *Peer) RecordReply(cfg Config, now, rtt time.Duration) {
	if p.heard == 0 || now-p.heard >= cfg.UnreachableAfter {
		p.back, p.digest = now, Digest{}
		p.owe() // what it said before is not known to hold
	}
	p.heard, p.gone = now, false
	if rtt <= 0 {
		return
	}
	if p.rtt == 0 {
		p.rtt, p.vary = rtt, rtt/2
	}
	off := rtt - p.rtt
	p.vary += (max(off, -off) - p.vary) / 4 // gains as in RFC 6298
	p.rtt += off / 8
	switch {
	case p.rtt > cfg.SlowRTT:
		p.slow = true
	case p.rtt < cfg.SlowRTT*3/4:
		p.slow = false
	}
}

// Told takes what the peer says of itself.
func (p *Peer) RecordDigest(cfg Config, now time.Duration, d Digest) {
	p.digest, p.told = d, now
	takes := d.AcceptableWork
	if !(takes > 0) || math.IsInf(takes, 1) { // nonsense is nothing
		takes = 0
	}
	p.owe()
	if !d.Draining {
		p.credit += takes * p.RampFraction(cfg, now)
	}
}

// owe drops what is left of the peer's credit, and keeps what one query took beyond it. Guards against a peer
// that drains, leaves or falls silent just behind a large query, and is sent another on its first word.
func (p *Peer) owe() { p.credit = min(p.credit, 0) }

// Leaves takes its word that it has left: what it said holds no more.
func (p *Peer) RecordDeparture() {
	p.gone = true
	p.owe()
}

// Shut is an operator's word here that nothing new is sent to it, or that it may be again.
func (p *Peer) SetDrained(on bool) { p.shut = on }

// Linked tells whether there is a link to it: without one it is silent at once.
func (p *Peer) SetConnected(on bool) { p.linked = on }

// IsShut tells whether an operator here has drained it.
func (p *Peer) IsDrained() bool { return p.shut }

// State is what is believed of the peer.
func (p *Peer) State(cfg Config, now time.Duration) State {
	switch {
	case p.gone:
		return Departed
	case !p.linked || p.heard == 0 || now-p.heard >= cfg.UnreachableAfter:
		return Unreachable
	case p.shut || p.digest.Draining:
		return Draining
	case now-p.back < cfg.RampDuration:
		return RampingUp
	case p.slow:
		return Slow
	}
	return Up
}

// Change is a change of what is believed, with its evidence.
type Change struct {
	From, To State
	Reason   string
}

// Watch tells whether what is believed has changed since it was called last. Its first call
// tells of the state at the start, where that is not silent.
func (p *Peer) StateChange(cfg Config, now time.Duration) (c Change, changed bool) {
	c = Change{From: p.last, To: p.State(cfg, now)}
	if c.From == c.To {
		return c, false
	}
	switch c.To {
	case Unreachable:
		if c.Reason = fmt.Sprintf("no reply for %v", (now - p.heard).Round(time.Millisecond)); !p.linked {
			c.Reason = "its link is down"
		}
	case Up:
		c.Reason = fmt.Sprintf("heard for %v since its silence; round trip %v", (now - p.back).Round(time.Second), p.rtt.Round(time.Millisecond))
	case Slow:
		c.Reason = fmt.Sprintf("round trip %v", p.rtt.Round(time.Millisecond))
	case RampingUp:
		c.Reason = "heard again after a silence"
		if !p.watched {
			c.Reason = "heard for the first time"
		}
	case Draining:
		if c.Reason = "by its own word"; p.shut {
			c.Reason = "drained by an operator here"
		}
	case Departed:
		c.Reason = "by its own word"
	}
	p.last, p.watched = c.To, true
	return c, true
}

// Ramp is the share of what it takes that it is sent.
func (p *Peer) RampFraction(cfg Config, now time.Duration) float64 {
	age := now - p.back
	if cfg.RampDuration <= 0 || age >= cfg.RampDuration {
		return 1
	}
	return cfg.RampStart + (1-cfg.RampStart)*max(float64(age)/float64(cfg.RampDuration), 0)
}

// Way is the time that one way to the peer takes: half of a round trip, which is all that can
// be known without trusting its clock, and its usual deviation.
func (p *Peer) OneWayDelay() time.Duration { return p.rtt/2 + min(p.vary, p.rtt/2) }

// RTT is the smoothed round trip; 0: none was measured.
func (p *Peer) RTT() time.Duration { return p.rtt }

// Age is how long ago it was heard; below 0: never.
func (p *Peer) SinceReply(now time.Duration) time.Duration {
	if p.heard == 0 {
		return -1
	}
	return now - p.heard
}

// Room is what it said last of its room for a class, and Credit what is left of the work that
// it said it takes.
func (p *Peer) FreeCapacity(class string) float64 { return p.digest.FreeCapacity[class] }

// Credit is the work, in seconds of one core, that may still cross until its next word.
func (p *Peer) Credit() float64 { return p.credit }

// Weights of one crossing in the trust of a peer, and the time in which distrust fades to
// a third by itself: a liar is tried again now and then.
const (
	trustDown  = 0.15
	trustUp    = 0.1
	trustFades = 5 * time.Second
)

// Did takes how a crossing ended: whether the peer did what it said it would take.
func (p *Peer) RecordOutcome(now time.Duration, well bool) {
	p.distrust = p.Distrust(now)
	p.judged = now
	if well {
		p.distrust -= p.distrust * trustUp
	} else {
		p.distrust += (1 - p.distrust) * trustDown
	}
}

// Distrust is the share of what it says that is not believed just now.
func (p *Peer) Distrust(now time.Duration) float64 {
	return p.distrust * math.Exp(-float64(max(now-p.judged, 0))/float64(trustFades))
}

// offers is the room for a class that the peer is believed to have: what it said, less for
// its age and for what it did not do of late.
func (p *Peer) offers(cfg Config, now time.Duration, class string) float64 {
	age := now - p.told
	if age >= cfg.DigestMaxAge || p.credit <= 0 {
		return 0
	}
	room := min(p.digest.FreeCapacity[class], 1)
	if !(room > 0) {
		return 0
	}
	return room * (1 - float64(age)/float64(cfg.DigestMaxAge)) * (1 - p.Distrust(now))
}
