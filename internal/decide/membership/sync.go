package membership

import (
	"cmp"
	"slices"
	"time"
)

// Records and gossip that were lost, or not passed on, are found by the digests in each datagram and requested: a
// member sends a filter of what it has, and the other answers with what it has besides. So the answer is new, whether
// much differs (a start of hundreds) or one record of a thousand.

const (
	// answerBudgetDivisor is the part of the saved-up bytes that one answer may use. Guards against a start in which
	// the first few members to ask use up all that a seed may send.
	answerBudgetDivisor = 8
	// maxAnswerDatagrams bounds the datagrams of one answer.
	maxAnswerDatagrams = 3
	// recordsPerAnswer is how many records an answer has at most, approximately. Where more are missing, a partition
	// of them is requested, with a smaller filter.
	recordsPerAnswer = 40
	// bootstrapRecords is how many members one that knows nobody is told of; it asks these next.
	bootstrapRecords = 4
	// ownRecordBytes is the space in a request for this member's own record.
	ownRecordBytes = 24
	// maxPartitions fits the byte of a partition.
	maxPartitions = 255
	// partitionSalt makes partitions independent of other uses of the hash.
	partitionSalt = 7
	// idleSyncHeartbeats is how long, in heartbeat intervals, one request waits after another that brought little.
	idleSyncHeartbeats = 3
)

// antiEntropy is the progress of this member's requests for records.
type antiEntropy struct {
	requestedAt    time.Duration // the last request
	gained         int           // records that it brought
	previousGained int           // records that the request before it brought
}

// partition is a share of all items, by the hash of their keys: one of so many. It is encoded in the argument of a
// request.
type partition struct{ number, count uint64 }

func (p partition) argument() uint64 { return p.number<<8 | p.count }

func partitionOf(argument uint64) partition { return partition{argument >> 8, max(argument&0xff, 1)} }

func (p partition) contains(key uint32) bool {
	return uint64(mixHash(key, partitionSalt))%p.count == p.number
}

// excludes tells whether a request does not ask for an item: its sender has it, or asks for another partition.
func (m message) excludes(key, hash uint32) bool {
	return !partitionOf(m.Argument).contains(key) || m.Filter.contains(hash, uint32(m.Sequence))
}

// syncItem is a record or a gossip message: the hash of its key, and that of this version of it.
type syncItem struct{ key, hash uint32 }

// sendSyncRequest requests what is not among the items of this member, or a partition of it where there are many.
func (n *Node) sendSyncRequest(kind kind, p *peer, items []syncItem, minPartitions int, records []record) {
	capacity := n.config.MaxDatagramBytes - checksumBytes - maxHeaderBytes - 1 - ownRecordBytes
	partitions := min(max(len(items)*minBitsPerItem/(8*capacity)+1, minPartitions), maxPartitions)
	requested := partition{uint64(n.random.IntN(partitions)), uint64(partitions)}
	items = slices.DeleteFunc(items, func(i syncItem) bool { return !requested.contains(i.key) })
	m := message{Kind: kind, Records: records, Argument: requested.argument()}
	if len(items) > 0 {
		m.Filter = make(bloomFilter, filterBytes(len(items), capacity))
	}
	for _, i := range items {
		m.Filter.add(i.hash, uint32(uint16(n.sequence)))
	}
	before := n.budget.available
	if n.send(m, p) >= 0 {
		n.budget.syncAvailable -= before - n.budget.available
	}
}

// canSendSyncRequest tells whether the budget allows another request.
func (n *Node) canSendSyncRequest() bool {
	return n.budget.syncAvailable >= float64(n.config.MaxDatagramBytes+n.config.FrameOverheadBytes)
}

