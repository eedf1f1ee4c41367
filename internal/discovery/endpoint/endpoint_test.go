package endpoint

import (
	"testing"
	"time"

	"gannetspur/internal/core"
)

// TestSetBootTime checks the bounds of plausible boot times.
func TestSetBootTime(t *testing.T) {
	for _, tt := range []struct {
		bootMS uint64
		want   time.Duration // 0 if the start stays unknown
	}{
		{0, 0},
		{1, time.Millisecond},
		{1<<43 - 1, (1<<43 - 1) * time.Millisecond},
		{1 << 43, 0},
		{1<<64 - 1, 0},
	} {
		var e core.Engine
		SetBootTime(&e, tt.bootMS)
		if e.Started != tt.want || e.StartKnown != (tt.want > 0) {
			t.Errorf("SetBootTime(%d): Started = %v, StartKnown = %v, want %v, %v", tt.bootMS, e.Started, e.StartKnown, tt.want, tt.want > 0)
		}
	}
}
