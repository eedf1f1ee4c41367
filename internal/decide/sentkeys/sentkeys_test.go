package sentkeys

import (
	"strconv"
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// attempt returns an attempt at an engine, with a window of one minute.
func attempt(engine string, sentAt time.Duration) policy.PriorAttempt {
	return policy.PriorAttempt{SentAt: sentAt, Placement: policy.Placement{Engine: engine}, Window: time.Minute}
}

// TestHistory checks that an attempt is known from its record to its removal or the end of its window, and that another
// history with the same changes knows the same attempts.
func TestHistory(t *testing.T) {
	h := New(10)
	a, b, other := Key{"load", "a"}, Key{"load", "b"}, Key{"batch", "a"}
	for _, step := range []struct {
		change Change
		want   bool
	}{
		{Change{Key: a, Attempt: attempt("e", 0)}, true},
		{Change{Key: a, Attempt: attempt("e", 0)}, false},
		{Change{Key: a, Attempt: attempt("f", time.Second)}, true},
		{Change{Key: b, Attempt: attempt("e", 0)}, true},
		{Change{Key: b, Attempt: attempt("e", 0), NeverRan: true}, true},
		{Change{Key: b, Attempt: attempt("e", 0), NeverRan: true}, false},
		{Change{Key: b, Attempt: attempt("e", -time.Minute)}, false}, // its window is over
	} {
		if got := h.Apply(0, step.change); got != step.want {
			t.Errorf("Apply(%+v) = %v, want %v", step.change, got, step.want)
		}
	}
	copied := New(10)
	for _, change := range h.Changes(0) {
		copied.Apply(0, change)
	}
	for name, history := range map[string]*History{"original": h, "copy": copied} {
		for _, c := range []struct {
			now  time.Duration
			key  Key
			want []policy.PriorAttempt
		}{
			{0, a, []policy.PriorAttempt{attempt("e", 0), attempt("f", time.Second)}},
			{time.Minute, a, []policy.PriorAttempt{attempt("f", time.Second)}},
			{2 * time.Minute, a, nil}, {0, b, nil}, {0, other, nil},
		} {
			if diff := cmp.Diff(c.want, history.Attempts(c.now, c.key)); diff != "" {
				t.Errorf("%s: attempts of %v at %v (-want +got):\n%s", name, c.key, c.now, diff)
			}
		}
	}
}

// TestHistoryIsBounded guards against memory that grows with ever new keys, and with one key that comes again and again.
func TestHistoryIsBounded(t *testing.T) {
	for name, token := range map[string]func(n int) string{"new keys": strconv.Itoa, "one key": func(int) string { return "k" }} {
		h := New(10)
		for n := range 1000 {
			h.Apply(0, Change{Key: Key{"load", token(n)}, Attempt: attempt("e", time.Duration(n))})
		}
		kept := 0
		for _, attempts := range h.attempts {
			kept += len(attempts)
		}
		if evicted := h.TakeEvicted(); kept != 10 || len(h.order) != 10 || evicted != 990 {
			t.Errorf("%s: %d attempts in %d places, %d evicted, want 10, 10 and 990", name, kept, len(h.order), evicted)
		}
		h.Apply(2*time.Minute, Change{Key: Key{"load", "last"}, Attempt: attempt("e", 2*time.Minute)})
		if len(h.order) != 1 || len(h.attempts) != 1 {
			t.Errorf("%s: %d attempts of %d keys after their windows, want 1 of 1", name, len(h.order), len(h.attempts))
		}
	}
}
