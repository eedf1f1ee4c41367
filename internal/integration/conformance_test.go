package integration

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"gannetspur/internal/testbed/conformance"
	"gannetspur/internal/testbed/emulator"
)

// The PostgreSQL front answers each script of the protocol as it should, however its bytes are cut, and the
// emulated engine by itself does too, but for what the cases say.
func TestConformance(t *testing.T) {
	t.Parallel()
	g, _ := transacting(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go emulator.Postgres(ln, emulator.Options{Work: func(string) (time.Duration, float64) { return 0, 1 }, Log: slog.New(slog.DiscardHandler)})
	list, err := conformance.All(g.addr, ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range list {
		for way, got := range r.Got {
			if got != r.Want {
				t.Errorf("%s: %s, %v:\n got %s\nwant %s", r.About, r.Name, way, got, r.Want)
			}
		}
		if !r.OK() {
			t.Errorf("%s: %s, the engine by itself: %s", r.About, r.Name, r.Engine)
		}
	}
	for seed := range uint64(40) {
		c := conformance.Chain(12, seed)
		for _, way := range conformance.Ways {
			if got, err := conformance.Play(g.addr, c, way, seed); err != nil || got != c.Want {
				t.Errorf("%s, %v, %v:\n got %s\nwant %s", c.Name, way, err, got, c.Want)
			}
		}
	}
}
