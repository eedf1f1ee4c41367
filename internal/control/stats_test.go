package control

import (
	"testing"

	"gannetspur/internal/core"

	"github.com/google/go-cmp/cmp"
)

// TestFormatStats compares the body of /metrics with and without a fleet.
func TestFormatStats(t *testing.T) {
	const withoutPeers = `lb.calls.lookup.success:812|c
lb.calls.lookup.busy:3|c
lb.calls.lookup.failure:1|c
lb.backend_calls:900|c
lb.inflight:14|g
lb.hosts_listed:8|g
lb.hosts_down:2|g
`
	const peers = `lb.peers_live:5|g
lb.peers_named:7|g
lb.peers_cut:1|g
lb.peers_gone:2|g
lb.peers_view:42|g
lb.peers_majority:1|g
`
	stats := core.Stats{
		Classes:         []core.ClassStats{{Class: "lookup", Served: 812, Rejected: 3, Failed: 1}},
		AttemptsWritten: 900, InFlight: 14, EnginesListed: 8, EnginesDown: 2,
	}
	if diff := cmp.Diff(withoutPeers, string(FormatStats(stats))); diff != "" {
		t.Errorf("FormatStats without peers (-want +got):\n%s", diff)
	}
	stats.Peers = &core.PeerStats{Live: 5, Known: 7, PartlyReachable: 1, Dead: 2, ViewNumber: 42, Majority: true}
	if diff := cmp.Diff(withoutPeers+peers, string(FormatStats(stats))); diff != "" {
		t.Errorf("FormatStats with peers (-want +got):\n%s", diff)
	}
}
