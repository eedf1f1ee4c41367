package handover

import (
	"bytes"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// newChannelPair returns both ends of a new channel, which are closed when the test ends.
func newChannelPair(t *testing.T) (a, b *Channel) {
	t.Helper()
	a, f, err := NewChannelPair()
	if err != nil {
		t.Fatal(err)
	}
	if b, err = ChannelFromFile(f); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = a.Close() // some tests close it themselves
		_ = b.Close()
	})
	return a, b
}

// Messages arrive complete and in order, each with its own descriptors, even if the sender has closed
// its end before they are read. The end of the channel is not an error, but an invalid frame is, and
// so is an end in the middle of a frame.
func TestChannel(t *testing.T) {
	a, b := newChannelPair(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	sent := []Message{
		&Hello{Major: 1, Minor: 2, Problem: "no"}, &ConnectionTransfer{Conn: 7, Frontend: "rest", State: []byte{1}, Unread: bytes.Repeat([]byte("x"), 200_000)},
		&RequestRecord{Conn: 7, UngroupedIdempotency: 1, FirstSentAt: time.Second, KeyWindow: 12 * time.Second}, &OutputRecord{Conn: 7, Offset: 9, Data: []byte("y"), Idle: true, Consumed: 3}, &OwnershipCommit{},
	}
	go func() {
		for _, m := range sent {
			var fds []int
			if _, ok := m.(*ConnectionTransfer); ok {
				fds = append(fds, int(w.Fd()))
			}
			if err := a.Send(m, fds...); err != nil {
				t.Error(err)
			}
		}
		_ = w.Close()
		_ = a.Close()
	}()
	var got []Message
	err = b.Read(func(m Message, fds []int) {
		got = append(got, m)
		if _, ok := m.(*ConnectionTransfer); ok != (len(fds) == 1) {
			t.Errorf("%T received with %d descriptors; only a ConnectionTransfer has one", m, len(fds))
		}
		for _, fd := range fds {
			f := os.NewFile(uintptr(fd), "transferred")
			_, _ = f.WriteString("transferred")
			_ = f.Close()
		}
	})
	if err != nil {
		t.Errorf("Read at the end of the channel = %v, want nil", err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("messages (-sent +got):\n%s", diff)
	}
	buf := make([]byte, 16)
	if n, _ := r.Read(buf); string(buf[:n]) != "transferred" {
		t.Errorf("read %q through the transferred descriptor, want %q", buf[:n], "transferred")
	}
	for name, raw := range map[string]string{"truncated": "\x00\x00\x00\x09\x00", "too long": "\xff\x00\x00\x00\x00\x01", "unknown kind": "\x00\x00\x00\x00\x00\xee", "invalid CBOR": "\x00\x00\x00\x01\x00\x01\xff", "descriptors missing": "\x00\x00\x00\x01\x02\x02\xa0"} {
		a, b := newChannelPair(t)
		_, _ = a.conn.Write([]byte(raw))
		_ = a.Close()
		if err := b.Read(func(m Message, _ []int) { t.Errorf("%s: got message %T, want none", name, m) }); err == nil || !errors.Is(err, ErrMalformedFrame) && !errors.Is(err, ErrUnknownKind) {
			t.Errorf("%s: error = %v, want ErrMalformedFrame or ErrUnknownKind", name, err)
		}
	}
}

// A state from a version with additional sections is decoded; the unknown sections are reported and
// ignored. Sections that are missing leave their fields empty. The error for an invalid section
// contains its name.
func TestSections(t *testing.T) {
	state := &ProcessState{LastEvent: 41, Counters: map[string]int64{"taken.lookup": 3}, Clock: Clock{Now: time.Hour}}
	message, err := state.message()
	if err != nil {
		t.Fatal(err)
	}
	message.Sections["unknown-section"] = cbor.RawMessage{0x01}
	delete(message.Sections, "shapes")
	got, unknown, err := message.decode()
	if err != nil || len(unknown) != 1 || unknown[0] != "unknown-section" {
		t.Errorf("decode: unknown sections %q, error %v, want only %q and no error", unknown, err, "unknown-section")
	}
	if got.LastEvent != 41 || got.Counters["taken.lookup"] != 3 || got.Clock.Now != time.Hour {
		t.Errorf("decoded state = %+v, want event 41, counter 3 and clock 1h", got)
	}
	message.Sections["event"] = cbor.RawMessage{0x61, 'x'}
	if _, _, err := message.decode(); err == nil || !bytes.Contains([]byte(err.Error()), []byte("event")) {
		t.Errorf("decode with an invalid section: error = %v, want one that names the section %q", err, "event")
	}
}

// No input from the other process causes a panic, and a parsed frame is never longer than the input.
func FuzzParseFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x01\x00\x02\xa0"))
	f.Add([]byte("\x00\x00\x00\x09\x00\x01\xa2\x01\x01\x03\x64abcd"))
	f.Add([]byte("\x00\x00\x00\x05\x01\x0a\xa1\x03\x42ab"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, _, used, err := parseFrame(b)
		if used > len(b) || (m == nil) != (used == 0) || err != nil && used > 0 {
			t.Errorf("parseFrame = %T, %d of %d bytes used, error %v, want a message and its size, or no message and 0 bytes", m, used, len(b), err)
		}
		if state, ok := m.(*State); ok {
			_, _, _ = state.decode()
		}
	})
}
