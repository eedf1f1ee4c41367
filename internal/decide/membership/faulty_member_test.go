package membership

import (
	"testing"
	"time"
)

// A faulty member that reports all others as not heard must not change any view. After it stops, all members agree as
// before.
func TestReportsAgainstAllMembersChangeNoView(t *testing.T) {
	f := newTestFleet(5)
	f.checkAgreement(t)
	f.run(30*time.Second, func(n *Node, s Send) []DatagramReceived {
		if n.self.id != 2 {
			return reliable(n, s)
		}
		r := record{Author: 2, Incarnation: n.self.record.Incarnation, Sequence: uint16(f.now / time.Millisecond)}
		for _, other := range f.nodes {
			if other != n {
				r.Statements = append(r.Statements, statement{other.self.id, uint8(other.self.record.Incarnation), notHeard})
			}
		}
		reports := message{Kind: kindRecords, From: 2, Incarnation: r.Incarnation, Records: []record{r}}
		return []DatagramReceived{{2, appendChecksum(reports.appendTo(nil))}, {2, s.Payload}}
	})
	for _, report := range f.reports {
		if !report.State.InView() {
			t.Errorf("report %+v, want every member in the view", report)
		}
	}
	f.run(20*time.Second, reliable)
	f.checkAgreement(t)
}

// A faulty member sends datagrams with the senders of all other members and forged records that these have departed.
// The former are dropped. The other members refute the latter, and in the end all are in the view.
func TestForgedSendersAndDepartures(t *testing.T) {
	f := newTestFleet(5)
	f.run(10*time.Second, func(n *Node, s Send) []DatagramReceived {
		delivered := reliable(n, s)
		if n.self.id != 2 {
			return delivered
		}
		for _, other := range f.nodes {
			forged := other.self.record
			forged.Sequence++
			forged.Departed = true
			spoofed := message{Kind: kindHeartbeat, From: other.self.id, Incarnation: 1 << 30}
			forgedDeparture := message{Kind: kindRecords, From: 2, Incarnation: n.self.record.Incarnation, Records: []record{forged}}
			delivered = append(delivered, DatagramReceived{2, appendChecksum(spoofed.appendTo(nil))}, DatagramReceived{2, appendChecksum(forgedDeparture.appendTo(nil))})
		}
		return delivered
	})
	for _, n := range f.nodes {
		if n.self.id != 2 && n.DroppedDatagrams == 0 {
			t.Errorf("member %d dropped no datagrams, want those with a spoofed sender dropped", n.self.id)
		}
	}
	f.run(20*time.Second, reliable)
	f.checkAgreement(t)
}

// A member that hears no other one must not report the others as failed, and must suspect itself.
func TestIsolatedMemberSuspectsItself(t *testing.T) {
	f := newTestFleet(2)
	f.nodes = f.nodes[:1]
	f.run(20*time.Second, reliable)
	reason, active := f.nodes[0].SelfSuspicion()
	if state, _, _ := f.nodes[0].State(2); !state.InView() || !active {
		t.Errorf("state of member 2 = %s, self-suspicion = %t %q; want a state in the view and an active self-suspicion", state, active, reason)
	}
}

// A process may start with an incarnation that its predecessor reached by refuting statements, and its record may have
// the same sequence number. It must learn of the conflict from members that remember the earlier record, and start a
// new incarnation. Otherwise its own record and the remembered one would differ permanently under the same numbers. The
// model check found this failure.
func TestConflictingRecordsWithOneNumber(t *testing.T) {
	f := newTestFleet(5)
	n, other := f.nodes[0], f.nodes[1]
	own := n.self.record
	remembered := own
	remembered.Statements = []statement{{4, 1, notHeard}}
	if own.hash() == remembered.hash() {
		t.Errorf("records with different statements both have hash %08x, want different hashes", own.hash())
	}
	p := other.members.byID[1]
	other.members.toggleDigest(p.record)
	p.record = remembered
	other.members.toggleDigest(p.record)
	f.run(20*time.Second, reliable)
	if n.self.record.Incarnation == own.Incarnation {
		t.Errorf("incarnation is still %d, want a higher one", own.Incarnation)
	}
	for _, o := range f.nodes {
		if o.members.digest != n.members.digest {
			t.Errorf("records digest of member %d = %08x, want %08x as at member 1", o.self.id, o.members.digest, n.members.digest)
		}
	}
}

// A faulty peer that invents members without limit must not make a member store more than maxMembers.
func TestMembersAreBounded(t *testing.T) {
	f := newTestFleet(2)
	f.run(2*time.Second, reliable)
	n, from := f.nodes[0], f.nodes[1].self.id
	for id := ID(100); id < 100+2*maxMembers; id++ {
		n.mergeRecord(record{Author: id, Incarnation: 1})
	}
	unknown := from + 50000
	n.Handle(f.now, DatagramReceived{From: unknown, Payload: appendChecksum(message{Kind: kindHeartbeat, From: unknown}.appendTo(nil))})
	if len(n.members.sorted) != maxMembers || n.RejectedMembers < maxMembers || n.RejectedMembers > maxMembers+10 {
		t.Errorf("%d members are known and %d were rejected, want %d known and as many rejected, or up to 10 more", len(n.members.sorted), n.RejectedMembers, maxMembers)
	}
}
