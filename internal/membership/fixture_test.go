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

// The files in testdata were written by the version before the names of this package changed: in hexadecimal, the
// state that a process saves for the one that replaces it, and a signed datagram.

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

func savedStateFixture() decide.SavedState {
	return decide.SavedState{
		Self: 1, Incarnation: 1_800_000_000, View: decide.View{Number: 9, Digest: 0xdeadbeef, Size: 3}, HasMajority: true, HighestView: 12,
		Members: []decide.SavedMember{
			// author 2, incarnation 300, sequence 5, says that it does not hear member 4 (incarnation 7)
			{ID: 2, Record: []byte{4, 0xd8, 4, 5, 4, 0x11, 7}, State: decide.Alive, ViewAge: 5 * time.Second, LossRate: 0.25},
			{ID: 3, State: decide.Unknown},
			{ID: 4, Record: []byte{8, 14, 1, 1}, State: decide.Departed, ViewAge: time.Hour, LossRate: 1},
		},
		// owner 2, incarnation 300, version 4, topic 5, key 6, 2 bytes; then one of member 1 itself
		Gossip: []byte{2, 0, 0, 1, 44, 4, 5, 6, 2, 'h', 'i', 1, 0x6b, 0x49, 0xd2, 0, 1, 5, 7, 1, 'x'},
	}
}

// resumeStored does what a process does with the saved state of the one before it.
func resumeStored(b []byte) error {
	var c decide.SavedState
	if err := savedStateDecoding.Unmarshal(b, &c); err != nil {
		return err
	}
	m, err := decide.Resume(decide.DefaultConfig(), c, 1, []decide.ID{1, 2, 3}, 5*time.Hour, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return err
	}
	for now := 5 * time.Hour; now < 5*time.Hour+time.Second; now += m.TickInterval() {
		m.Handle(now, decide.Tick{})
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
		t.Error(diff)
	}
	if again, err := cbor.Marshal(got); err != nil || !slices.Equal(again, b) {
		t.Errorf("written anew as %x, want %x (%v)", again, b, err)
	}
	if err := resumeStored(b); err != nil {
		t.Error(err)
	}
	m, err := decide.Resume(decide.DefaultConfig(), got, 1, nil, 5*time.Hour, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[decide.ID]decide.State{2: decide.Alive, 3: decide.Unknown, 4: decide.Departed} {
		if state, _, _ := m.State(id); state != want {
			t.Errorf("state of member %d = %s, want %s", id, state, want)
		}
	}
	if all := m.GossipMessages(5); len(all) != 2 || string(all[0].Body) != "x" || string(all[1].Body) != "hi" || all[1].Incarnation != 300 || all[1].Version != 4 || all[1].Key != 6 {
		t.Errorf("resumed with %+v", all)
	}
}

// What is cut short is refused; what was changed is refused or resumed, and nothing panics.
func TestDamagedSavedState(t *testing.T) {
	b := storedBytes(t, "saved_state.hex")
	for n := range b {
		if resumeStored(b[:n]) == nil {
			t.Errorf("%d of %d bytes are taken", n, len(b))
		}
	}
	refused := 0
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if err := resumeStored(flipped); errors.Is(err, decide.ErrInvalidSavedState) {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no change of a bit was refused by the decisions")
	}
}

const signedAt = 500_000 * time.Hour

func signedFixture() (from, to netip.AddrPort, keys []Key, payload []byte) {
	return netip.MustParseAddrPort("10.0.0.3:7946"), netip.MustParseAddrPort("10.0.0.4:7946"),
		[]Key{{7, []byte("a secret of sixteen bytes and more")}, {8, []byte("the one before")}}, []byte("what is signed")
}

func TestSignedDatagramOfEarlierVersion(t *testing.T) {
	b := storedBytes(t, "signed.hex")
	from, to, keys, payload := signedFixture()
	if again := NewKeyring(from, keys).seal(signedAt, to, payload); !slices.Equal(again, b) {
		t.Errorf("signed anew as %x, want %x", again, b)
	}
	checkOpen(t, NewKeyring(to, keys), signedAt, from, b, string(payload), "")
	for n := range b {
		if _, err := NewKeyring(to, keys).open(signedAt, from, b[:n]); err == nil {
			t.Errorf("%d of %d bytes are taken", n, len(b))
		}
	}
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if _, err := NewKeyring(to, keys).open(signedAt, from, flipped); err == nil {
			t.Errorf("bit %d is changed and the datagram is taken", i)
		}
	}
}
