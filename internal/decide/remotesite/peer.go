package remotesite

import (
	"math"
	"time"
)

// Peer holds what this gateway knows of a gateway at another site. The zero value is an unreachable
// peer.
type Peer struct {
	lastReply         time.Duration // time of the last reply; 0 means never
	reachableSince    time.Duration // time of the first reply after it was unreachable
	rtt               time.Duration // smoothed round-trip time; 0 means not measured
	rttDeviation      time.Duration // smoothed mean deviation of the round-trip time
	slow              bool          // rtt has exceeded Config.SlowRTT and not fallen enough since
	connected         bool          // there is a link to the peer
	drainedByOperator bool          // an operator at this site has drained it
	departed          bool          // it has reported that it leaves

	digest   Digest        // the last one received
	digestAt time.Duration // when digest was received
	// credit is the work, in core-seconds, that may still be forwarded to the peer. It is negative
	// after a query that was larger than the credit left.
	credit float64

	distrust   float64       // discount on its digests for recent failures, 0 to 1, as of distrustAt
	distrustAt time.Duration // when distrust was last updated

	reportedState State // the state that StateChange last reported
	stateReported bool  // StateChange has reported a state
}

const (
	// rttGain and rttDeviationGain are the inverse gains of the smoothed round-trip time and of its
	// deviation, as in RFC 6298.
	rttGain          = 8
	rttDeviationGain = 4
	// distrustGain is the weight of one failure in the distrust of a peer, trustGain that of one
	// success.
	distrustGain = 0.15
	trustGain    = 0.1
	// distrustDecay is the time constant with which distrust decays by itself, so that a peer that has
	// failed is tried again now and then.
	distrustDecay = 5 * time.Second
)

// RecordReply records a reply of the peer to a message of this gateway, with its round-trip time; an
// rtt of 0 means that none was measured. A reply proves that both directions of the link work; an
// unsolicited message doesn't prove that the peer receives anything. The first reply after the peer
// was unreachable starts the ramp, as its engines may have restarted.
func (p *Peer) RecordReply(cfg Config, now, rtt time.Duration) {
	if p.lastReply == 0 || now-p.lastReply >= cfg.UnreachableAfter {
		p.reachableSince = now
		p.digest = Digest{} // it dates from before the outage and may be wrong by now
		p.dropUnusedCredit()
	}
	p.lastReply = now
	p.departed = false
	if rtt > 0 {
		p.recordRTT(cfg, rtt)
	}
}

// recordRTT updates the smoothed round-trip time and whether the peer is slow.
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

// RecordDigest records the peer's digest and replaces the unused credit by the work that the peer
// accepts, times the ramp fraction. A debt left by a large query is subtracted from it. A draining peer
// gets no credit.
func (p *Peer) RecordDigest(cfg Config, now time.Duration, d Digest) {
	p.digest = d
	p.digestAt = now
	work := d.AcceptableWork
	if !(work > 0) || math.IsInf(work, 1) { // NaN, infinite or negative
		work = 0
	}
	p.dropUnusedCredit()
	if !d.Draining {
		p.credit += work * p.RampFraction(cfg, now)
	}
}

// dropUnusedCredit resets a positive credit to 0 and keeps a negative one. If the debt of a large query
// were dropped when the peer drains, leaves or becomes unreachable, the peer would be sent another
// such query on its next digest.
func (p *Peer) dropUnusedCredit() { p.credit = min(p.credit, 0) }

// RecordDeparture records that the peer has reported its departure. It gets no queries until it replies
// again.
func (p *Peer) RecordDeparture() {
	p.departed = true
	p.dropUnusedCredit()
}

// SetDrained sets whether an operator at this site has drained the peer.
func (p *Peer) SetDrained(drained bool) { p.drainedByOperator = drained }

// SetConnected sets whether there is a link to the peer. Without a link it is unreachable at once.
func (p *Peer) SetConnected(connected bool) { p.connected = connected }

// IsDrained reports whether an operator at this site has drained the peer.
func (p *Peer) IsDrained() bool { return p.drainedByOperator }

// RampFraction returns the fraction of its acceptable work that the peer may be sent. It grows
// linearly from Config.RampStart to 1 during the ramp.
func (p *Peer) RampFraction(cfg Config, now time.Duration) float64 {
	age := now - p.reachableSince
	if cfg.RampDuration <= 0 || age >= cfg.RampDuration {
		return 1
	}
	return cfg.RampStart + (1-cfg.RampStart)*max(float64(age)/float64(cfg.RampDuration), 0)
}

// OneWayDelay returns a cautious estimate of the network delay to the peer: half of the round-trip
// time, plus its mean deviation up to as much again. The delays of the two directions can't be told
// apart without trusting the peer's clock.
func (p *Peer) OneWayDelay() time.Duration { return p.rtt/2 + min(p.rttDeviation, p.rtt/2) }

// RTT returns the smoothed round-trip time; 0 means that none was measured.
func (p *Peer) RTT() time.Duration { return p.rtt }

// SinceReply returns the time since the peer's last reply; a negative value means that it has never
// replied.
func (p *Peer) SinceReply(now time.Duration) time.Duration {
	if p.lastReply == 0 {
		return -1
	}
	return now - p.lastReply
}

// FreeCapacity returns the free capacity for a class according to the peer's last digest, as a
// fraction; 0 if the digest doesn't list the class.
func (p *Peer) FreeCapacity(class string) float64 { return p.digest.FreeCapacity[class] }

// Credit returns the work, in core-seconds, that may still be forwarded before the peer's next digest.
// It is negative after a query that was larger than the credit left.
func (p *Peer) Credit() float64 { return p.credit }

// RecordSuccess records that the peer has served a forwarded query.
func (p *Peer) RecordSuccess(now time.Duration) {
	p.decayDistrust(now)
	p.distrust -= p.distrust * trustGain
}

// RecordFailure records that the peer has not served a forwarded query although its digest offered
// the capacity.
func (p *Peer) RecordFailure(now time.Duration) {
	p.decayDistrust(now)
	p.distrust += (1 - p.distrust) * distrustGain
}

// decayDistrust brings the stored distrust up to date.
func (p *Peer) decayDistrust(now time.Duration) {
	p.distrust = p.Distrust(now)
	p.distrustAt = now
}

// Distrust returns the fraction, 0 to 1, by which the offered capacity of the peer is reduced because
// of recent failures.
func (p *Peer) Distrust(now time.Duration) float64 {
	return p.distrust * math.Exp(-float64(max(now-p.distrustAt, 0))/float64(distrustDecay))
}

// offeredCapacity returns the free capacity for a class that this gateway expects the peer to have, as a
// fraction: the one in its digest, reduced by the digest's age and by recent failures. It is 0 without
// credit and once the digest is Config.DigestMaxAge old.
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
