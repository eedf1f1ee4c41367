package handover

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// storedFrames are one frame of each kind. testdata/frames has their bytes as version c18a9bd
// sent them: two processes of different versions must read each other's frames.
var storedFrames = []struct {
	file        string
	message     Message
	descriptors int
}{
	{"hello", &Hello{Major: 1, Minor: 2, Problem: "gateway.toml:7: listen: missing", Build: "ringwood 1.0 (c18a9bd)"}, 0},
	{"hello-without-problem", &Hello{Major: 1, Build: "x"}, 0},
	{"ready", &Ready{}, 0},
	{"alive", &Heartbeat{Successes: 17, Failures: 3, InFlight: 300}, 0},
	{"input", &InputRecord{Conn: 70000, Offset: 1 << 40, ReceivedAt: 90 * time.Minute, Data: []byte("GET /x\x00\xff")}, 0},
	{"sending", &RequestRecord{Conn: 7, Idempotency: 1, FirstSend: 3 * time.Second, KeyWindow: 12 * time.Second, Deadline: time.Minute}, 0},
	{"output", &OutputRecord{Conn: 7, Offset: 99, Data: []byte("HTTP/1.1 200 OK"), Idle: true, Closing: true, Consumed: 1 << 33, State: []byte{0xa1, 1, 0xf5}}, 0},
	{"output-unsettled", &OutputRecord{Conn: 7, Offset: 99, Data: []byte("part")}, 0},
	{"closed", &ConnectionClosed{Conn: 1 << 31}, 0},
	{"world", &State{Sections: map[string]cbor.RawMessage{"event": {0x18, 0x29}}}, 0},
	{"go", &Serve{}, 0},
	{"given", &ConnectionTransfer{Conn: 7, Frontend: "rest", State: []byte{0xa0}, Unread: []byte("GET ")}, 1},
	{"commit", &OwnershipCommit{}, 0},
	{"reload", &Reload{}, 0},
	{"counts", &CounterIncrements{Counters: map[string]int64{"taken.lookup": 12345678901}}, 0},
	{"shared", &SharedState{Data: []byte{0x1a, 0, 1, 0, 7}}, 0},
	{"stray", &ForwardedCall{Data: []byte("cancel request")}, 0},
}

// storedKnowledge is what testdata/knowledge.cbor holds, as version c18a9bd wrote it.
func storedKnowledge() *ProcessState {
	return &ProcessState{
		Clock: Clock{Now: 1234567 * time.Second, Monotonic: 89 * time.Second},
		Core: core.Snapshot{
			Engines:   []core.Engine{{Engine: policy.Engine{ID: "s-1"}}},
			Overrides: adminstate.Overrides{"s-1": {Disabled: true, At: time.Minute, DisabledSince: time.Second}},
		},
		LastEvent: 4242, Shared: []byte("shared"), QueryShapes: []byte("shapes"), Membership: []byte("members"),
		Counters: map[string]int64{"taken.lookup": 3, "answered.served.lookup": 2},
	}
}