// requestRecords requests from a peer the records that it has and this member has not.
func (n *Node) requestRecords(p *peer) {
	p.syncedAt = n.now
	n.sync.requestedAt = n.now
	n.sync.previousGained = n.sync.gained
	n.sync.gained = 0
	if !n.canSendSyncRequest() {
		return
	}
	var own []record
	if p.lastHeard == 0 || !p.known { // it may not know this member
		own = []record{n.self.record}
	}
	var items []syncItem
	for _, other := range n.members.sorted {
		if other.known {
			items = append(items, syncItem{other.id.hashKey(), other.record.hash()})
		}
	}
	partitions := (p.knownMembers-n.members.known)/recordsPerAnswer + 1
	if n.sync.previousGained >= recordsPerAnswer/2 { // the last answer was not complete
		partitions *= 2
	}
	n.sendSyncRequest(kindRecordsRequest, p, items, partitions, own)
}

// requestGossip requests from a peer the gossip that it has and this member has not.
func (n *Node) requestGossip(p *peer) {
	n.gossip.requestedAt = n.now
	if !n.canSendSyncRequest() {
		return
	}
	var items []syncItem
	for key, g := range n.gossip.messages {
		items = append(items, syncItem{key.hash(), g.hash()})
	}
	n.sendSyncRequest(kindGossipRequest, p, items, 1, nil)
}

// knowsManyMore tells whether a peer knows many more members than this one.
func (n *Node) knowsManyMore(p *peer) bool { return p.knownMembers > n.members.known+bootstrapRecords }

// shouldRequestRecords tells whether a peer should be asked for records: it is not known, or its records have differed
// for a while and are not so many fewer that it will ask itself.
func (n *Node) shouldRequestRecords(p *peer) bool {
	if !p.known {
		return true
	}
	if p.recordsDifferSince == 0 || p.knownMembers+bootstrapRecords < n.members.known {
		return false
	}
	return n.now-p.recordsDifferSince >= n.syncInterval(p) || n.knowsManyMore(p)
}

// syncInterval is how long one request for records waits after another. Much that is missing is requested quickly, as
// long as answers bring something.
func (n *Node) syncInterval(p *peer) time.Duration {
	switch {
	case n.sync.gained >= bootstrapRecords, n.knowsManyMore(p) && n.sync.gained > 0:
		return n.config.HeartbeatInterval / 2
	case n.knowsManyMore(p):
		return n.config.HeartbeatInterval
	}
	return n.heartbeats(idleSyncHeartbeats)
}

// answerRecordsRequest sends records that a peer lacks, or has in another version, as many as its part of the budget
// allows. It gets the rest when it asks again, or asks others.
func (n *Node) answerRecordsRequest(p *peer, request message) {
	var records []record
	for _, other := range n.members.sorted {
		if other.known && !request.excludes(other.id.hashKey(), other.record.hash()) {
			records = append(records, other.record)
		}
	}
	n.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	isBootstrap := request.KnownMembers <= 1
	if isBootstrap {
		if n.budget.available < n.config.BurstBytes/2 {
			return // others that the peer is told of will find it
		}
		records = records[:min(len(records), bootstrapRecords)]
	}
	records = n.withinAnswerBudget(records, request.deltaBase())
	// Neighbouring IDs take fewer bytes.
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.Author, b.Author) })
	for range maxAnswerDatagrams {
		sent := n.sendRecords(kindRecords, p, answerArgument, records)
		if sent <= 0 {
			return
		}
		records = records[sent:]
	}
}

// withinAnswerBudget cuts records to what one answer may use of the budget: at least a full datagram, as the header
// costs the same each time.
func (n *Node) withinAnswerBudget(records []record, base deltaBase) []record {
	spare := n.budget.available - n.reservedBytes()
	quota := max(spare/answerBudgetDivisor, float64(n.config.MaxDatagramBytes-checksumBytes-maxHeaderBytes))
	for i, r := range records {
		quota -= float64(len(r.appendTo(nil, base)))
		if quota < 0 {
			return records[:max(i, 1)]
		}
	}
	return records
}
