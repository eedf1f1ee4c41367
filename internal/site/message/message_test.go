package message

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// newMessages holds a constructor of an empty message for each type, indexed by typeIndex.
var newMessages = []func() Message{
	func() Message { return &Hello{} }, func() Message { return &Request{} }, func() Message { return &Response{} }, func() Message { return &LoadReport{} }, func() Message { return &SentKeys{} },
}

// samples returns a valid message of each type, indexed by typeIndex.
func samples() []Message {
	return []Message{
		&Hello{Site: "lalitpur", Gateway: "lalitpur-1", Incarnation: 1 << 60, Format: "lines", AcceptsZstd: true},
		&Request{ID: "0123456789abcdef", Class: "load", Idempotency: 1, IdempotencyKey: "k", DataSet: -3, RemainingUS: 1, WorkUS: 5, MemoryMB: 1.5, ClientRetry: true, MaxSends: 2, FirstSentAgoUS: 1, Size: MaxBodySize, UncompressedSize: 9},
		&Response{Verdict: 2, MayHaveRun: true, SendCount: 1, WorkUS: 7, Size: 4, UncompressedSize: 9},
		&LoadReport{FreeCapacity: map[string]float64{"lookup": 1, "report": 0}, WorkSeconds: 3.5, Draining: true},
		&SentKeys{Keys: []SentKey{{"k", 0}}},
	}
}

// Messages are decoded as they were encoded. Truncated messages and trailing bytes are errors.
func TestRoundTrip(t *testing.T) {
	for i, m := range samples() {
		encoded, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		got := newMessages[i]()
		if err := Decode(encoded, got); err != nil {
			t.Errorf("%T: error = %v, want none", m, err)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("%T (-want +got):\n%s", m, diff)
		}
		if Decode(encoded[:len(encoded)-1], newMessages[i]()) == nil || Decode(append(bytes.Clone(encoded), 0), newMessages[i]()) == nil {
			t.Errorf("%T: truncated or with a trailing byte: error = nil, want one", m)
		}
	}
}

// A field that is out of bounds is an error.
func TestBounds(t *testing.T) {
	change := func(i int, f func(m Message)) Message { m := samples()[i]; f(m); return m }
	for name, m := range map[string]Message{
		"empty name":             change(0, func(m Message) { m.(*Hello).Site = "" }),
		"name too long":          change(0, func(m Message) { m.(*Hello).Gateway = strings.Repeat("x", MaxNameLength+1) }),
		"line break in name":     change(1, func(m Message) { m.(*Request).ID = "a\r\nb" }),
		"unknown idempotency":    change(1, func(m Message) { m.(*Request).Idempotency = 3 }),
		"negative duration":      change(1, func(m Message) { m.(*Request).RemainingUS = -1 }),
		"duration too long":      change(1, func(m Message) { m.(*Request).FirstSentAgoUS = math.MaxInt64 }),
		"memory NaN":             change(1, func(m Message) { m.(*Request).MemoryMB = math.NaN() }),
		"maximum sends 0":        change(1, func(m Message) { m.(*Request).MaxSends = 0 }),
		"statement of 3 GB":      change(1, func(m Message) { m.(*Request).Size = 3 << 30 }),
		"3 GB uncompressed":      change(1, func(m Message) { m.(*Request).UncompressedSize = 3 << 30 }),
		"empty statement":        change(1, func(m Message) { m.(*Request).Size = 0 }),
		"unknown verdict":        change(2, func(m Message) { m.(*Response).Verdict = 3 }),
		"served without running": change(2, func(m Message) { m.(*Response).MayHaveRun = false }),
		"compressed empty body":  change(2, func(m Message) { m.(*Response).Size = 0 }),
		"capacity above 1":       change(3, func(m Message) { m.(*LoadReport).FreeCapacity["lookup"] = 1.01 }),
		"capacity NaN":           change(3, func(m Message) { m.(*LoadReport).FreeCapacity["lookup"] = math.NaN() }),
		"infinite work":          change(3, func(m Message) { m.(*LoadReport).WorkSeconds = math.Inf(1) }),
		"empty key":              change(4, func(m Message) { m.(*SentKeys).Keys[0].Key = "" }),
		"negative key age":       change(4, func(m Message) { m.(*SentKeys).Keys[0].AgoUS = -1 }),
		"too many keys":          change(4, func(m Message) { m.(*SentKeys).Keys = make([]SentKey, MaxKeys+1) }),
	} {
		encoded, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		for i, newMessage := range newMessages {
			if _, same := m.(interface{ check() error }); !same || i != typeIndex(m) {
				continue
			}
			if err := Decode(encoded, newMessage()); err == nil {
				t.Errorf("%s: error = nil, want one", name)
			} else if name != "too many keys" && !errors.Is(err, ErrBounds) {
				t.Errorf("%s: error = %v, want %v", name, err, ErrBounds)
			}
		}
	}
	if err := Decode([]byte("\xa1\x18\x63\x00"), &Response{}); err == nil {
		t.Error("unknown field: error = nil, want one")
	}
}

// typeIndex returns the index of a message's type in samples and newMessages.
func typeIndex(m Message) int {
	switch m.(type) {
	case *Hello:
		return 0
	case *Request:
		return 1
	case *Response:
		return 2
	case *LoadReport:
		return 3
	}
	return 4
}

// Arbitrary bytes are an error, or decode to a message that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for i, m := range samples() {
		encoded, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, encoded)
	}
	f.Fuzz(func(t *testing.T, i int, b []byte) {
		m := newMessages[uint(i)%uint(len(newMessages))]()
		if Decode(b, m) != nil {
			return
		}
		encoded, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		again := newMessages[uint(i)%uint(len(newMessages))]()
		if err := Decode(encoded, again); err != nil {
			t.Errorf("decode %+v again: error = %v, want none", m, err)
		}
	})
}
