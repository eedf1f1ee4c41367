package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A peer that repeatedly causes the same event can't fill the log. Other events are still written,
// and errors are never suppressed.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	h := RateLimit(slog.NewTextHandler(&out, nil), 1, 3).WithAttrs([]slog.Attr{slog.String("engine", "e1")})
	at := time.Unix(1000, 0)
	write := func(level slog.Level, name string, n int) {
		for range n {
			if err := h.Handle(t.Context(), slog.NewRecord(at, level, name, 0)); err != nil {
				t.Fatal(err)
			}
		}
	}
	write(slog.LevelWarn, "engine.unreadable", 100)
	write(slog.LevelInfo, "serving", 1)
	write(slog.LevelError, "stopped", 5)
	at = at.Add(time.Second)
	write(slog.LevelWarn, "engine.unreadable", 2)
	for text, want := range map[string]int{"engine.unreadable": 4, "serving": 1, "stopped": 5, "suppressed=97": 1, "engine=e1": 10} {
		if got := strings.Count(out.String(), text); got != want {
			t.Errorf("count of %q in the log = %d, want %d:\n%s", text, got, want, out.String())
		}
	}
}
