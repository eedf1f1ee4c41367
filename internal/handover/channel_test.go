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

func pairs(t *testing.T) (a, b *Channel) {
	t.Helper()
	a, f, err := NewChannelPair()
	if err != nil {
		t.Fatal(err)
	}
	if b, err = ChannelFromFile(f); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = a.Close() // some tests have closed it
		_ = b.Close()
	})
	return a, b
}

// Messages arrive whole and in order, each with its own descriptors, also where their sender
// has ended since; the channel's end is no error, an end in the middle of a frame is.
func TestChannel(t *testing.T) {
	a, b := pairs(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	sent := []Message{
		&Hello{Major: 1, Minor: 2, Problem: "no"}, &ConnectionTransfer{Conn: 7, Frontend: "rest", State: []byte{1}, Unread: bytes.Repeat([]byte("x"), 200_000)},
		&RequestRecord{Conn: 7, Idempotency: 1, FirstSend: time.Second, KeyWindow: 12 * time.Second}, &OutputRecord{Conn: 7, Offset: 9, Data: []byte("y"), Idle: true, Consumed: 3}, &OwnershipCommit{},
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
			t.Errorf("%T came with %d descriptors", m, len(fds))
		}
		for _, fd := range fds {
			f := os.NewFile(uintptr(fd), "moved")
			_, _ = f.WriteString("moved")
			_ = f.Close()
		}
	})
	if err != nil {
		t.Errorf("the channel's end: %v", err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("messages (-sent +got):\n%s", diff)
	}
	buf := make([]byte, 16)
	if n, _ := r.Read(buf); string(buf[:n]) != "moved" {
		t.Errorf("through the descriptor came %q", buf[:n])
	}
	for name, raw := range map[string]string{"cut off": "\x00\x00\x00\x09\x00", "too long": "\xff\x00\x00\x00\x00\x01", "no kind": "\x00\x00\x00\x00\x00\xee", "no CBOR": "\x00\x00\x00\x01\x00\x01\xff", "descriptors missing": "\x00\x00\x00\x01\x02\x02\xa0"} {
		a, b := pairs(t)
		_, _ = a.conn.Write([]byte(raw))
		_ = a.Close()
		if err := b.Read(func(m Message, _ []int) { t.Errorf("%s: read %T", name, m) }); err == nil || !errors.Is(err, ErrMalformedFrame) && !errors.Is(err, ErrUnknownKind) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A version that knows more sections than this one is understood: those are named and passed
// by. One that knows fewer leaves the rest empty. A section that can't be read is named.
func TestSections(t *testing.T) {
	k := &ProcessState{LastEvent: 41, Counters: map[string]int64{"taken.lookup": 3}, Clock: Clock{Now: time.Hour}}
	w, err := k.message()
	if err != nil {
		t.Fatal(err)
	}
	w.Sections["weather"] = cbor.RawMessage{0x01}
	delete(w.Sections, "shapes")
	got, unknown, err := w.decode()
	if err != nil || len(unknown) != 1 || unknown[0] != "weather" {
		t.Errorf("unknown sections: %v, %v", unknown, err)
	}
	if got.LastEvent != 41 || got.Counters["taken.lookup"] != 3 || got.Clock.Now != time.Hour {
		t.Errorf("read %+v", got)
	}
	w.Sections["event"] = cbor.RawMessage{0x61, 'x'}
	if _, _, err := w.decode(); err == nil || !bytes.Contains([]byte(err.Error()), []byte("event")) {
		t.Errorf("a bad section: %v", err)
	}
}

// No bytes of the other process crash this one, and what is read takes no more than is there.
func FuzzParse(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x01\x00\x02\xa0"))
	f.Add([]byte("\x00\x00\x00\x09\x00\x01\xa2\x01\x01\x03\x64abcd"))
	f.Add([]byte("\x00\x00\x00\x05\x01\x0a\xa1\x03\x42ab"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, _, used, err := parseFrame(b)
		if used > len(b) || (m == nil) != (used == 0) || err != nil && used > 0 {
			t.Errorf("%T, %d of %d, %v", m, used, len(b), err)
		}
		if w, ok := m.(*State); ok {
			_, _, _ = w.decode()
		}
	})
}
