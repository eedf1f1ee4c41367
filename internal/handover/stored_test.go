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

// storedFrames has at least one message of each kind. testdata/frames holds their frames as version
// c18a9bd sent them, and those added since as the version that added them sends them. Processes of different versions must be able
// to read each other's frames.
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
	{"sending", &RequestRecord{Conn: 7, UngroupedIdempotency: 1, FirstSentAt: 3 * time.Second, KeyWindow: 12 * time.Second, Deadline: time.Minute}, 0},
	{"sending-with-attempts", &RequestRecord{
		Conn: 7, FirstSentAt: 3 * time.Second, KeyWindow: 11 * time.Second, Deadline: time.Minute, AttemptsKnown: true, Idempotency: 1,
		Attempts: []core.AttemptRecord{
			{SentAt: 3 * time.Second, Engine: "s-1", Zone: "hall-a", Cell: 4, Scope: 1, Window: 12 * time.Second},
			{SentAt: 4 * time.Second, Scope: 2, Window: 10 * time.Second, OtherSite: true},
		},
	}, 0},
	{"sending-with-key", &RequestRecord{
		Conn: 7, FirstSentAt: 3 * time.Second, KeyWindow: 12 * time.Second, Deadline: time.Minute, AttemptsKnown: true, Idempotency: 1,
		Attempts: []core.AttemptRecord{{SentAt: 3 * time.Second, Engine: "s-1", Zone: "hall-a", Scope: 1, Window: 12 * time.Second}},
		Class:    "load", Key: "batch-7",
	}, 0},
	{"hello-reads-keys", &Hello{Major: 1, Minor: 1, Build: "x", ReadsSentKeys: true}, 0},
	{"sent-key", &SentKeyChanged{core.SentKey{Class: "load", Token: "batch-7", Attempt: core.AttemptRecord{SentAt: 3 * time.Second, Engine: "s-1", Zone: "hall-a", Scope: 1, Window: 12 * time.Second}}}, 0},
	{"sent-key-never-ran", &SentKeyChanged{core.SentKey{Class: "load", Token: "batch-7", Attempt: core.AttemptRecord{SentAt: 3 * time.Second, Engine: "s-1", OtherSite: true}, NeverRan: true}}, 0},
	{"sending-nothing-ran", &RequestRecord{Conn: 7, UngroupedIdempotency: 2, Deadline: time.Minute, AttemptsKnown: true, Idempotency: 1}, 0},
	{"output", &OutputRecord{Conn: 7, Offset: 99, Data: []byte("HTTP/1.1 200 OK"), Idle: true, Closing: true, Consumed: 1 << 33, State: []byte{0xa1, 1, 0xf5}}, 0},
	{"output-unsettled", &OutputRecord{Conn: 7, Offset: 99, Data: []byte("part")}, 0},
	{"output-in-transaction", &OutputRecord{Conn: 7, Offset: 99, Data: []byte("part"), Idle: true, Closing: true, Consumed: 1 << 33, State: []byte{0xa1, 1, 0xf5}, InTransaction: true}, 0},
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

