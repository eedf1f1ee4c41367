package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxPendingRecords limits the records considered for one datagram.
const maxPendingRecords = 24

// recordOutbox schedules the records that this member forwards.
type recordOutbox struct {
	pending map[ID]int    // how many more times the record of each author is sent
	flushAt time.Duration // when records are sent independently of heartbeats; 0: nothing is scheduled
	recent  int           // number of records queued recently, halved with each heartbeat
}

// markSent records that the author's record was sent once, or that one more member is known to have it.
func (o *recordOutbox) markSent(author ID) {
	o.pending[author]--
	if o.pending[author] <= 0 {
		delete(o.pending, author)
	}
}

// flushBy schedules a flush at the given time unless an earlier one is scheduled.
func (o *recordOutbox) flushBy(at time.Duration) {
	if o.flushAt == 0 || o.flushAt > at {
		o.flushAt = at
	}
}

// updateOwnRecord applies a change to this member's own record and queues the record.
func (n *Node) updateOwnRecord(change func(*record)) {
	previous := n.self.record
	n.members.toggleDigest(previous)
	change(&n.self.record)
	n.self.record.Sequence++
	n.members.toggleDigest(n.self.record)
	n.recordsChanged = true
	n.self.urgent = n.self.record.isUrgentAfter(previous)
	n.queueRecord(n.self.id)
}

// startIncarnation starts a new incarnation of this member.
func (n *Node) startIncarnation(incarnation uint32) {
	n.updateOwnRecord(func(r *record) {
		r.Incarnation = incarnation
		r.Sequence = 0
	})
}

// queueRecord schedules a record to be forwarded, usually RingCount times. Urgent records are sent sooner and, while
// few records are new, more often. The more records are new, the fewer times each is sent: members detect missing
// records by comparing digests, and request them. Otherwise, when hundreds of members start or fail at once, each
// member would send all their records to others that already have them.
func (n *Node) queueRecord(author ID) {
	n.outbox.recent++
	delay := n.config.HeartbeatInterval/16 + n.config.HeartbeatInterval/8*time.Duration(n.random.IntN(64))/64
	fewQueued := n.outbox.recent <= 2*n.config.RingCount
	isUrgent := n.members.byID[author].urgent
	switch {
	case isUrgent && fewQueued:
		n.outbox.pending[author] = n.config.RingCount + 2
		delay = 0
	case isUrgent:
		n.outbox.pending[author] = max(n.config.RingCount/2, 1)
	case fewQueued || author == n.self.id:
		n.outbox.pending[author] = n.config.RingCount
	default:
		return
	}
	n.outbox.flushBy(n.now + delay)
}

// pendingRecords returns records to forward, those with the most pending sends first.
func (n *Node) pendingRecords() []record {
	return n.pendingRecordsOf(func(*peer) bool { return true })
}

// urgentRecords returns the urgent ones among the pending records.
func (n *Node) urgentRecords() []record {
	return n.pendingRecordsOf(func(p *peer) bool { return p.urgent })
}

// pendingRecordsOf returns up to maxPendingRecords pending records of the matching authors, those with the most pending
// sends first. Ties are broken by a hash that changes with each heartbeat.
func (n *Node) pendingRecordsOf(matches func(*peer) bool) (records []record) {
	authors := make([]ID, 0, len(n.outbox.pending))
	for id := range n.outbox.pending {
		if matches(n.members.byID[id]) {
			authors = append(authors, id)
		}
	}
	slices.SortFunc(authors, func(a, b ID) int {
		return cmp.Or(
			cmp.Compare(n.outbox.pending[b], n.outbox.pending[a]),
			cmp.Compare(mixHash(a.hashKey(), n.sequence), mixHash(b.hashKey(), n.sequence)),
			cmp.Compare(a, b))
	})
	for _, id := range authors[:min(len(authors), maxPendingRecords)] {
		records = append(records, n.members.byID[id].record)
	}
	return records
}

// flushPending sends new records and gossip before the next heartbeat, as far as the budget allows.
func (n *Node) flushPending() {
	n.outbox.flushAt = 0
	for _, p := range n.gossipTargets() {
		records := n.pendingRecords()
		if len(records) > 0 && n.budget.available > 2*n.reservedBytes() {
			n.sendRecords(kindRecords, p, 0, records)
		}
		if len(n.gossip.pending) > 0 && n.budget.available > 3*n.reservedBytes() {
			n.sendGossip(p, func(k gossipKey) bool { return n.gossip.pending[k] > 0 })
		}
	}
	if len(n.outbox.pending)+len(n.gossip.pending) > 0 && n.budget.available > 2*n.reservedBytes() {
		n.outbox.flushAt = n.now + n.config.HeartbeatInterval/8
	}
}
