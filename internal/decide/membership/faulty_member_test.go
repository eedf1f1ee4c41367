package membership

import (
	"testing"
	"time"
)

// A member that accuses all others changes no view, and all is as before once it stops.
func TestAccuserOfAllChangesNoView(t *testing.T) {
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
		accusation := message{Kind: kindRecords, From: 2, Incarnation: r.Incarnation, Records: []record{r}}
		return []DatagramReceived{{2, appendChecksum(accusation.appendTo(nil))}, {2, s.Payload}}
	})
	for _, report := range f.reports {
		if !report.State.InView() {
			t.Errorf("report %+v, want all members in the view", report)
		}
	}
	f.run(20*time.Second, reliable)
	f.checkAgreement(t)
}

// A member that poses as all others is not heard. Forged records that others have departed are answered by these, and
// in the end all are in the view.
func TestForgedSendersAndDepartures(t *testing.T) {
	f := newTestFleet(5)
	f.run(10*time.Second, func(n *Node, s Send) []DatagramReceived {
		arriving := reliable(n, s)
		if n.self.id != 2 {
			return arriving
		}
		for _, other := range f.nodes {
			forged := other.self.record
			forged.Sequence++
			forged.Departed = true
			posing := message{Kind: kindHeartbeat, From: other.self.id, Incarnation: 1 << 30}
			slander := message{Kind: kindRecords, From: 2, Incarnation: n.self.record.Incarnation, Records: []record{forged}}
			arriving = append(arriving, DatagramReceived{2, appendChecksum(posing.appendTo(nil))}, DatagramReceived{2, appendChecksum(slander.appendTo(nil))})
		}
		return arriving
	})
	for _, n := range f.nodes {
		if n.self.id != 2 && n.DroppedDatagrams == 0 {
			t.Errorf("member %d dropped no datagram of one that poses as others", n.self.id)
		}
	}
	f.run(20*time.Second, reliable)
	f.checkAgreement(t)
}

// A member that hears nobody accuses nobody, and suspects itself.
func TestIsolatedMemberSuspectsItself(t *testing.T) {
	f := newTestFleet(2)
	f.nodes = f.nodes[:1]
	f.run(20*time.Second, reliable)
	reason, active := f.nodes[0].SelfSuspicion()
	if state, _, _ := f.nodes[0].State(2); !state.InView() || !active {
		t.Errorf("state of the other = %s, self-suspicion %t %q; want it in the view and a suspicion", state, active, reason)
	}
}

// A process that starts under the incarnation up to which its predecessor had risen, and writes as often, learns so from
// those who remember that one, and takes up the next. Otherwise its record and theirs would differ for good under one
// number, as the model check found.
func TestConflictingRecordsWithOneNumber(t *testing.T) {
	f := newTestFleet(5)
	n, other := f.nodes[0], f.nodes[1]
	own := n.self.record
	remembered := own
	remembered.Statements = []statement{{4, 1, notHeard}}
	if own.hash() == remembered.hash() {
		t.Error("the hash of a record does not cover its statements")
	}
	p := other.members.byID[1]
	other.members.toggleDigest(p.record)
	p.record = remembered
	other.members.toggleDigest(p.record)
	f.run(20*time.Second, reliable)
	if n.self.record.Incarnation == own.Incarnation {
		t.Errorf("incarnation = %d, want a new one", own.Incarnation)
	}
	for _, o := range f.nodes {
		if o.members.digest != n.members.digest {
			t.Errorf("member %d has other records than the first", o.self.id)
		}
	}
}

// A peer that invents members without end has so many known, and no more.
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
		t.Errorf("%d members are known and %d rejected, want %d and at least as many", len(n.members.sorted), n.RejectedMembers, maxMembers)
	}
}
