package membership

import "time"

// peer is the state kept about one member, including this one. A time of 0 means that the event never happened or that
// the condition does not hold now.
type peer struct {
	id     ID
	record record // the latest record of this author
	known  bool   // whether a record was received since the start
	urgent bool   // whether others wait for the record, so that it is sent before non-urgent ones

	linkQuality

	// Direct observations of this member.
	lastHeard          time.Duration // last time that a datagram was received
	silentSince        time.Duration // start of the current silence: lastHeard, or later after a pause of this process
	monitored          bool          // whether this member monitors it
	pingsSent          int           // consecutive pings without an answer
	nextPingAt         time.Duration // earliest time of the next ping
	repeatedPings      int           // pings sent since it was reported as not heard
	ownObservation     observation   // what this member's own record states about it
	viewDigest         uint32        // digest of its view
	knownMembers       int           // number of members whose record it has
	recordsDifferSince time.Duration // since when its records digest differs from this member's
	gossipDiffersSince time.Duration // since when its gossip digest differs from this member's
	syncedAt           time.Duration // last time that it was sent differing records, or asked for them
	arbitrateUntil     time.Duration // until when this member observes it at the request of another one

	// Conclusions from all records.
	notHeardBy          []ID          // members that do not hear it
	notHeardButAliveBy  []ID          // members that do not hear it but know from others that it is alive
	heardBy             []ID          // members that state that they hear it although others do not
	statementsChangedAt time.Duration // last change of notHeardBy or heardBy
	quorumSince         time.Duration // since when enough members do not hear it
	state               State
	stateIncarnation    uint32        // its incarnation when it entered the state
	viewChangedAt       time.Duration // when it last entered or left the view
	graceUntil          time.Duration // until when, after it entered or left the view, old statements do not count
}

// isSuspected reports whether this member or any other one does not hear p.
func (p *peer) isSuspected() bool { return len(p.notHeardBy) > 0 || p.ownObservation == notHeard }

// isDisputed reports whether any record states that its author does not hear p.
func (p *peer) isDisputed() bool { return len(p.notHeardBy)+len(p.notHeardButAliveBy) > 0 }

// ownRecordSaysNotHeard reports whether this member states that it does not hear p, whether or not it knows that p is
// alive.
func (p *peer) ownRecordSaysNotHeard() bool {
	return p.ownObservation == notHeard || p.ownObservation == notHeardButAlive
}
