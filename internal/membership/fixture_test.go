package membership

import (
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// The files in testdata were written by the version before the identifiers of this package were renamed. They hold, in
// hexadecimal, the saved state of a process and a signed datagram.

// storedBytes returns the decoded bytes of a file in testdata.
func storedBytes(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// savedStateFixture returns the state that saved_state.hex encodes.
func savedStateFixture() decide.SavedState {
	return decide.SavedState{
		Self: 1, Incarnation: 1_800_000_000, View: decide.View{Number: 9, Digest: 0xdeadbeef, Size: 3}, HasMajority: true, HighestView: 12,
		Members: []decide.SavedMember{
			// author 2, incarnation 300, sequence 5; states that it does not hear member 4 (incarnation 7)
			{ID: 2, Record: []byte{4, 0xd8, 4, 5, 4, 0x11, 7}, State: decide.Alive, ViewAge: 5 * time.Second, LossRate: 0.25},
			{ID: 3, State: decide.Unknown},
			{ID: 4, Record: []byte{8, 14, 1, 1}, State: decide.Departed, ViewAge: time.Hour, LossRate: 1},
		},
		// owner 2, incarnation 300, version 4, topic 5, key 6, a body of 2 bytes; then a message of member 1 itself
		Gossip: []byte{2, 0, 0, 1, 44, 4, 5, 6, 2, 'h', 'i', 1, 0x6b, 0x49, 0xd2, 0, 1, 5, 7, 1, 'x'},
	}
}

// resumeStored resumes from an encoded saved state and runs the member for a second.
func resumeStored(b []byte) error {
	var saved decide.SavedState
	if err := savedStateDecoding.Unmarshal(b, &saved); err != nil {
		return err
	}
	node, err := decide.Resume(decide.DefaultConfig(), saved, 1, []decide.ID{1, 2, 3}, 5*time.Hour, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return err
	}
	for now := 5 * time.Hour; now < 5*time.Hour+time.Second; now += node.TickInterval() {
		node.Handle(now, decide.Tick{})
	}
	return nil
}

func TestSavedStateOfEarlierVersion(t *testing.T) {
	b := storedBytes(t, "saved_state.hex")
	var got decide.SavedState
	if err := savedStateDecoding.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(savedStateFixture(), got); diff != "" {
		t.Errorf("decoded saved state (-want +got):\n%s", diff)
	}
	if encoded, err := cbor.Marshal(got); err != nil || !slices.Equal(encoded, b) {
		t.Errorf("re-encoded as %x, want %x (error %v)", encoded, b, err)
	}
	if err := resumeStored(b); err != nil {
		t.Errorf("error of resuming = %v, want none", err)
	}
	node, err := decide.Resume(decide.DefaultConfig(), got, 1, nil, 5*time.Hour, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[decide.ID]decide.State{2: decide.Alive, 3: decide.Unknown, 4: decide.Departed} {
		if state, _, _ := node.State(id); state != want {
			t.Errorf("state of member %d = %s, want %s", id, state, want)
		}
	}
	if all := node.GossipMessages(5); len(all) != 2 || string(all[0].Body) != "x" || string(all[1].Body) != "hi" || all[1].Incarnation != 300 || all[1].Version != 4 || all[1].Key != 6 {
		t.Errorf("gossip after resuming = %+v, want \"x\" and \"hi\", the latter with incarnation 300, version 4 and key 6", all)
	}
}

// A truncated saved state must be rejected. One with a flipped bit must be rejected or resumed, without a panic.
func TestDamagedSavedState(t *testing.T) {
	b := storedBytes(t, "saved_state.hex")
	for n := range b {
		if resumeStored(b[:n]) == nil {
			t.Errorf("the first %d of %d bytes were accepted, want an error", n, len(b))
		}
	}
	rejected := 0
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if err := resumeStored(flipped); errors.Is(err, decide.ErrInvalidSavedState) {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("no flipped bit led to ErrInvalidSavedState, want at least one")
	}
}

// signedAt is the sender's clock in signed.hex.
const signedAt = 500_000 * time.Hour

// signedFixture returns the inputs from which signed.hex was produced.
func signedFixture() (from, to netip.AddrPort, keys []Key, payload []byte) {
	return netip.MustParseAddrPort("10.0.0.3:7946"), netip.MustParseAddrPort("10.0.0.4:7946"),
		[]Key{{7, []byte("a secret of sixteen bytes and more")}, {8, []byte("the one before")}}, []byte("what is signed")
}

func TestSignedDatagramOfEarlierVersion(t *testing.T) {
	b := storedBytes(t, "signed.hex")
	from, to, keys, payload := signedFixture()
	if encoded := NewKeyring(from, keys).seal(signedAt, to, payload); !slices.Equal(encoded, b) {
		t.Errorf("signed as %x, want %x", encoded, b)
	}
	checkOpen(t, NewKeyring(to, keys), signedAt, from, b, string(payload), "")
	for n := range b {
		if _, err := NewKeyring(to, keys).open(signedAt, from, b[:n]); err == nil {
			t.Errorf("the first %d of %d bytes were accepted, want an error", n, len(b))
		}
	}
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if _, err := NewKeyring(to, keys).open(signedAt, from, flipped); err == nil {
			t.Errorf("datagram with bit %d flipped was accepted, want an error", i)
		}
	}
}
