package message

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// kinds makes an empty head of each kind.
var kinds = []func() Head{
	func() Head { return &Greet{} }, func() Head { return &Ask{} }, func() Head { return &Answer{} }, func() Head { return &Digest{} }, func() Head { return &Keys{} },
}

func whole() []Head {
	return []Head{
		&Greet{Site: "lalitpur", Gateway: "lalitpur-1", Start: 1 << 60, Form: "lines", Zstd: true},
		&Ask{ID: "0123456789abcdef", Class: "load", Effect: 1, Key: "k", Group: -3, Left: 1, Work: 5, MB: 1.5, Repeat: true, Sends: 2, Before: 1, Size: MostBody, Raw: 9},
		&Answer{Verdict: 2, Ran: true, Sends: 1, Work: 7, Size: 4, Raw: 9},
		&Digest{Room: map[string]float64{"lookup": 1, "report": 0}, Takes: 3.5, Drains: true},
		&Keys{Sent: []Key{{"k", 0}}},
	}
}

// Heads come back as they were written, and nothing is read that is cut short or goes on.
func TestHeads(t *testing.T) {
	for i, h := range whole() {
		enc, err := Append(nil, h)
		if err != nil {
			t.Fatal(err)
		}
		got := kinds[i]()
		if err := Read(enc, got); err != nil {
			t.Errorf("%T: %v", h, err)
		}
		if diff := cmp.Diff(h, got); diff != "" {
			t.Error(diff)
		}
		if Read(enc[:len(enc)-1], kinds[i]()) == nil || Read(append(bytes.Clone(enc), 0), kinds[i]()) == nil {
			t.Errorf("%T: it was read though cut short, or with more behind it", h)
		}
	}
}

// What is out of its bounds is told.
func TestBounds(t *testing.T) {
	change := func(i int, f func(h Head)) Head { h := whole()[i]; f(h); return h }
	for name, h := range map[string]Head{
		"no name":            change(0, func(h Head) { h.(*Greet).Site = "" }),
		"a name of a page":   change(0, func(h Head) { h.(*Greet).Gateway = strings.Repeat("x", MostName+1) }),
		"a line's end":       change(1, func(h Head) { h.(*Ask).ID = "a\r\nb" }),
		"no such effect":     change(1, func(h Head) { h.(*Ask).Effect = 3 }),
		"time before":        change(1, func(h Head) { h.(*Ask).Left = -1 }),
		"a time for ever":    change(1, func(h Head) { h.(*Ask).Before = math.MaxInt64 }),
		"memory NaN":         change(1, func(h Head) { h.(*Ask).MB = math.NaN() }),
		"no sends":           change(1, func(h Head) { h.(*Ask).Sends = 0 }),
		"3 GB":               change(1, func(h Head) { h.(*Ask).Size = 3 << 30 }),
		"3 GB unpacked":      change(1, func(h Head) { h.(*Ask).Raw = 3 << 30 }),
		"no statement":       change(1, func(h Head) { h.(*Ask).Size = 0 }),
		"no such verdict":    change(2, func(h Head) { h.(*Answer).Verdict = 3 }),
		"served, never ran":  change(2, func(h Head) { h.(*Answer).Ran = false }),
		"packed nothing":     change(2, func(h Head) { h.(*Answer).Size = 0 }),
		"room beyond all":    change(3, func(h Head) { h.(*Digest).Room["lookup"] = 1.01 }),
		"room NaN":           change(3, func(h Head) { h.(*Digest).Room["lookup"] = math.NaN() }),
		"takes without end":  change(3, func(h Head) { h.(*Digest).Takes = math.Inf(1) }),
		"a key of nothing":   change(4, func(h Head) { h.(*Keys).Sent[0].Key = "" }),
		"a key to be sent":   change(4, func(h Head) { h.(*Keys).Sent[0].Ago = -1 }),
		"keys by the armful": change(4, func(h Head) { h.(*Keys).Sent = make([]Key, MostKeys+1) }),
	} {
		enc, err := Append(nil, h)
		if err != nil {
			t.Fatal(err)
		}
		for i, fresh := range kinds {
			if _, same := h.(interface{ check() error }); !same || i != place(h) {
				continue
			}
			if err := Read(enc, fresh()); err == nil {
				t.Errorf("%s: it was read", name)
			} else if name != "keys by the armful" && !errors.Is(err, ErrBounds) {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	if err := Read([]byte("\xa1\x18\x63\x00"), &Answer{}); err == nil {
		t.Error("a field that there is none of was read")
	}
}

func place(h Head) int {
	switch h.(type) {
	case *Greet:
		return 0
	case *Ask:
		return 1
	case *Answer:
		return 2
	case *Digest:
		return 3
	}
	return 4
}

// Any bytes are an error, or a head within its bounds that writes itself back the same.
func FuzzRead(f *testing.F) {
	for i, h := range whole() {
		enc, err := Append(nil, h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, enc)
	}
	f.Fuzz(func(t *testing.T, i int, b []byte) {
		h := kinds[uint(i)%uint(len(kinds))]()
		if Read(b, h) != nil {
			return
		}
		enc, err := Append(nil, h)
		if err != nil {
			t.Fatal(err)
		}
		again := kinds[uint(i)%uint(len(kinds))]()
		if err := Read(enc, again); err != nil {
			t.Errorf("%+v: %v", h, err)
		}
	})
}
