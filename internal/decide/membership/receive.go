package membership

const (
	// arbitrateHeartbeats is how long, in heartbeat intervals, this member observes one that it was asked to ping.
	arbitrateHeartbeats = 6
	// gossipSyncHeartbeats is how long, in heartbeat intervals, gossip must differ before it is requested, and how
	// long one request waits after another.
	gossipSyncHeartbeats = 3
	// maxWitnessesSent bounds the witnesses' records that an excluded member is sent.
	maxWitnessesSent = 3
)

// receive reads a datagram. One that names another sender than the member at its source address is dropped: guards
// against a member that poses as others.
func (n *Node) receive(from ID, datagram []byte) {
	body, err := verifyChecksum(datagram)
	var m message
	if err == nil {
		m, err = decodeMessage(body)
	}
	if err != nil || m.From != from || from == n.self.id || len(datagram) > n.config.MaxDatagramBytes {
		n.DroppedDatagrams++
		return
	}
	if !n.mayAdd(from) {
		n.DroppedDatagrams++
		return
	}
	p := n.members.getOrAdd(from)
	n.noteHeard(p, m)
	for _, r := range m.Records {
		if m.Kind == kindRecords && m.Argument > 0 {
			n.mergeAnswer(r)
		} else {
			n.mergeRecord(r)
		}
	}
	n.compareDigests(p, m)
	for _, g := range m.Gossip {
		n.receiveGossip(g)
	}
	if n.respond(p, m) {
		n.synchronize(p, m)
	}
}

// noteHeard notes that a peer is alive and what its datagram's header reports.
func (n *Node) noteHeard(p *peer, m message) {
	p.lastHeard = n.now
	p.silentSince = n.now
	p.pingsSent = 0
	n.health.lastHeardAny = n.now
	p.viewDigest = m.View.Digest
	p.knownMembers = int(m.KnownMembers)
	if m.View.Digest == n.views.current.Digest {
		n.views.current.Number = max(n.views.current.Number, m.View.Number)
	}
	n.views.highestNumber = max(n.views.highestNumber, m.View.Number)
}

// compareDigests notes since when a peer's records and gossip differ from this member's.
func (n *Node) compareDigests(p *peer, m message) {
	switch {
	case m.RecordsDigest&^gossipDigestMask == n.members.digest&^gossipDigestMask:
		p.recordsDifferSince = 0
	case p.recordsDifferSince == 0:
		p.recordsDifferSince = n.now
	}
	if m.Kind != kindHeartbeat {
		return
	}
	switch {
	case m.RecordsDigest&gossipDigestMask == n.gossipDigestByte(m.Sequence):
		p.gossipDiffersSince = 0
	case p.gossipDiffersSince == 0:
		p.gossipDiffersSince = n.now
	}
}

// respond does what a datagram asks for. It returns false after a request for records or gossip, whose answer is all
// that the sender gets.
func (n *Node) respond(p *peer, m message) bool {
	switch m.Kind {
	case kindHeartbeat:
		p.noteHeartbeat(m.Sequence, &n.health.lossRate)
	case kindPing:
		n.sendRecords(kindAck, p, uint64(m.Sequence), nil)
	case kindPingRequest:
		n.pingForOther(ID(m.Argument))
	case kindRecordsRequest:
		n.answerRecordsRequest(p, m)
		return false
	case kindGossipRequest:
		n.sendGossip(p, func(k gossipKey) bool { return !m.excludes(k.hash(), n.gossip.messages[k].hash()) })
		return false
	}
	return true
}

// pingForOther pings a member for another one that got no answer from it.
func (n *Node) pingForOther(id ID) {
	p := n.members.byID[id]
	if p == nil || p == n.self || !p.known {
		return
	}
	p.arbitrateUntil = n.now + n.heartbeats(arbitrateHeartbeats)
	n.monitor.stale = true
	n.sendRecords(kindPing, p, 0, nil)
}

