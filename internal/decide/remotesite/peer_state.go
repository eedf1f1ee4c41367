package remotesite

import (
	"fmt"
	"time"
)

// State is the state of a peer as this gateway sees it.
type State uint8

// States of a peer. Queries are forwarded only to peers that are Up, Slow or RampingUp.
const (
	Unreachable State = iota // no reply for too long, or no link; queries sent to it are in doubt
	Up                       // replies in time
	Slow                     // replies, with a long round-trip time
	RampingUp                // replies again after it was unreachable and gets a reduced share of work
	Draining                 // gets no new queries, by its own report or an operator's action at this site
	Departed                 // has left, by its own report
)

// stateNames are the names of the states in events, counters and the operators' overview.
var stateNames = [...]string{
	Unreachable: "silent",
	Up:          "up",
	Slow:        "slow",
	RampingUp:   "cold",
	Draining:    "draining",
	Departed:    "gone",
}

// String returns the name of the state in events and counters.
func (s State) String() string { return stateNames[s] }

// acceptsQueries reports whether queries are forwarded to a peer in this state.
func (s State) acceptsQueries() bool { return s == Up || s == Slow || s == RampingUp }

// State returns the current state of the peer.
func (p *Peer) State(cfg Config, now time.Duration) State {
	switch {
	case p.departed:
		return Departed
	case !p.connected || p.lastReply == 0 || now-p.lastReply >= cfg.UnreachableAfter:
		return Unreachable
	case p.drainedByOperator || p.digest.Draining:
		return Draining
	case now-p.reachableSince < cfg.RampDuration:
		return RampingUp
	case p.slow:
		return Slow
	}
	return Up
}

// Change is a change of a peer's state.
type Change struct {
	From, To State
	Reason   Reason // why the peer is now in state To
}

// ReasonKind is the kind of reason for a change of state.
type ReasonKind uint8

// Kinds of reasons.
const (
	NoReply           ReasonKind = iota + 1 // no reply for Config.UnreachableAfter
	LinkDown                                // the link to the peer is down
	Recovered                               // the peer has been reachable for the whole ramp and isn't slow
	HighRTT                                 // the round-trip time is above Config.SlowRTT
	FirstReply                              // the peer has replied for the first time
	ReplyAfterOutage                        // the peer replies again, or accepts queries again
	DrainedByOperator                       // an operator at this site has drained the peer
	ReportedByPeer                          // the peer has reported the state itself
)

// Reason is the reason for a change of state, with the measured values that its kind needs.
type Reason struct {
	Kind     ReasonKind    // what caused the change
	Duration time.Duration // time without a reply (NoReply), or since the peer became reachable (Recovered)
	RTT      time.Duration // smoothed round-trip time (Recovered, HighRTT)
}

// String describes the reason for operators.
func (r Reason) String() string {
	rtt := r.RTT.Round(time.Millisecond)
	switch r.Kind {
	case NoReply:
		return fmt.Sprintf("no reply for %v", r.Duration.Round(time.Millisecond))
	case LinkDown:
		return "its link is down"
	case Recovered:
		return fmt.Sprintf("heard for %v since its silence; round trip %v", r.Duration.Round(time.Second), rtt)
	case HighRTT:
		return fmt.Sprintf("round trip %v", rtt)
	case FirstReply:
		return "heard for the first time"
	case ReplyAfterOutage:
		return "heard again after a silence"
	case DrainedByOperator:
		return "drained by an operator here"
	case ReportedByPeer:
		return "by its own word"
	}
	return ""
}

// StateChange returns the change of the peer's state since the last call; changed is false if there is
// none. The first call compares with Unreachable.
func (p *Peer) StateChange(cfg Config, now time.Duration) (c Change, changed bool) {
	c = Change{From: p.reportedState, To: p.State(cfg, now)}
	if c.From == c.To {
		return c, false
	}
	c.Reason = p.reasonFor(c.To, now)
	p.reportedState = c.To
	p.stateReported = true
	return c, true
}

// reasonFor returns the reason why the peer is in a state that it has just changed to.
func (p *Peer) reasonFor(s State, now time.Duration) Reason {
	switch s {
	case Unreachable:
		if !p.connected {
			return Reason{Kind: LinkDown}
		}
		return Reason{Kind: NoReply, Duration: now - p.lastReply}
	case Up:
		return Reason{Kind: Recovered, Duration: now - p.reachableSince, RTT: p.rtt}
	case Slow:
		return Reason{Kind: HighRTT, RTT: p.rtt}
	case RampingUp:
		if !p.stateReported {
			return Reason{Kind: FirstReply}
		}
		return Reason{Kind: ReplyAfterOutage}
	case Draining:
		if p.drainedByOperator {
			return Reason{Kind: DrainedByOperator}
		}
	}
	return Reason{Kind: ReportedByPeer}
}
