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

// encodedLearned is what testdata/learned-c18a9bd.hex holds: every field has a value of its own, and
// each map one entry, as maps are encoded in no fixed order.
func encodedLearned() policy.Learned {
	return policy.Learned{
		Classes: []policy.LearnedClass{{Name: "lookup", N: 101, Latency: 102.5, Quick: 103.5, Work: 104.5, Spread: 0.105, Guess: 106.5,
			Grant: 1.075, Ample: 108.5}},
		Engines: []policy.LearnedEngine{{
			Engine: policy.Engine{ID: "engine-1", Zone: "zone-a", Kind: "std-8", Cell: 201, State: policy.EngineLive,
				Started: 202 * time.Second, Fresh: true},
			Loop:  policy.LearnedLoop{Bound: 211.5, Alpha: 0.0212, Level: 0.213, Slow: 2.14, Pressed: 215 * time.Second},
			Begun: 221 * time.Second, ColdUntil: 222 * time.Second, ColdTold: 223 * time.Second, ColdNext: 224 * time.Second,
			ColdWas: 225 * time.Second, Heard: 226 * time.Second, ToldAt: 227 * time.Second, LostAt: 228 * time.Second,
			TrialAt: 229 * time.Second,
			Draw:    0.231, Load: 2.32, Faults: 0.233, Doubted: true, Erring: true, Suspected: true,
			Mute: map[string]time.Duration{"lookup": 241 * time.Second},
			Held: map[int64]time.Duration{242: 243 * time.Second},
			Lost: map[string]int{"lookup": 244},
		}},
		Fleet: policy.LearnedLoop{Bound: 301.5, Alpha: 0.0302, Level: 0.303, Slow: 3.04, Pressed: 305 * time.Second},
		Sets:  map[int64]float64{401: 40.25}, SetSum: 40.5, Dear: -4.06, Load: 4.07, Mine: 4.08, Theirs: 4.09, Rate: 41.5, Width: 4.11,
		Ticked: 412,
	}
}

func encodedFixture(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/learned-c18a9bd.hex")
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDecodeSnapshotOfEarlierVersion decodes what commit c18a9bd encoded, and encodes it to the same bytes.
func TestDecodeSnapshotOfEarlierVersion(t *testing.T) {
	b := encodedFixture(t)
	var got policy.Learned
	if err := cbor.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(encodedLearned(), got); diff != "" {
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

// TestDecodeDamagedSnapshot cuts the snapshot short at each length, which is an error, and flips each bit: what still
// decodes must not make a gateway panic.
func TestDecodeDamagedSnapshot(t *testing.T) {
	b := encodedFixture(t)
	for n := range b {
		var l policy.Learned
		if err := cbor.Unmarshal(b[:n], &l); err == nil {
			t.Errorf("snapshot cut to %d of %d bytes decoded without an error", n, len(b))
		}
	}
	for bit := range 8 * len(b) {
		damaged := append([]byte{}, b...)
		damaged[bit/8] ^= 1 << (bit % 8)
		var l policy.Learned
		if cbor.Unmarshal(damaged, &l) != nil {
			continue
		}
		g, err := policy.New(analytics(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 200 * time.Second
		g.Learn(now, l)
		g.Handle(now, policy.Engines{Mode: policy.ListFull, Engines: []policy.Engine{{ID: "engine-1", Zone: "a", Kind: "std-8", State: policy.EngineLive}}}, nil)
		for id := uint64(1); id < 5; id++ {
			g.Handle(now, policy.Arrive{Query: id, Class: "lookup", Deadline: now + 6*time.Second}, nil)
			now += 600 * time.Millisecond
			g.Handle(now, policy.Timer{}, nil)
			g.Handle(now, policy.Outcome{Query: id, Result: policy.Served, Elapsed: time.Second, Final: true}, nil)
		}
	}
}
