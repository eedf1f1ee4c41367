package membership

const (
	// arbitrateHeartbeats is how long this member observes a member that it was asked to ping, in heartbeat intervals.
	arbitrateHeartbeats = 6
	// gossipSyncHeartbeats is how long gossip must differ before it is requested, and the shortest time between two
	// requests, in heartbeat intervals.
	gossipSyncHeartbeats = 3
	// maxWitnessesSent limits how many witnesses' records are sent to a member that was excluded from the view.
	maxWitnessesSent = 3
)

// receive processes a datagram. It drops one whose sender field does not match the member at the source address, so
// that a member cannot impersonate others.
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

// noteHeard records that p is alive, and what the datagram header reports about it.
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

// compareDigests tracks since when the records and the gossip of p differ from this member's.
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

// respond carries out the request in a datagram. It returns false after a request for records or gossip, whose sender
// gets nothing but the answer.
func (n *Node) respond(p *peer, m message) bool {
	switch m.Kind {
	case kindHeartbeat:
		p.countHeartbeat(m.Sequence, &n.health.lossRate)
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

// pingForOther pings a member on behalf of another one that got no answer from it.
func (n *Node) pingForOther(id ID) {
	p := n.members.byID[id]
	if p == nil || p == n.self || !p.known {
		return
	}
	p.arbitrateUntil = n.now + n.heartbeats(arbitrateHeartbeats)
	n.monitor.stale = true
	n.sendRecords(kindPing, p, 0, nil)
}

// synchronize sends p what it evidently lacks, or requests what this member lacks.
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

// synchronizeRecords sends or requests at most one set of records, depending on what the datagram shows about p.
func (n *Node) synchronizeRecords(p *peer, m message) {
	switch {
	case m.Incarnation < p.record.Incarnation: // p has restarted, or does not know the statements about it
		p.syncedAt = n.now
		n.sendRecords(kindRecords, p, 0, []record{p.record})
	case m.Incarnation > p.record.Incarnation && p.known: // the record that refutes statements about p was lost
		n.requestRecords(p)
	case p.known && !p.state.InView(): // tell p that it is excluded, and by whom
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

// mergeRecord handles a received record of another member, or an earlier record of this one that others remember. A new
// record is forwarded.
func (n *Node) mergeRecord(r record) {
	if p := n.storeRecord(r); p != nil {
		n.queueRecord(r.Author)
	}
}

// mergeAnswer handles a record from the answer to a request. Other members already have it, so it is forwarded only if
// it is urgent.
func (n *Node) mergeAnswer(r record) {
	p := n.storeRecord(r)
	if p == nil {
		return
	}
	n.sync.newRecords++
	if p.urgent {
		n.queueRecord(r.Author)
	}
}

// storeRecord stores a record and returns its author's peer, or nil if the record is not new.
func (n *Node) storeRecord(r record) *peer {
	if r.Author == n.self.id {
		if n.isSupersededBy(r) {
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
			n.outbox.markSent(r.Author) // the sender has it
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
		n.restartObservation(p)
	}
	p.known = true
	return p
}

// isSupersededBy reports whether others remember a record of this member that is newer than its own one, or a different
// one with the same numbers. Such a record is from an earlier process of this member, or forged.
func (n *Node) isSupersededBy(remembered record) bool {
	own := n.self.record
	if remembered.Incarnation != own.Incarnation {
		return remembered.Incarnation > own.Incarnation
	}
	if remembered.Sequence > own.Sequence || remembered.Departed && !n.leaving {
		return true
	}
	return remembered.Sequence == own.Sequence && remembered.hash() != own.hash()
}

// restartObservation starts observing p again after its incarnation has changed.
func (n *Node) restartObservation(p *peer) {
	n.monitor.stale = true
	n.ownStatements.stale = true
	if p.known && p.state.InView() && p.ownRecordSaysNotHeard() && p.lastHeard < n.now {
		// p has learned that it is not heard, and other members report its new incarnation, so it is alive. A failed
		// member is observed from the start instead, as the members that could report it alive may have lost contact
		// with it meanwhile.
		if p.ownObservation == notHeard {
			n.countContradiction()
		}
		p.ownObservation = notHeardButAlive
	} else {
		p.ownObservation = noObservation
	}
	p.pingsSent = 0
	p.silentSince = n.now
	p.lastHeartbeat = 0
}
