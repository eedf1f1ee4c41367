package remotesite

import (
	"testing"
	"time"
)

// TestKeyHistory checks that the earliest send of a key counts, whoever reports it, and that the
// history is bounded.
func TestKeyHistory(t *testing.T) {
	now := time.Hour
	k := NewKeyHistory(time.Minute, 3)
	k.Record(now, "a", now, ThisSite)
	k.Record(now, "a", now-2*time.Second, OtherSite)
	if k.Record(now, "a", now, ThisSite) {
		t.Error("a later send is reported as new")
	}
	if at, origin, ok := k.FirstSend(now, "a"); !ok || at != now-2*time.Second || origin != OtherSite {
		t.Errorf("first send = %v, %v, %v, want %v at the other site", at, origin, ok, now-2*time.Second)
	}
	k.Retract("a", now)
	if _, _, ok := k.FirstSend(now, "a"); !ok {
		t.Error("retracting another send removed the key")
	}
	k.Retract("a", now-2*time.Second)
	if _, _, ok := k.FirstSend(now, "a"); ok {
		t.Error("a retracted key is known")
	}
	if k.Record(now, "old", now-time.Hour, OtherSite) || k.Record(now, "", now, OtherSite) {
		t.Error("an expired or empty key is reported as new")
	}
	for _, key := range []string{"b", "c", "d", "e"} {
		k.Record(now, key, now, ThisSite)
	}
	if _, _, ok := k.FirstSend(now, "b"); ok || k.Len() != 3 {
		t.Errorf("keys = %d, want 3 without the oldest", k.Len())
	}
	if _, _, ok := k.FirstSend(now+time.Minute, "e"); ok {
		t.Error("a key is known past its retention")
	}
}
