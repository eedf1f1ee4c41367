package message

import (
	"bytes"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixtures returns the messages encoded in the files under testdata, by file name. The files were written
// before the link's packages were refactored, so that they guard the wire format.
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

// TestFixtures decodes each file to the expected fields and encodes them to the same bytes. A truncated
// file must be an error; a file with a flipped bit must be an error or decode to fields within bounds.
func TestFixtures(t *testing.T) {
	for name, want := range fixtures() {
		t.Run(name, func(t *testing.T) {
			raw, err := os.ReadFile("testdata/" + name + ".cbor")
			if err != nil {
				t.Fatal(err)
			}
			newMessage := newMessages[typeIndex(want)]
			got := newMessage()
			if err := Decode(raw, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
			encoded, err := Append(nil, got)
			if err != nil || !bytes.Equal(encoded, raw) {
				t.Errorf("encoded = %x, error %v, want %x", encoded, err, raw)
			}
			for n := range raw {
				if Decode(raw[:n], newMessage()) == nil {
					t.Errorf("truncated to %d of %d bytes: error = nil, want one", n, len(raw))
				}
				for bit := range 8 {
					damaged := bytes.Clone(raw)
					damaged[n] ^= 1 << bit
					m := newMessage()
					if Decode(damaged, m) != nil {
						continue
					}
					if err := m.check(); err != nil {
						t.Errorf("byte %d, bit %d flipped: decoded to a message with error %v, want a decoding error or fields within bounds", n, bit, err)
					}
				}
			}
		})
	}
}
