package membership

import (
	"cmp"
	"slices"
	"time"
)

// Records and gossip that were lost, or not forwarded, are detected by the digests in each datagram and requested. The
// requesting member sends a Bloom filter of what it has, and the other one answers with items that the filter lacks.
// The answer thus contains only new items, whether much differs (when hundreds of members start) or only one record of
// a thousand.

const (
	// answerBudgetDivisor sets the share of the available budget that one answer may use, 1/answerBudgetDivisor.
	// Without the limit, the first few members to ask at a start would use up everything that a seed, a member that
	// all others are configured with, may send.
	answerBudgetDivisor = 8
	// maxAnswerDatagrams limits the datagrams of one answer.
	maxAnswerDatagrams = 3
	// recordsPerAnswer is the approximate number of records in a full answer. If more are missing, only a partition of
	// them is requested, with a smaller filter.
	recordsPerAnswer = 40
	// bootstrapRecords is the number of records sent to a member that knows no other member. It asks these members
	// next.
	bootstrapRecords = 4
	// ownRecordBytes is the space in a request that is reserved for this member's own record.
	ownRecordBytes = 24
	// maxPartitions is the largest number of partitions that fits its byte in the argument.
	maxPartitions = 255
	// partitionSalt makes partitions independent of other uses of the hash.
	partitionSalt = 7
	// idleSyncHeartbeats is the shortest time between two requests while answers bring little, in heartbeat intervals.
	idleSyncHeartbeats = 3
)

// antiEntropy is the progress of this member's requests for records.
type antiEntropy struct {
	requestedAt        time.Duration // time of the last request
	newRecords         int           // number of new records since the last request
	previousNewRecords int           // the same for the request before it
}

// partition is the share of all items whose key hash modulo count equals number. It is encoded in the argument of a
// request.
type partition struct{ number, count uint64 }

// argument returns the encoded partition.
func (p partition) argument() uint64 { return p.number<<8 | p.count }

// partitionOf decodes a partition. A count of 0 is read as 1.
func partitionOf(argument uint64) partition { return partition{argument >> 8, max(argument&0xff, 1)} }

// contains reports whether items with the given key hash are in the partition.
func (p partition) contains(key uint32) bool {
	return uint64(mixHash(key, partitionSalt))%p.count == p.number
}

// excludes reports whether a request does not ask for an item, because its sender seems to have the item or asks for
// another partition.
func (m message) excludes(key, hash uint32) bool {
	return !partitionOf(m.Argument).contains(key) || m.Filter.contains(hash, uint32(m.Sequence))
}

// syncItem is a record or a gossip message: the hash of its key, and the hash of this version of it.
type syncItem struct{ key, hash uint32 }

// sendSyncRequest requests items that are not among the given ones of this member. If there are too many for one
// filter, or minPartitions is greater than 1, it requests a random partition.
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

// canSendSyncRequest reports whether the budget allows another request.
func (n *Node) canSendSyncRequest() bool {
	return n.budget.syncAvailable >= float64(n.config.MaxDatagramBytes+n.config.FrameOverheadBytes)
}

// requestRecords requests the records that p has and this member lacks.
func (n *Node) requestRecords(p *peer) {
	p.syncedAt = n.now
	n.sync.requestedAt = n.now
	n.sync.previousNewRecords = n.sync.newRecords
	n.sync.newRecords = 0
	if !n.canSendSyncRequest() {
		return
	}
	var own []record
	if p.lastHeard == 0 || !p.known { // p may not know this member
		own = []record{n.self.record}
	}
	var items []syncItem
	for _, other := range n.members.sorted {
		if other.known {
			items = append(items, syncItem{other.id.hashKey(), other.record.hash()})
		}
	}
	partitions := (p.knownMembers-n.members.known)/recordsPerAnswer + 1
	if n.sync.previousNewRecords >= recordsPerAnswer/2 { // the last answer was probably incomplete
		partitions *= 2
	}
	n.sendSyncRequest(kindRecordsRequest, p, items, partitions, own)
}

// requestGossip requests the gossip messages that p has and this member lacks.
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

// knowsManyMoreMembers reports whether p knows more members than this one by more than bootstrapRecords.
func (n *Node) knowsManyMoreMembers(p *peer) bool {
	return p.knownMembers > n.members.known+bootstrapRecords
}

// shouldRequestRecords reports whether p should be asked for records. This is so if its own record is unknown, or if
// its records have differed for a while and p does not know so many fewer members that it will ask itself.
func (n *Node) shouldRequestRecords(p *peer) bool {
	if !p.known {
		return true
	}
	if p.recordsDifferSince == 0 || p.knownMembers+bootstrapRecords < n.members.known {
		return false
	}
	return n.now-p.recordsDifferSince >= n.syncInterval(p) || n.knowsManyMoreMembers(p)
}

// syncInterval returns the shortest time between two requests for records. It is short while many records are missing
// and answers bring new ones.
func (n *Node) syncInterval(p *peer) time.Duration {
	switch {
	case n.sync.newRecords >= bootstrapRecords, n.knowsManyMoreMembers(p) && n.sync.newRecords > 0:
		return n.config.HeartbeatInterval / 2
	case n.knowsManyMoreMembers(p):
		return n.config.HeartbeatInterval
	}
	return n.heartbeats(idleSyncHeartbeats)
}

// answerRecordsRequest sends as many of the records that p lacks, or has in another version, as one answer may use of
// the budget. p gets the others when it asks again or asks other members.
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
			return // other members that the peer learns of will answer it
		}
		records = records[:min(len(records), bootstrapRecords)]
	}
	records = n.withinAnswerBudget(records, request.deltaBase())
	// Sort the records, as adjacent IDs take fewer bytes.
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.Author, b.Author) })
	for range maxAnswerDatagrams {
		sent := n.sendRecords(kindRecords, p, answerArgument, records)
		if sent <= 0 {
			return
		}
		records = records[sent:]
	}
}

// withinAnswerBudget truncates records to what one answer may use of the budget. It allows at least a full datagram, as
// the header costs the same for any number of records.
func (n *Node) withinAnswerBudget(records []record, base deltaBase) []record {
	available := n.budget.available - n.reservedBytes()
	quota := max(available/answerBudgetDivisor, float64(n.config.MaxDatagramBytes-checksumBytes-maxHeaderBytes))
	for i, r := range records {
		quota -= float64(len(r.appendTo(nil, base)))
		if quota < 0 {
			return records[:max(i, 1)]
		}
	}
	return records
}
