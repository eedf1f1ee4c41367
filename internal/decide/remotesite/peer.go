package remotesite

import (
	"math"
	"time"
)

// Peer is a gateway at another site, as this one sees it. Its zero value is unreachable.
type Peer struct {
	lastReply    time.Duration // 0: never
	reachedAt    time.Duration // first reply after it was unreachable
	rtt          time.Duration // smoothed
	rttDeviation time.Duration // mean
	slow         bool
	connected    bool
	drainedHere  bool // by an operator at this site
	departed     bool

	digest   Digest
	digestAt time.Duration
	credit   float64 // of the acceptable work, not used yet; below 0 after one query larger than it

	distrust   float64 // 0 to 1: of its digests, by recent failures
	distrustAt time.Duration

	reportedState State // by StateChange
	wasReported   bool
}

const (
	// Gains of the round trip as in RFC 6298, inverse.
	rttGain          = 8
	rttDeviationGain = 4
	// Weights of one outcome in the distrust of a peer.
	distrustGain = 0.15
	trustGain    = 0.1
	// distrustDecay is the time constant of distrust: a peer that fails is tried again now and then.
	distrustDecay = 5 * time.Second
)

// RecordReply takes a reply of the peer, which proves both ways, with its round trip where one was
// measured (0: none). What a peer sends by itself proves one way only, and not that it receives.
// The first reply after the peer was unreachable begins the ramp: its engines may have restarted.
func (p *Peer) RecordReply(cfg Config, now, rtt time.Duration) {
	if p.lastReply == 0 || now-p.lastReply >= cfg.UnreachableAfter {
		p.reachedAt = now
		p.digest = Digest{} // the earlier one may no longer hold
		p.dropCredit()
	}
	p.lastReply = now
	p.departed = false
	if rtt > 0 {
		p.recordRTT(cfg, rtt)
	}
}

func (p *Peer) recordRTT(cfg Config, rtt time.Duration) {
	if p.rtt == 0 {
		p.rtt = rtt
		p.rttDeviation = rtt / 2
	}
	err := rtt - p.rtt
	p.rttDeviation += (max(err, -err) - p.rttDeviation) / rttDeviationGain
	p.rtt += err / rttGain
	switch {
	case p.rtt > cfg.SlowRTT:
		p.slow = true
	case p.rtt < cfg.SlowRTT*3/4:
		p.slow = false
	}
}

// RecordDigest takes the peer's report of itself.
func (p *Peer) RecordDigest(cfg Config, now time.Duration, d Digest) {
	p.digest = d
	p.digestAt = now
	work := d.AcceptableWork
	if !(work > 0) || math.IsInf(work, 1) { // NaN, infinite or negative
		work = 0
	}
	p.dropCredit()
	if !d.Draining {
		p.credit += work * p.RampFraction(cfg, now)
	}
}

// dropCredit drops what is left of the peer's credit, and keeps what one query took beyond it.
// Guards against a peer that drains, leaves or becomes unreachable just behind a large query, and
// is sent another on its first digest.
func (p *Peer) dropCredit() { p.credit = min(p.credit, 0) }

// RecordDeparture takes the peer's word that it has left: its digest holds no more.
func (p *Peer) RecordDeparture() {
	p.departed = true
	p.dropCredit()
}

// SetDrained takes whether an operator at this site has drained the peer.
func (p *Peer) SetDrained(drained bool) { p.drainedHere = drained }

// SetConnected takes whether there is a link to the peer. Without one it is unreachable at once.
func (p *Peer) SetConnected(connected bool) { p.connected = connected }

// IsDrained tells whether an operator at this site has drained the peer.
func (p *Peer) IsDrained() bool { return p.drainedHere }

// RampFraction returns the fraction of its acceptable work that the peer is sent.
func (p *Peer) RampFraction(cfg Config, now time.Duration) float64 {
	age := now - p.reachedAt
	if cfg.RampDuration <= 0 || age >= cfg.RampDuration {
		return 1
	}
	return cfg.RampStart + (1-cfg.RampStart)*max(float64(age)/float64(cfg.RampDuration), 0)
}

// OneWayDelay returns the delay of one way to the peer with its usual deviation: half of the round
// trip, which is all that can be known without trusting the peer's clock.
func (p *Peer) OneWayDelay() time.Duration { return p.rtt/2 + min(p.rttDeviation, p.rtt/2) }

// RTT returns the smoothed round trip; 0: none was measured.
func (p *Peer) RTT() time.Duration { return p.rtt }

// SinceReply returns how long ago the peer last replied; below 0: never.
func (p *Peer) SinceReply(now time.Duration) time.Duration {
	if p.lastReply == 0 {
		return -1
	}
	return now - p.lastReply
}

// FreeCapacity returns the free capacity for a class in the peer's last digest.
func (p *Peer) FreeCapacity(class string) float64 { return p.digest.FreeCapacity[class] }

// Credit returns the work, in seconds of one core, that may still be forwarded until the peer's
// next digest.
func (p *Peer) Credit() float64 { return p.credit }

// RecordSuccess takes that a forwarded query was served.
func (p *Peer) RecordSuccess(now time.Duration) {
	p.decayDistrust(now)
	p.distrust -= p.distrust * trustGain
}

// RecordFailure takes that a forwarded query was not served, although the digest accepted it.
func (p *Peer) RecordFailure(now time.Duration) {
	p.decayDistrust(now)
	p.distrust += (1 - p.distrust) * distrustGain
}

func (p *Peer) decayDistrust(now time.Duration) {
	p.distrust = p.Distrust(now)
	p.distrustAt = now
}

// Distrust returns the fraction of the peer's digest that is not believed.
func (p *Peer) Distrust(now time.Duration) float64 {
	return p.distrust * math.Exp(-float64(max(now-p.distrustAt, 0))/float64(distrustDecay))
}

// offeredCapacity returns the free capacity for a class that the peer is believed to have: that of
// its digest, less for the digest's age and for recent failures.
func (p *Peer) offeredCapacity(cfg Config, now time.Duration, class string) float64 {
	age := now - p.digestAt
	if age >= cfg.DigestMaxAge || p.credit <= 0 {
		return 0
	}
	capacity := min(p.digest.FreeCapacity[class], 1)
	if !(capacity > 0) {
		return 0
	}
	return capacity * (1 - float64(age)/float64(cfg.DigestMaxAge)) * (1 - p.Distrust(now))
}