func storedBytes(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The bytes of each frame are read to the same message, and written anew byte for byte.
func TestFramesOfStoredVersion(t *testing.T) {
	seen := map[byte]bool{}
	for _, tt := range storedFrames {
		t.Run(tt.file, func(t *testing.T) {
			stored := storedBytes(t, filepath.Join("frames", tt.file+".bin"))
			got, descriptors, used, err := parseFrame(stored)
			if err != nil || used != len(stored) || descriptors != tt.descriptors {
				t.Fatalf("parse: %d descriptors, %d of %d bytes, error %v", descriptors, used, len(stored), err)
			}
			if diff := cmp.Diff(tt.message, got); diff != "" {
				t.Errorf("message (-want +got):\n%s", diff)
			}
			if written := sentBytes(t, tt.message, tt.descriptors); !bytes.Equal(written, stored) {
				t.Errorf("sent as\n%x, want\n%x", written, stored)
			}
			seen[stored[5]] = true
		})
	}
	for kind := range byte(0xff) {
		if (newMessage(kind) != nil) != seen[kind] {
			t.Errorf("kind %d: known %v, stored %v", kind, newMessage(kind) != nil, seen[kind])
		}
	}
}

// sentBytes are the bytes of a message as they lie in the channel.
func sentBytes(t *testing.T, m Message, descriptors int) []byte {
	t.Helper()
	a, b := pairs(t)
	var fds []int
	for range descriptors {
		fds = append(fds, int(os.Stdin.Fd()))
	}
	if err := a.Send(m, fds...); err != nil {
		t.Fatal(err)
	}
	_ = a.Close()
	raw, err := io.ReadAll(b.conn)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A frame that is cut short is waited for, and refused at the channel's end; one with a
// changed byte is read as something else or refused with a typed error. None panics.
func TestDamagedFrames(t *testing.T) {
	for _, tt := range storedFrames {
		t.Run(tt.file, func(t *testing.T) {
			stored := storedBytes(t, filepath.Join("frames", tt.file+".bin"))
			for cut := range stored {
				if m, _, used, err := parseFrame(stored[:cut]); m != nil || used != 0 || err != nil {
					t.Errorf("cut at byte %d: %T, %d bytes used, error %v", cut, m, used, err)
				}
				if err := readBytes(t, stored[:cut]); cut > 0 && !errors.Is(err, ErrMalformedFrame) || cut == 0 && err != nil {
					t.Errorf("a channel that ends at byte %d: error %v", cut, err)
				}
			}
			for i := range stored {
				for bit := range 8 {
					damaged := bytes.Clone(stored)
					damaged[i] ^= 1 << bit
					_, _, used, err := parseFrame(damaged)
					if used > len(damaged) || err != nil && (used > 0 || !errors.Is(err, ErrMalformedFrame) && !errors.Is(err, ErrUnknownKind)) {
						t.Errorf("byte %d, bit %d changed: %d bytes used, error %v", i, bit, used, err)
					}
				}
			}
		})
	}
}

// readBytes is the error with which a channel ends after these bytes.
func readBytes(t *testing.T, raw []byte) error {
	t.Helper()
	a, f, err := NewChannelPair()
	if err != nil {
		t.Fatal(err)
	}
	b, err := ChannelFromFile(f)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }()
	if _, err := a.conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	_ = a.Close()
	return b.Read(func(Message, []int) {})
}

// What a process of version c18a9bd knew is read whole, cut or changed bytes are refused or
// read as something else, and each part goes under its old name.
func TestKnowledgeOfStoredVersion(t *testing.T) {
	stored := storedBytes(t, "knowledge.cbor")
	got, unknown, err := DecodeProcessState(stored)
	if err != nil || len(unknown) > 0 {
		t.Fatalf("unknown sections %q, error %v", unknown, err)
	}
	if diff := cmp.Diff(storedKnowledge(), got); diff != "" {
		t.Errorf("knowledge (-want +got):\n%s", diff)
	}
	written, err := storedKnowledge().Encode()
	if err != nil {
		t.Fatal(err)
	}
	// Go's maps have no order, so the bytes of the parts are compared one by one.
	var now, then struct {
		Sections map[string]any `cbor:"1,keyasint"`
	}
	if err := errors.Join(cbor.Unmarshal(written, &now), cbor.Unmarshal(stored, &then)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(then, now); diff != "" {
		t.Errorf("written (-stored +now):\n%s", diff)
	}
	for cut := range stored {
		if _, _, err := DecodeProcessState(stored[:cut]); err == nil {
			t.Errorf("read, cut at byte %d of %d", cut, len(stored))
		}
	}
	for i := range stored {
		for bit := range 8 {
			damaged := bytes.Clone(stored)
			damaged[i] ^= 1 << bit
			if k, _, err := DecodeProcessState(damaged); (k == nil) == (err == nil) {
				t.Errorf("byte %d, bit %d changed: %v, error %v", i, bit, k, err)
			}
		}
	}
}
