package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxPendingRecords bounds the records considered for one datagram.
const maxPendingRecords = 24

// recordOutbox holds the records to pass on.
type recordOutbox struct {
	pending map[ID]int    // by author: how many more times the record is sent
	flushAt time.Duration // when records are sent other than with heartbeats; 0: none wait
	recent  int           // records queued recently: in about two heartbeats
}

// markSent counts that a record was sent, or is known to one more member.
func (o *recordOutbox) markSent(author ID) {
	o.pending[author]--
	if o.pending[author] <= 0 {
		delete(o.pending, author)
	}
}

// flushBy has the records sent at a time, or earlier if that was planned.
func (o *recordOutbox) flushBy(at time.Duration) {
	if o.flushAt == 0 || o.flushAt > at {
		o.flushAt = at
	}
}

// updateOwnRecord changes this member's own record and queues it.
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

// startIncarnation begins another incarnation of this member.
func (n *Node) startIncarnation(incarnation uint32) {
	n.updateOwnRecord(func(r *record) {
		r.Incarnation = incarnation
		r.Sequence = 0
	})
}

// queueRecord has a record passed on, once on each ring, and sooner and more often where others wait for it. The more
// records are new, the fewer times each is sent: what is lost or left out is found by digests and requested by those
// who lack it. Guards against a start or failure of hundreds, of which each member would send all of it to others that
// know it already.
func (n *Node) queueRecord(author ID) {
	n.outbox.recent++
	delay := n.config.HeartbeatInterval/16 + n.config.HeartbeatInterval/8*time.Duration(n.random.IntN(64))/64
	isQuiet := n.outbox.recent <= 2*n.config.RingCount
	isUrgent := n.members.byID[author].urgent
	switch {
	case isUrgent && isQuiet:
		n.outbox.pending[author] = n.config.RingCount + 2
		delay = 0
	case isUrgent:
		n.outbox.pending[author] = max(n.config.RingCount/2, 1)
	case isQuiet || author == n.self.id:
		n.outbox.pending[author] = n.config.RingCount
	default:
		return
	}
	n.outbox.flushBy(n.now + delay)
}

// pendingRecords returns the records to pass on, the least often sent first.
func (n *Node) pendingRecords() []record {
	return n.pendingRecordsOf(func(*peer) bool { return true })
}

// urgentRecords returns those of them that others wait for.
func (n *Node) urgentRecords() []record {
	return n.pendingRecordsOf(func(p *peer) bool { return p.urgent })
}

func (n *Node) pendingRecordsOf(meets func(*peer) bool) (records []record) {
	authors := make([]ID, 0, len(n.outbox.pending))
	for id := range n.outbox.pending {
		if meets(n.members.byID[id]) {
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

// flushPending sends new records and gossip without waiting for the next heartbeat, as far as the budget allows.
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
