package membership

const (
	// announceHeartbeats is how long after a view change this member's own record is added to datagrams for members
	// with another view, in heartbeat intervals.
	announceHeartbeats = 8
	// probeAbsentEvery is how often, in heartbeats, a member outside the view is contacted.
	probeAbsentEvery = 4
	// startupProbeHeartbeats is how long after the start a member outside the view is contacted with each heartbeat, in
	// heartbeat intervals.
	startupProbeHeartbeats = 8
)

// reservedBytes returns the part of the budget that is reserved for the heartbeats and pings of two heartbeat
// intervals.
func (n *Node) reservedBytes() float64 {
	return float64(2 * n.config.RingCount * (2*maxHeaderBytes + n.config.FrameOverheadBytes))
}

// reservedAfter returns how much of the budget must remain after a datagram of the given kind. Pings must leave enough
// for the next heartbeats, and records enough for pings. Otherwise members that send many requests could run out of
// budget for heartbeats, and would then have to be pinged.
func (n *Node) reservedAfter(kind kind) float64 {
	switch kind {
	case kindHeartbeat:
		return 0
	case kindAck:
		return n.reservedBytes() / 4
	case kindPing, kindPingRequest:
		return n.reservedBytes() / 2
	}
	return n.reservedBytes()
}

// sendRecords sends a datagram with as many of the records as fit and the budget allows. It returns their number, or -1
// if the budget does not allow the datagram.
func (n *Node) sendRecords(kind kind, to *peer, argument uint64, records []record) int {
	return n.send(message{Kind: kind, Argument: argument, Records: records}, to)
}

// send fills in the header of a message and sends it with as many of its records as fit. It returns their number, or -1
// if the message was not sent because it is too long or the budget does not allow it.
func (n *Node) send(m message, to *peer) (sent int) {
	records := m.Records
	if len(records) == 0 && n.shouldIncludeOwnRecord(m.Kind, to) {
		records = []record{n.self.record}
	}
	m.Records = nil
	m.From = n.self.id
	m.Incarnation = n.self.record.Incarnation
	m.Sequence = uint16(n.sequence)
	m.View = n.views.current
	m.KnownMembers = uint32(n.members.known)
	m.RecordsDigest = n.members.digest&^gossipDigestMask | n.gossipDigestByte(m.Sequence)
	b := m.appendTo(make([]byte, 0, n.config.MaxDatagramBytes))
	overhead := checksumBytes + n.config.FrameOverheadBytes
	if float64(len(b)+overhead)+n.reservedAfter(m.Kind) > n.budget.available || len(b)+checksumBytes > n.config.MaxDatagramBytes {
		return -1
	}
	limit := min(n.config.MaxDatagramBytes-checksumBytes, int(n.budget.available-n.reservedBytes())-overhead)
	base := m.deltaBase()
	for _, r := range records {
		complete := len(b)
		b = r.appendTo(b, base)
		if len(b) > limit {
			b = b[:complete]
			break
		}
		base = r.deltaBase()
		sent++
		n.outbox.markSent(r.Author)
	}
	n.budget.available -= float64(len(b) + overhead)
	n.actions = append(n.actions, Send{to.id, appendChecksum(b)})
	return sent
}

// shouldIncludeOwnRecord reports whether the receiver of a datagram may not know this member yet, and so would not send
// it heartbeats.
func (n *Node) shouldIncludeOwnRecord(kind kind, to *peer) bool {
	if to.viewDigest == n.views.current.Digest || n.now-n.views.installedAt >= n.heartbeats(announceHeartbeats) {
		return false
	}
	return kind == kindHeartbeat || kind == kindPing || kind == kindAck
}

// sendHeartbeats sends this member's heartbeats, and occasionally contacts a member that may have come back.
func (n *Node) sendHeartbeats() {
	n.sequence++
	if uint16(n.sequence) == 0 { // in datagrams 0 means that there is no heartbeat yet
		n.sequence++
	}
	n.outbox.recent /= 2
	if n.now-n.sync.requestedAt > n.config.HeartbeatInterval/2 {
		// A peer that knows many more members may have no reason to send this one anything, so ask it.
		for _, p := range n.randomPeers(1, n.knowsManyMoreMembers) {
			n.requestRecords(p)
		}
	}
	// Update the monitored predecessors: the search on a ring may now end earlier, at a member that has answered
	// meanwhile.
	n.monitor.stale = n.monitor.stale || len(n.self.record.Statements) > 0
	for _, p := range n.heartbeatTargets() {
		n.sendRecords(kindHeartbeat, p, 0, n.urgentRecords())
	}
	isAlone := len(n.topology.inView) <= 1
	isStarting := n.now-n.startedAt <= n.heartbeats(startupProbeHeartbeats)
	if n.sequence%probeAbsentEvery == 1 || isStarting || isAlone {
		n.probeAbsentMember()
	}
}

// probeAbsentMember contacts a random member outside the view. Departed members are included, as the record of the
// departure may have been forged by another member.
func (n *Node) probeAbsentMember() {
	var absent []*peer
	for _, p := range n.members.sorted {
		if !p.state.InView() {
			absent = append(absent, p)
		}
	}
	if len(absent) == 0 {
		return
	}
	p := absent[n.random.IntN(len(absent))]
	if len(n.topology.inView) < 2 {
		n.requestRecords(p)
	} else {
		n.sendRecords(kindHeartbeat, p, 0, []record{n.self.record})
	}
}
