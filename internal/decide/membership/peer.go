package membership

import "time"

// peer is what is known of one member, this one included. A time of 0 means never or not at present.
type peer struct {
	id     ID
	record record
	known  bool // a record was received since the start
	urgent bool // others wait for the record, so it is sent ahead of others

	linkQuality

	// What this member has seen itself.
	lastHeard          time.Duration // a datagram was received
	silentSince        time.Duration // silence counts from here: lastHeard, or the end of a pause of this process
	monitored          bool
	pingsSent          int // without an answer
	nextPingAt         time.Duration
	repeatedPings      int           // since it was reported as not heard
	ownObservation     observation   // what this member's own record states of it
	viewDigest         uint32        // of its view
	knownMembers       int           // of which it has a record
	recordsDifferSince time.Duration // its records' digest is another one
	gossipDiffersSince time.Duration // its gossip's digest is another one
	syncedAt           time.Duration // it was last sent, or asked for, what differs
	arbitrateUntil     time.Duration // another member asked whether this one hears it

	// What follows from all records.
	notHeardBy          []ID
	notHeardButAliveBy  []ID          // members that don't hear it and know from others that it is alive
	heardBy             []ID          // members that hear it although others don't
	statementsChangedAt time.Duration // the last change of these
	quorumSince         time.Duration // enough members don't hear it
	state               State
	stateIncarnation    uint32        // its incarnation when it entered the state
	viewChangedAt       time.Duration // it entered or left the view
	graceUntil          time.Duration // after it entered or left the view old statements don't count yet
}

// isSuspected tells whether this member or any other does not hear the peer.
func (p *peer) isSuspected() bool { return len(p.notHeardBy) > 0 || p.ownObservation == notHeard }

// isDisputed tells whether any record states that its author does not hear the peer.
func (p *peer) isDisputed() bool { return len(p.notHeardBy)+len(p.notHeardButAliveBy) > 0 }

// hasOwnComplaint tells whether this member's record states that it does not hear the peer.
func (p *peer) hasOwnComplaint() bool {
	return p.ownObservation == notHeard || p.ownObservation == notHeardButAlive
}
