package remotesite

import (
	"fmt"
	"time"
)

// State is the state that a peer is believed to be in.
type State uint8

// States. Queries are sent only in Up, Slow and RampingUp.
const (
	Unreachable State = iota // it does not reply: what is there is in doubt
	Up                       // it replies in time
	Slow                     // it replies, and the round trip takes long
	RampingUp                // it is back after it was unreachable
	Draining                 // it accepts nothing new, by its own word or an operator's here
	Departed                 // it has left, by its own word
)

// stateNames appear in events, counters and the overview of operators.
var stateNames = [...]string{
	Unreachable: "silent",
	Up:          "up",
	Slow:        "slow",
	RampingUp:   "cold",
	Draining:    "draining",
	Departed:    "gone",
}

func (s State) String() string { return stateNames[s] }

func (s State) acceptsQueries() bool { return s == Up || s == Slow || s == RampingUp }

// State returns the state that the peer is believed to be in.
func (p *Peer) State(cfg Config, now time.Duration) State {
	switch {
	case p.departed:
		return Departed
	case !p.connected || p.lastReply == 0 || now-p.lastReply >= cfg.UnreachableAfter:
		return Unreachable
	case p.drainedHere || p.digest.Draining:
		return Draining
	case now-p.reachedAt < cfg.RampDuration:
		return RampingUp
	case p.slow:
		return Slow
	}
	return Up
}

// Change is a change of a peer's state.
type Change struct {
	From, To State
	Reason   Reason
}

// ReasonKind is the kind of evidence for a change of state.
type ReasonKind uint8

// Kinds of reasons.
const (
	NoReply ReasonKind = iota + 1
	LinkDown
	Recovered
	HighRTT
	FirstReply
	ReplyAfterOutage
	DrainedByOperator
	PeerRequest // the peer has said so
)

// Reason is the evidence for a change of state.
type Reason struct {
	Kind ReasonKind
	For  time.Duration // without a reply, or with replies since the peer recovered
	RTT  time.Duration
}

// String describes the reason for operators.
func (r Reason) String() string {
	rtt := r.RTT.Round(time.Millisecond)
	switch r.Kind {
	case NoReply:
		return fmt.Sprintf("no reply for %v", r.For.Round(time.Millisecond))
	case LinkDown:
		return "its link is down"
	case Recovered:
		return fmt.Sprintf("heard for %v since its silence; round trip %v", r.For.Round(time.Second), rtt)
	case HighRTT:
		return fmt.Sprintf("round trip %v", rtt)
	case FirstReply:
		return "heard for the first time"
	case ReplyAfterOutage:
		return "heard again after a silence"
	case DrainedByOperator:
		return "drained by an operator here"
	case PeerRequest:
		return "by its own word"
	}
	return ""
}

// StateChange returns the change of state since its last call, if there is one. Its first call
// reports the state at the start, unless that is Unreachable.
func (p *Peer) StateChange(cfg Config, now time.Duration) (c Change, changed bool) {
	c = Change{From: p.reportedState, To: p.State(cfg, now)}
	if c.From == c.To {
		return c, false
	}
	c.Reason = p.reasonFor(c.To, now)
	p.reportedState = c.To
	p.wasReported = true
	return c, true
}

func (p *Peer) reasonFor(s State, now time.Duration) Reason {
	switch s {
	case Unreachable:
		if !p.connected {
			return Reason{Kind: LinkDown}
		}
		return Reason{Kind: NoReply, For: now - p.lastReply}
	case Up:
		return Reason{Kind: Recovered, For: now - p.reachedAt, RTT: p.rtt}
	case Slow:
		return Reason{Kind: HighRTT, RTT: p.rtt}
	case RampingUp:
		if !p.wasReported {
			return Reason{Kind: FirstReply}
		}
		return Reason{Kind: ReplyAfterOutage}
	case Draining:
		if p.drainedHere {
			return Reason{Kind: DrainedByOperator}
		}
	}
	return Reason{Kind: PeerRequest}
}
