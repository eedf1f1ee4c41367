package costmodel

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"gannetspur/internal/sqltext"
)

// replayDigests returns the recorded digests by the name of the case.
func replayDigests(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile("testdata/replay.sha256")
	if err != nil {
		t.Fatal(err)
	}
	digests := map[string]string{}
	for line := range strings.Lines(string(text)) {
		sum, name, ok := strings.Cut(strings.TrimSpace(line), "  ")
		if !ok {
			t.Fatalf("testdata/replay.sha256: malformed line %q", line)
		}
		digests[name] = sum
	}
	return digests
}

// TestReplay applies seeded pseudorandom executions to models with different configurations. It compares
// the digest of all estimates with a recorded one, so that a change of any estimate is noticed.
func TestReplay(t *testing.T) {
	want := replayDigests(t)
	for name, cfg := range map[string]Config{
		"default":       {Classes: classes()},
		"three-classes": {Classes: []Class{{Name: "a", MaxWorkMS: 50}, {Name: "b", MaxWorkMS: 500}, {Name: "c"}}, Hysteresis: 2},
		"no-classes":    {},
		"no-parameters": {Classes: classes(), NoParameters: true},
		"no-prior":      {Classes: classes(), NoPrior: true},
		"no-forgetting": {Classes: classes(), NoDecay: true},
		"no-hint":       {Classes: classes(), NoHint: true},
	} {
		t.Run(name, func(t *testing.T) {
			var estimates bytes.Buffer
			replay(&estimates, cfg)
			if got := digest(estimates.Bytes()); got != want[name] {
				t.Errorf("digest of estimates = %s, want %s", got, want[name])
			}
		})
	}
}

// replay writes each estimate of a seeded stream of executions. The digest covers the text written, so its
// wording must not change.
func replay(w *bytes.Buffer, cfg Config) {
	const shapes, executions = 40, 6000
	m := New(cfg)
	rng := rand.New(rand.NewPCG(11, 12))
	records := make([]ShapeRecord, shapes)
	statements := make([]sqltext.Features, shapes)
	for i := range statements {
		statements[i] = sqltext.Features{
			Command: "siudm"[i%5], Tables: int32(1 + i%4), Joins: int32(i % 3), Aggregates: int32(i % 2), Windows: int32(i / 37),
			Groups: int32(i % 2), Sorts: int32(i % 3), Distincts: int32(i / 30), Selects: int32(1 + i%3), Rows: int32(i % 5),
			Where: i%7 != 0, Limited: i%6 == 0,
		}
	}
	for i := range executions {
		shape := min(int(rng.ExpFloat64()*6), shapes-1)
		profile := sqltext.Profile{
			Alternatives: []int{0, 0, 1, 5, 40, 900}[rng.IntN(6)], Span: []float64{0, 0, 7, 365}[rng.IntN(4)], HalfOpen: rng.IntN(9) == 0,
			Pattern: sqltext.PatternKind(rng.IntN(4)), Limit: []float64{0, 10, 1e5}[rng.IntN(3)], DisabledRestrictions: rng.IntN(20) / 19, Unrestricted: rng.IntN(12) == 0,
			Rows: int(statements[shape].Rows), Column: uint32(rng.IntN(3)), Key: rng.Uint64N(200),
		}
		if rng.IntN(3) == 0 {
			profile.Key = 7
		}
		q := Query{Features: &statements[shape], Profile: profile, KnownClass: rng.IntN(7) - 1}
		if rng.IntN(10) > 0 {
			q.Record = &records[shape]
		}
		work := math.Exp2(4+float64(shape)/6) * (1 + float64(profile.Alternatives)/100) * math.Exp(0.3*rng.NormFloat64())
		if profile.Key == 7 {
			work *= 6
		}
		if i > executions/2 && shape%3 == 0 {
			work *= 12
		}
		if rng.IntN(2) == 0 {
			q.WorkHint = work * (0.2 + rng.Float64()*0.2)
			q.MemoryHint = 20 * rng.Float64()
		}
		outcome := Outcome{Work: work, MemoryMB: 30 * rng.Float64(), LowerBound: rng.IntN(15) == 0}
		switch rng.IntN(200) {
		case 0:
			outcome.Work = math.NaN()
		case 1:
			outcome.Work = 1e12
		case 2:
			outcome.MemoryMB = -1
		case 3:
			q.WorkHint = math.Inf(1)
		}
		if rng.IntN(5) > 0 {
			writeEstimate(w, m.Estimate(&q))
		}
		m.Learn(&q, outcome)
		if i%500 == 499 {
			restored, err := Restore(cfg, m.State())
			if err != nil {
				fmt.Fprintf(w, "restore failed\n")
				continue
			}
			m = restored
		}
	}
	for i := range records {
		fmt.Fprintf(w, "entry %d: %d seen, valid %t\n", i, records[i].Executions, records[i].Validate() == nil)
	}
}

// writeEstimate writes an estimate and its components.
func writeEstimate(w *bytes.Buffer, e Estimate) {
	fmt.Fprintf(w, "%t %.12g %.12g %.12g %d", e.Known, e.Work, e.P90Factor, e.MemoryMB, e.Class)
	for _, c := range []Component{e.History, e.SimilarValues, e.Prior, e.Hint, e.FrequentValue} {
		fmt.Fprintf(w, " %.12g/%.12g/%.12g/%.12g", c.Center, c.Deviation, c.Samples, c.Weight)
	}
	fmt.Fprintln(w)
}

// digest returns the SHA-256 digest of b in hexadecimal.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
