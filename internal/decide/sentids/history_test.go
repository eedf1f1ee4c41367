package sentids

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// TestHistory checks that an id is known from its record to its removal or the end of its retention.
func TestHistory(t *testing.T) {
	h := New(time.Minute, 10)
	if !h.Record(0, "a") || h.Record(time.Second, "a") {
		t.Error("Record: want new at the first call only")
	}
	h.Record(0, "b")
	h.Remove("b")
	for _, c := range []struct {
		now  time.Duration
		id   string
		want bool
	}{{0, "a", true}, {time.Minute, "a", true}, {time.Minute + time.Second, "a", false}, {0, "b", false}, {0, "c", false}} {
		if got := h.Contains(c.now, c.id); got != c.want {
			t.Errorf("Contains(%v, %s) = %v, want %v", c.now, c.id, got, c.want)
		}
	}
	if got := h.IDs(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("IDs = %v, want [a]", got)
	}
}

// TestHistoryIsBounded guards against memory that grows with ever new ids.
func TestHistoryIsBounded(t *testing.T) {
	h := New(time.Minute, 10)
	for n := range 1000 {
		h.Record(0, strconv.Itoa(n))
	}
	evicted := h.TakeEvicted()
	if len(h.until) != 10 || len(h.order) != 10 || evicted != 990 {
		t.Errorf("%d ids in %d places, %d evicted, want 10, 10 and 990", len(h.until), len(h.order), evicted)
	}
	if !h.Contains(0, "999") || h.Contains(0, "1") {
		t.Error("want the latest ids remembered, and the first forgotten")
	}
	h.Record(2*time.Minute, "last")
	if len(h.order) != 1 {
		t.Errorf("%d ids after their retention, want 1", len(h.order))
	}
}
