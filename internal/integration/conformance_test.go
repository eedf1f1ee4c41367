package integration

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"gannetspur/internal/testbed/conformance"
	"gannetspur/internal/testbed/emulator"
)

// TestConformance guards against answers that deviate from the PostgreSQL protocol or depend on how the client's
// bytes are split into reads. It plays each protocol script against the front end and against the emulated
// engine directly, except where a case excludes the engine, and then random chains of scripts.
func TestConformance(t *testing.T) {
	t.Parallel()
	g, _ := transactionGateway(t, nil)
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
	for _, result := range list {
		for way, got := range result.Got {
			if got != result.Want {
				t.Errorf("%s: %s, %v:\n got %s\nwant %s", result.About, result.Name, way, got, result.Want)
			}
		}
		if !result.OK() {
			t.Errorf("%s: %s, the emulated engine directly:\n got %s\nwant what the case allows", result.About, result.Name, result.Engine)
		}
	}
	for seed := range uint64(40) {
		c := conformance.Chain(12, seed)
		for _, way := range conformance.Ways {
			if got, err := conformance.Play(g.addr, c, way, seed); err != nil || got != c.Want {
				t.Errorf("%s, %v (error %v):\n got %s\nwant %s", c.Name, way, err, got, c.Want)
			}
		}
	}
}
