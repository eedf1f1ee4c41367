package membership

const (
	// announceHeartbeats is how long after a view change, in heartbeat intervals, this member's own record is added to
	// datagrams for members with another view.
	announceHeartbeats = 8
	// searchEvery is how often, in heartbeats, a member that is not in the view gets one.
	searchEvery = 4
	// startSearchHeartbeats is how long after the start, in heartbeat intervals, that happens at each heartbeat.
	startSearchHeartbeats = 8
)

// reservedBytes is the part of the budget that is kept for heartbeats and pings: those of two heartbeat intervals.
func (n *Node) reservedBytes() float64 {
	return float64(2 * n.config.RingCount * (2*maxHeaderBytes + n.config.FrameOverheadBytes))
}

// reservedAfter is how much of the budget must be left after a datagram: a ping may not use up the bytes of the next
// heartbeats, nor records those of pings. Guards against members that ask so much that they no longer send heartbeats,
// and so have to be pinged.
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

// sendRecords sends a datagram with as many of the records as fit and the budget allows, and returns how many, or -1
// where the budget does not allow the datagram.
func (n *Node) sendRecords(kind kind, to *peer, argument uint64, records []record) int {
	return n.send(message{Kind: kind, Argument: argument, Records: records}, to)
}

// send completes a message and sends it, with as many of its records as fit. It returns how many, or -1.
func (n *Node) send(m message, to *peer) (sent int) {
	records := m.Records
	if len(records) == 0 && n.shouldIntroduce(m.Kind, to) {
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

// shouldIntroduce tells whether the receiver of a datagram may not know this member, and so not send it heartbeats.
func (n *Node) shouldIntroduce(kind kind, to *peer) bool {
	if to.viewDigest == n.views.current.Digest || n.now-n.views.installedAt >= n.heartbeats(announceHeartbeats) {
		return false
	}
	return kind == kindHeartbeat || kind == kindPing || kind == kindAck
}

// sendHeartbeats sends this member's heartbeats, and now and then one to a member that may have come back.
func (n *Node) sendHeartbeats() {
	n.sequence++
	if uint16(n.sequence) == 0 { // 0 means none in datagrams
		n.sequence++
	}
	n.outbox.recent /= 2
	if n.now-n.sync.requestedAt > n.config.HeartbeatInterval/2 {
		// A member that knows many more may have no reason to send this one anything.
		for _, p := range n.randomPeers(1, n.knowsManyMore) {
			n.requestRecords(p)
		}
	}
	// The search on a ring may end at a member that has answered meanwhile.
	n.monitor.stale = n.monitor.stale || len(n.self.record.Statements) > 0
	for _, p := range n.heartbeatTargets() {
		n.sendRecords(kindHeartbeat, p, 0, n.urgentRecords())
	}
	isAlone := len(n.topology.inView) <= 1
	isStarting := n.now-n.startedAt <= n.heartbeats(startSearchHeartbeats)
	if n.sequence%searchEvery == 1 || isStarting || isAlone {
		n.searchAbsent()
	}
}

// searchAbsent sends a datagram to a random member that is not in the view. A departed one counts too, as others may
// have said so of it.
func (n *Node) searchAbsent() {
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
