package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever arrives, no more is sent than the budget allows, nothing longer than a datagram may be, and nothing to
// itself. What names another sender than its address is dropped.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNode(1, rapid.Uint64().Draw(t, "seed"))
		startedAt := time.Hour
		now := startedAt
		sent := 0.0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			var e Event = Tick{}
			if rapid.IntRange(0, 3).Draw(t, "event") > 0 {
				e = drawDatagram(t)
			} else {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			}
			for _, a := range n.Handle(now, e) {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				sent += float64(len(s.Payload))
				if len(s.Payload) > n.config.MaxDatagramBytes || s.To == 1 {
					t.Fatalf("datagram of %d bytes to member %d, want at most %d to another one", len(s.Payload), s.To, n.config.MaxDatagramBytes)
				}
			}
			if allowed := n.config.BurstBytes + n.config.BytesPerSecond*(now-startedAt).Seconds(); sent > allowed+1 {
				t.Fatalf("%f bytes are sent, want at most %f", sent, allowed)
			}
		}
	})
}

// drawDatagram draws a datagram of a member, in one of ten cases with another sender than its address.
func drawDatagram(t *rapid.T) DatagramReceived {
	from := ID(rapid.Uint32Range(2, 300).Draw(t, "from"))
	m := message{Kind: drawKind(t, kindHeartbeat, kindAck), From: from, Incarnation: 1, Sequence: 1, Records: []record{drawRecord(t, from)}}
	if rapid.IntRange(0, 9).Draw(t, "forged") == 0 {
		m.From++
	}
	return DatagramReceived{from, appendChecksum(m.appendTo(nil))}
}