// storedProcessState returns the state that testdata/knowledge.cbor holds, as version c18a9bd wrote it.
func storedProcessState() *ProcessState {
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

// readStoredFile returns the content of a file in testdata.
func readStoredFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Each stored frame is parsed to its message, and the message is sent as the same bytes.
func TestFramesOfStoredVersion(t *testing.T) {
	seen := map[byte]bool{}
	for _, tt := range storedFrames {
		t.Run(tt.file, func(t *testing.T) {
			stored := readStoredFile(t, filepath.Join("frames", tt.file+".bin"))
			got, descriptors, used, err := parseFrame(stored)
			if err != nil || used != len(stored) || descriptors != tt.descriptors {
				t.Fatalf("parseFrame: %d descriptors, %d bytes used, error %v, want %d descriptors and %d bytes", descriptors, used, err, tt.descriptors, len(stored))
			}
			if diff := cmp.Diff(tt.message, got); diff != "" {
				t.Errorf("message (-want +got):\n%s", diff)
			}
			if written := sendFrame(t, tt.message, tt.descriptors); !bytes.Equal(written, stored) {
				t.Errorf("sent as\n%x, want\n%x", written, stored)
			}
			seen[stored[5]] = true // byte 5 of a frame is the kind of its message
		})
	}
	for kind := range byte(0xff) {
		if (newMessage(kind) != nil) != seen[kind] {
			t.Errorf("message kind %d: known %v, has a stored frame %v, want both equal", kind, newMessage(kind) != nil, seen[kind])
		}
	}
}

// sendFrame sends a message with a number of descriptors and returns the bytes in the channel.
func sendFrame(t *testing.T, m Message, descriptors int) []byte {
	t.Helper()
	a, b := newChannelPair(t)
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

// parseFrame treats a truncated frame as incomplete, and Channel.Read fails with ErrMalformedFrame if
// the channel ends after it. If a bit of a frame is changed, parseFrame does not panic or use more bytes
// than there are, and its errors are ErrMalformedFrame or ErrUnknownKind.
func TestDamagedFrames(t *testing.T) {
	for _, tt := range storedFrames {
		t.Run(tt.file, func(t *testing.T) {
			stored := readStoredFile(t, filepath.Join("frames", tt.file+".bin"))
			for cut := range stored {
				if m, _, used, err := parseFrame(stored[:cut]); m != nil || used != 0 || err != nil {
					t.Errorf("parseFrame of the first %d bytes = %T, %d bytes used, error %v, want an incomplete frame", cut, m, used, err)
				}
				if err := readFrameBytes(t, stored[:cut]); cut > 0 && !errors.Is(err, ErrMalformedFrame) || cut == 0 && err != nil {
					t.Errorf("Read of a channel that ends after %d bytes: error %v, want ErrMalformedFrame, or none after 0 bytes", cut, err)
				}
			}
			for i := range stored {
				for bit := range 8 {
					damaged := bytes.Clone(stored)
					damaged[i] ^= 1 << bit
					_, _, used, err := parseFrame(damaged)
					if used > len(damaged) || err != nil && (used > 0 || !errors.Is(err, ErrMalformedFrame) && !errors.Is(err, ErrUnknownKind)) {
						t.Errorf("parseFrame with byte %d, bit %d changed: %d bytes used, error %v, want at most %d bytes, and no error or 0 bytes with ErrMalformedFrame or ErrUnknownKind", i, bit, used, err, len(damaged))
					}
				}
			}
		})
	}
}

// readFrameBytes returns the error of Channel.Read for a channel that ends after the bytes raw.
func readFrameBytes(t *testing.T, raw []byte) error {
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

// A state that version c18a9bd has encoded is decoded completely, and encoding it again gives the same
// sections. Decoding a truncated state fails. Decoding a state with a changed bit returns either an error
// or a state.
func TestStateOfStoredVersion(t *testing.T) {
	stored := readStoredFile(t, "knowledge.cbor")
	got, unknown, err := DecodeProcessState(stored)
	if err != nil || len(unknown) > 0 {
		t.Fatalf("DecodeProcessState: unknown sections %q, error %v, want none", unknown, err)
	}
	if diff := cmp.Diff(storedProcessState(), got); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
	written, err := storedProcessState().Encode()
	if err != nil {
		t.Fatal(err)
	}
	// The order of Go's maps is random, so the decoded sections are compared, not the bytes.
	var gotSections, wantSections struct {
		Sections map[string]any `cbor:"1,keyasint"`
	}
	if err := errors.Join(cbor.Unmarshal(written, &gotSections), cbor.Unmarshal(stored, &wantSections)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wantSections, gotSections); diff != "" {
		t.Errorf("encoded sections (-want +got):\n%s", diff)
	}
	for cut := range stored {
		if _, _, err := DecodeProcessState(stored[:cut]); err == nil {
			t.Errorf("DecodeProcessState of the first %d of %d bytes: no error, want one", cut, len(stored))
		}
	}
	for i := range stored {
		for bit := range 8 {
			damaged := bytes.Clone(stored)
			damaged[i] ^= 1 << bit
			if state, _, err := DecodeProcessState(damaged); (state == nil) == (err == nil) {
				t.Errorf("DecodeProcessState with byte %d, bit %d changed = %v, error %v, want either a state or an error", i, bit, state, err)
			}
		}
	}
}
