package message

import (
	"bytes"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixtures are the messages behind the files under testdata, which were written by the code
// before the link's packages were reworked.
func fixtures() map[string]Message {
	return map[string]Message{
		"greet":         &Hello{Site: "lalitpur", Gateway: "lalitpur-1", Incarnation: 1<<60 + 5, Format: "lines", AcceptsZstd: true},
		"ask":           &Request{ID: "0123456789abcdef", Class: "load", Idempotency: 1, IdempotencyKey: "k-7", DataSet: -3, RemainingUS: 1_500_001, WorkUS: 250_002, MemoryMB: 1.5, ClientRetry: true, MaxSends: 2, FirstSentAgoUS: 3, Size: 4096, UncompressedSize: 9000},
		"ask-least":     &Request{ID: "a", Class: "lookup", Idempotency: 2, RemainingUS: 1, MaxSends: 1, Size: 1},
		"answer-served": &Response{Verdict: 2, MayHaveRun: true, SendCount: 1, WorkUS: 7, Size: 4, UncompressedSize: 9},
		"answer-refuse": &Response{Verdict: 1, SendCount: 3, RetryAfterUS: 2_000_000, DeadlinePassed: true},
		"answer-failed": &Response{Verdict: 0, MayHaveRun: true, SendCount: 1, Size: 12, IsError: true},
		"digest":        &LoadReport{FreeCapacity: map[string]float64{"lookup": 1, "report": 0.25, "load": 0}, WorkSeconds: 3.5, Draining: true},
		"keys":          &SentKeys{Keys: []SentKey{{"k-1", 0}, {"k-2", 86_000_000_000}}},
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
			if err := Decode(raw, got); err != nil {
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
				if Decode(raw[:n], fresh()) == nil {
					t.Errorf("cut at %d of %d bytes: not refused", n, len(raw))
				}
				for bit := range 8 {
					damaged := bytes.Clone(raw)
					damaged[n] ^= 1 << bit
					h := fresh()
					if Decode(damaged, h) != nil {
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