// synchronize sends a peer what it visibly lacks, or requests from it what this member lacks.
func (n *Node) synchronize(p *peer, m message) {
	if n.now-p.syncedAt >= n.config.HeartbeatInterval && !n.leaving {
		n.synchronizeRecords(p, m)
	}
	wait := n.heartbeats(gossipSyncHeartbeats)
	isDifferent := p.gossipDiffersSince > 0 && n.now-p.gossipDiffersSince > wait
	if isDifferent && n.now-n.gossip.requestedAt > wait && len(n.gossip.pending) == 0 && !n.leaving {
		n.requestGossip(p)
	}
}

func (n *Node) synchronizeRecords(p *peer, m message) {
	switch {
	case m.Incarnation < p.record.Incarnation: // it has started anew, or did not learn what was stated of it
		p.syncedAt = n.now
		n.sendRecords(kindRecords, p, 0, []record{p.record})
	case m.Incarnation > p.record.Incarnation && p.known: // its answer to what was stated of it was lost
		n.requestRecords(p)
	case p.known && !p.state.InView(): // it learns that it is excluded, and by whom
		p.syncedAt = n.now
		records := []record{p.record}
		for _, id := range p.notHeardBy[:min(maxWitnessesSent, len(p.notHeardBy))] {
			records = append(records, n.members.byID[id].record)
		}
		n.sendRecords(kindRecords, p, 0, records)
	case n.shouldRequestRecords(p) && n.now-n.sync.requestedAt >= n.syncInterval(p):
		n.requestRecords(p)
	}
}

// mergeRecord takes a record of another member, or what others remember of this one. A new one is passed on.
func (n *Node) mergeRecord(r record) {
	if p := n.storeRecord(r); p != nil {
		n.queueRecord(r.Author)
	}
}

// mergeAnswer takes a record that came in the answer to a request. Others know it already, so it is passed on only
// where some wait for it.
func (n *Node) mergeAnswer(r record) {
	p := n.storeRecord(r)
	if p == nil {
		return
	}
	n.sync.gained++
	if p.urgent {
		n.queueRecord(r.Author)
	}
}

// storeRecord keeps a record and returns its author's peer, or nil where the record is not new.
func (n *Node) storeRecord(r record) *peer {
	if r.Author == n.self.id {
		if n.isObsolete(r) {
			n.startIncarnation(r.Incarnation + 1)
		}
		return nil
	}
	if !n.mayAdd(r.Author) {
		return nil
	}
	p := n.members.getOrAdd(r.Author)
	if p.known && !r.isNewerThan(p.record) {
		if r.Incarnation == p.record.Incarnation && r.Sequence == p.record.Sequence && n.outbox.pending[r.Author] > 0 {
			n.outbox.markSent(r.Author) // the sender knows it
		}
		return nil
	}
	if p.known {
		n.members.toggleDigest(p.record)
	} else {
		n.members.known++
	}
	isNewIncarnation := r.Incarnation != p.record.Incarnation
	p.urgent = r.isUrgent() || p.known && r.isUrgentAfter(p.record)
	p.record = r
	n.recordsChanged = true
	n.members.toggleDigest(r)
	if isNewIncarnation {
		n.observeAnew(p)
	}
	p.known = true
	return p
}

// isObsolete tells whether others remember a record of this member that is newer than its own, or another one with the
// same numbers: of an earlier process, or a forged one.
func (n *Node) isObsolete(remembered record) bool {
	own := n.self.record
	if remembered.Incarnation != own.Incarnation {
		return remembered.Incarnation > own.Incarnation
	}
	if remembered.Sequence > own.Sequence || remembered.Departed && !n.leaving {
		return true
	}
	return remembered.Sequence == own.Sequence && remembered.hash() != own.hash()
}

// observeAnew starts the observation of a peer's new incarnation.
func (n *Node) observeAnew(p *peer) {
	n.monitor.stale = true
	n.ownStatements.stale = true
	if p.known && p.state.InView() && p.hasOwnComplaint() && p.lastHeard < n.now {
		// It has learned that it is not heard, and others report that it is alive. A failed one is observed from the
		// beginning, as those who could report so may have lost it meanwhile.
		if p.ownObservation == notHeard {
			n.noteContradiction()
		}
		p.ownObservation = notHeardButAlive
	} else {
		p.ownObservation = noObservation
	}
	p.pingsSent = 0
	p.silentSince = n.now
	p.lastHeartbeat = 0
}
