package remotesite

import (
	"testing"
	"time"
)

// TestKeyHistory checks that the earliest send of a key counts, whichever site reports it, and that the
// size of the history and the age of its keys are bounded.
func TestKeyHistory(t *testing.T) {
	now := time.Hour
	h := NewKeyHistory(time.Minute, 3)
	h.Record(now, "a", now, ThisSite)
	h.Record(now, "a", now-2*time.Second, OtherSite)
	if h.Record(now, "a", now, ThisSite) {
		t.Error("Record of a later send = true, want false")
	}
	if at, origin, ok := h.FirstSend(now, "a"); !ok || at != now-2*time.Second || origin != OtherSite {
		t.Errorf("FirstSend = %v, %v, %v, want %v, OtherSite, true", at, origin, ok, now-2*time.Second)
	}
	h.Retract("a", now)
	if _, _, ok := h.FirstSend(now, "a"); !ok {
		t.Error("key after Retract of a send that was not its first: unknown, want known")
	}
	h.Retract("a", now-2*time.Second)
	if _, _, ok := h.FirstSend(now, "a"); ok {
		t.Error("key after Retract of its first send: known, want unknown")
	}
	if expired, empty := h.Record(now, "old", now-time.Hour, OtherSite), h.Record(now, "", now, OtherSite); expired || empty {
		t.Errorf("Record = %v for an expired key and %v for an empty one, want false for both", expired, empty)
	}
	for _, key := range []string{"b", "c", "d", "e"} {
		h.Record(now, key, now, ThisSite)
	}
	if _, _, ok := h.FirstSend(now, "b"); ok || h.Len() != 3 {
		t.Errorf("Len = %d, oldest key known: %v, want 3, false", h.Len(), ok)
	}
	if _, _, ok := h.FirstSend(now+time.Minute, "e"); ok {
		t.Error("key past its retention: known, want unknown")
	}
}
