package message

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// kinds makes an empty message of each type.
var kinds = []func() Message{
	func() Message { return &Hello{} }, func() Message { return &Request{} }, func() Message { return &Response{} }, func() Message { return &LoadReport{} }, func() Message { return &SentKeys{} },
}

func samples() []Message {
	return []Message{
		&Hello{Site: "lalitpur", Gateway: "lalitpur-1", Incarnation: 1 << 60, Format: "lines", AcceptsZstd: true},
		&Request{ID: "0123456789abcdef", Class: "load", Idempotency: 1, IdempotencyKey: "k", DataSet: -3, RemainingUS: 1, WorkUS: 5, MemoryMB: 1.5, ClientRetry: true, MaxSends: 2, FirstSentAgoUS: 1, Size: MaxBodySize, UncompressedSize: 9},
		&Response{Verdict: 2, MayHaveRun: true, SendCount: 1, WorkUS: 7, Size: 4, UncompressedSize: 9},
		&LoadReport{FreeCapacity: map[string]float64{"lookup": 1, "report": 0}, WorkSeconds: 3.5, Draining: true},
		&SentKeys{Keys: []SentKey{{"k", 0}}},
	}
}

// Messages are decoded as they were encoded, and none that is cut short or has more behind it.
func TestMessages(t *testing.T) {
	for i, h := range samples() {
		enc, err := Append(nil, h)
		if err != nil {
			t.Fatal(err)
		}
		got := kinds[i]()
		if err := Decode(enc, got); err != nil {
			t.Errorf("%T: %v", h, err)
		}
		if diff := cmp.Diff(h, got); diff != "" {
			t.Error(diff)
		}
		if Decode(enc[:len(enc)-1], kinds[i]()) == nil || Decode(append(bytes.Clone(enc), 0), kinds[i]()) == nil {
			t.Errorf("%T: decoded though cut short, or with more behind it", h)
		}
	}
}

// A field out of its bounds is an error.
func TestBounds(t *testing.T) {
	change := func(i int, f func(h Message)) Message { h := samples()[i]; f(h); return h }
	for name, h := range map[string]Message{
		"no name":            change(0, func(h Message) { h.(*Hello).Site = "" }),
		"a name of a page":   change(0, func(h Message) { h.(*Hello).Gateway = strings.Repeat("x", MaxNameLength+1) }),
		"a line's end":       change(1, func(h Message) { h.(*Request).ID = "a\r\nb" }),
		"no such effect":     change(1, func(h Message) { h.(*Request).Idempotency = 3 }),
		"time before":        change(1, func(h Message) { h.(*Request).RemainingUS = -1 }),
		"a time for ever":    change(1, func(h Message) { h.(*Request).FirstSentAgoUS = math.MaxInt64 }),
		"memory NaN":         change(1, func(h Message) { h.(*Request).MemoryMB = math.NaN() }),
		"no sends":           change(1, func(h Message) { h.(*Request).MaxSends = 0 }),
		"3 GB":               change(1, func(h Message) { h.(*Request).Size = 3 << 30 }),
		"3 GB unpacked":      change(1, func(h Message) { h.(*Request).UncompressedSize = 3 << 30 }),
		"no statement":       change(1, func(h Message) { h.(*Request).Size = 0 }),
		"no such verdict":    change(2, func(h Message) { h.(*Response).Verdict = 3 }),
		"served, never ran":  change(2, func(h Message) { h.(*Response).MayHaveRun = false }),
		"packed nothing":     change(2, func(h Message) { h.(*Response).Size = 0 }),
		"room beyond all":    change(3, func(h Message) { h.(*LoadReport).FreeCapacity["lookup"] = 1.01 }),
		"room NaN":           change(3, func(h Message) { h.(*LoadReport).FreeCapacity["lookup"] = math.NaN() }),
		"takes without end":  change(3, func(h Message) { h.(*LoadReport).WorkSeconds = math.Inf(1) }),
		"a key of nothing":   change(4, func(h Message) { h.(*SentKeys).Keys[0].Key = "" }),
		"a key to be sent":   change(4, func(h Message) { h.(*SentKeys).Keys[0].AgoUS = -1 }),
		"keys by the armful": change(4, func(h Message) { h.(*SentKeys).Keys = make([]SentKey, MaxKeys+1) }),
	} {
		enc, err := Append(nil, h)
		if err != nil {
			t.Fatal(err)
		}
		for i, fresh := range kinds {
			if _, same := h.(interface{ check() error }); !same || i != place(h) {
				continue
			}
			if err := Decode(enc, fresh()); err == nil {
				t.Errorf("%s: decoded", name)
			} else if name != "keys by the armful" && !errors.Is(err, ErrBounds) {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	if err := Decode([]byte("\xa1\x18\x63\x00"), &Response{}); err == nil {
		t.Error("a field that there is none of was read")
	}
}

func place(h Message) int {
	switch h.(type) {
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

// Any bytes are an error, or a head within its bounds that writes itself back the same.
func FuzzRead(f *testing.F) {
	for i, h := range samples() {
		enc, err := Append(nil, h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, enc)
	}
	f.Fuzz(func(t *testing.T, i int, b []byte) {
		h := kinds[uint(i)%uint(len(kinds))]()
		if Decode(b, h) != nil {
			return
		}
		enc, err := Append(nil, h)
		if err != nil {
			t.Fatal(err)
		}
		again := kinds[uint(i)%uint(len(kinds))]()
		if err := Decode(enc, again); err != nil {
			t.Errorf("%+v: %v", h, err)
		}
	})
}
