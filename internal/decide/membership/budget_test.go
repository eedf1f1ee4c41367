package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any received datagrams, a member sends no more bytes than the budget allows, no datagram longer than the limit,
// and none to itself. Datagrams whose sender field differs from their source are among the input.
func TestSendBudgetIsRespected(t *testing.T) {
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
					t.Fatalf("sent a datagram of %d bytes to member %d, want at most %d bytes to another member", len(s.Payload), s.To, n.config.MaxDatagramBytes)
				}
			}
			if allowed := n.config.BurstBytes + n.config.BytesPerSecond*(now-startedAt).Seconds(); sent > allowed+1 {
				t.Fatalf("sent %f bytes, want at most %f", sent, allowed)
			}
		}
	})
}

// drawDatagram draws a datagram of a member. In one of ten cases its sender field differs from its source.
func drawDatagram(t *rapid.T) DatagramReceived {
	from := ID(rapid.Uint32Range(2, 300).Draw(t, "from"))
	m := message{Kind: drawKind(t, kindHeartbeat, kindAck), From: from, Incarnation: 1, Sequence: 1, Records: []record{drawRecord(t, from)}}
	if rapid.IntRange(0, 9).Draw(t, "forged") == 0 {
		m.From++
	}
	return DatagramReceived{from, appendChecksum(m.appendTo(nil))}
}
