package policy_test

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// encodedSnapshot returns the content of testdata/snapshot-c18a9bd.hex. Every field has a different value,
// and each map has a single entry, since maps are encoded in no fixed order.
func encodedSnapshot() policy.Snapshot {
	return policy.Snapshot{
		Classes: []policy.ClassSnapshot{{Name: "lookup", ResponseCount: 101, MeanLatencyMS: 102.5, BaselineLatencyMS: 103.5, MeanWorkMS: 104.5, LatencyDeviation: 0.105, MeanEstimateMS: 106.5,
			GrantMultiple: 1.075, DefaultGrantMB: 108.5}},
		Engines: []policy.EngineSnapshot{{
			Engine: policy.Engine{ID: "engine-1", Zone: "zone-a", Kind: "std-8", Cell: 201, State: policy.EngineLive,
				Started: 202 * time.Second, StartKnown: true},
			Controller: policy.ControllerSnapshot{Limit: 211.5, Alpha: 0.0212, LoadLevel: 0.213, Slowdown: 2.14, BindingUntil: 215 * time.Second},
			LastStart:  221 * time.Second, WarmUpUntil: 222 * time.Second, TurnsSince: 223 * time.Second, BudgetSpentUntil: 224 * time.Second,
			PreviousWarmUpUntil: 225 * time.Second, LastHeard: 226 * time.Second, ReportedAt: 227 * time.Second, ConnectionLostAt: 228 * time.Second,
			NextTrialAt: 229 * time.Second,
			TurnOffset:  0.231, ReportedLoad: 2.32, FaultRate: 0.233, RestartPresumed: true, EjectedForFaults: true, Ejected: true,
			ClassBlockedUntil:  map[string]time.Duration{"lookup": 241 * time.Second},
			DataSetLockedUntil: map[int64]time.Duration{242: 243 * time.Second},
			LostResponses:      map[string]int{"lookup": 244},
		}},
		Aggregate:     policy.ControllerSnapshot{Limit: 301.5, Alpha: 0.0302, LoadLevel: 0.303, Slowdown: 3.04, BindingUntil: 305 * time.Second},
		DataSetCounts: map[int64]float64{401: 40.25}, DataSetTotal: 40.5, MeanLogValue: -4.06, MeanLoad: 4.07, MeanOwnInFlight: 4.08, MeanReportedInFlight: 4.09, ArrivalRate: 41.5, MeanThreads: 4.11,
		TickCount: 412,
	}
}

func encodedFixture(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/snapshot-c18a9bd.hex")
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDecodeSnapshotOfEarlierVersion decodes the snapshot that commit c18a9bd encoded, and encodes it to
// the same bytes.
func TestDecodeSnapshotOfEarlierVersion(t *testing.T) {
	b := encodedFixture(t)
	var got policy.Snapshot
	if err := cbor.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(encodedSnapshot(), got); diff != "" {
		t.Errorf("decoded snapshot (-want +got):\n%s", diff)
	}
	again, err := cbor.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(hex.Dump(b), hex.Dump(again)); diff != "" {
		t.Errorf("encoded again (-want +got):\n%s", diff)
	}
}

// TestDecodeDamagedSnapshot truncates the snapshot at each length, which must be an error, and flips each
// bit. A damaged snapshot that still decodes must not make a gateway panic.
func TestDecodeDamagedSnapshot(t *testing.T) {
	b := encodedFixture(t)
	for n := range b {
		var got policy.Snapshot
		if err := cbor.Unmarshal(b[:n], &got); err == nil {
			t.Errorf("snapshot truncated to %d of %d bytes decoded without an error, want one", n, len(b))
		}
	}
	for bit := range 8 * len(b) {
		damaged := append([]byte{}, b...)
		damaged[bit/8] ^= 1 << (bit % 8)
		var snapshot policy.Snapshot
		if cbor.Unmarshal(damaged, &snapshot) != nil {
			continue
		}
		g, err := policy.New(analytics(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 200 * time.Second
		g.Restore(now, snapshot)
		g.Handle(now, policy.EngineList{Mode: policy.ListFull, Engines: []policy.Engine{{ID: "engine-1", Zone: "a", Kind: "std-8", State: policy.EngineLive}}}, nil)
		for id := uint64(1); id < 5; id++ {
			g.Handle(now, policy.QueryArrived{Query: id, Class: "lookup", Deadline: now + 6*time.Second}, nil)
			now += 600 * time.Millisecond
			g.Handle(now, policy.TimerFired{}, nil)
			g.Handle(now, policy.AttemptEnded{Query: id, Result: policy.ResultSuccess, Elapsed: time.Second, Final: true}, nil)
		}
	}
}
