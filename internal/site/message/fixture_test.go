package message

import (
	"bytes"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixtures are the messages behind the files under testdata, which were written by the code
// before the link's packages were reworked.
func fixtures() map[string]Head {
	return map[string]Head{
		"greet":         &Greet{Site: "lalitpur", Gateway: "lalitpur-1", Start: 1<<60 + 5, Form: "lines", Zstd: true},
		"ask":           &Ask{ID: "0123456789abcdef", Class: "load", Effect: 1, Key: "k-7", Group: -3, Left: 1_500_001, Work: 250_002, MB: 1.5, Repeat: true, Sends: 2, Before: 3, Size: 4096, Raw: 9000},
		"ask-least":     &Ask{ID: "a", Class: "lookup", Effect: 2, Left: 1, Sends: 1, Size: 1},
		"answer-served": &Answer{Verdict: 2, Ran: true, Sends: 1, Work: 7, Size: 4, Raw: 9},
		"answer-refuse": &Answer{Verdict: 1, Sends: 3, ComeBack: 2_000_000, Late: true},
		"answer-failed": &Answer{Verdict: 0, Ran: true, Sends: 1, Size: 12, Detail: true},
		"digest":        &Digest{Room: map[string]float64{"lookup": 1, "report": 0.25, "load": 0}, Takes: 3.5, Drains: true},
		"keys":          &Keys{Sent: []Key{{"k-1", 0}, {"k-2", 86_000_000_000}}},
	}
}

// TestFixtures decodes each file to the same fields and encodes these to the same bytes; cut
// short it is refused, and with a changed byte it is refused or read within its bounds.
func TestFixtures(t *testing.T) {
	for name, want := range fixtures() {
		t.Run(name, func(t *testing.T) {
			raw, err := os.ReadFile("testdata/" + name + ".cbor")
			if err != nil {
				t.Fatal(err)
			}
			fresh := kinds[place(want)]
			got := fresh()
			if err := Read(raw, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
			again, err := Append(nil, got)
			if err != nil || !bytes.Equal(again, raw) {
				t.Errorf("encoded = %x, %v, want %x", again, err, raw)
			}
			for n := range raw {
				if Read(raw[:n], fresh()) == nil {
					t.Errorf("cut at %d of %d bytes: not refused", n, len(raw))
				}
				for bit := range 8 {
					damaged := bytes.Clone(raw)
					damaged[n] ^= 1 << bit
					h := fresh()
					if Read(damaged, h) != nil {
						continue
					}
					if err := h.check(); err != nil {
						t.Errorf("byte %d, bit %d changed: read out of bounds: %v", n, bit, err)
					}
				}
			}
		})
	}
}
