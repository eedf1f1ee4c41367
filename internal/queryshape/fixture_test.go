package queryshape

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	decide "gannetspur/internal/decide/costmodel"
)

// The files under testdata were written by an earlier version of this package: snapshot.rwshapes
// is a snapshot, snapshot.sha256 is the digest of all its fields in the order of writeSnapshot,
// and estimates.txt holds that version's estimates for fixtureStatements after it had restored
// the snapshot.
const (
	fixtureSnapshot  = "testdata/snapshot.rwshapes"
	fixtureDigest    = "testdata/snapshot.sha256"
	fixtureEstimates = "testdata/estimates.txt"
)

var fixtureStatements = []string{
	"SELECT c1 FROM stock_1.orders WHERE part = 'p-0001'",
	"SELECT c7 FROM stock_2.orders WHERE part IN ('a', 'b', 'c')",
	"SELECT count(*) FROM stock_1.orders o JOIN stock_1.parts p ON o.part = p.part WHERE o.day BETWEEN '2026-01-01' AND '2026-06-30' GROUP BY p.kind",
	"INSERT INTO stock_1.orders VALUES (1, 'x'), (2, 'y')",
	"SELECT never_seen FROM stock_3.invoices LIMIT 10",
	"SELECT c3 FROM stock_1.orders WHERE part = 'hot'",
}

// fixtureOptions returns the options of the estimators in the tests, with two classes.
func fixtureOptions() Options {
	return Options{Model: decide.Config{Classes: []decide.Class{{Name: "lookup", MaxWorkMS: 800}, {Name: "report"}}}, Bytes: 256 << 10}
}

func readFixture(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestFixtureSnapshot checks that the snapshot of an earlier version decodes to the same fields
// and encodes to the same bytes. It guards against a changed key of the stored form, which would
// leave a field empty.
func TestFixtureSnapshot(t *testing.T) {
	raw := readFixture(t, fixtureSnapshot)
	snap, err := DecodeSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	var fields bytes.Buffer
	writeSnapshot(&fields, snap)
	if got, want := digest(fields.Bytes()), strings.TrimSpace(string(readFixture(t, fixtureDigest))); got != want {
		t.Errorf("digest of the fields = %s, want %s", got, want)
	}
	encoded, err := snap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, raw) {
		t.Errorf("the snapshot encodes to %d different bytes, want the %d bytes of the file", len(encoded), len(raw))
	}
}

// TestFixtureEstimates checks that the restored snapshot gives the same estimates as in the earlier
// version.
func TestFixtureEstimates(t *testing.T) {
	snap, err := DecodeSnapshot(readFixture(t, fixtureSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	e, err := Restore(fixtureOptions(), snap)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	writeEstimates(&got, e)
	if want := readFixture(t, fixtureEstimates); got.String() != string(want) {
		t.Errorf("estimates:\n%s\nwant:\n%s", got.String(), want)
	}
}

// TestFixtureDamaged checks that the snapshot truncated to any length, or with any byte changed, is
// rejected with one of the package's errors.
func TestFixtureDamaged(t *testing.T) {
	raw := readFixture(t, fixtureSnapshot)
	rejected := func(b []byte) bool {
		_, err := DecodeSnapshot(b)
		return errors.Is(err, ErrNotSnapshot) || errors.Is(err, ErrSnapshotVersion) || errors.Is(err, ErrSnapshotTruncated) || errors.Is(err, ErrSnapshotCorrupt)
	}
	for n := range raw {
		if !rejected(raw[:n]) {
			t.Fatalf("snapshot truncated to %d of %d bytes was accepted, want one of the package's errors", n, len(raw))
		}
	}
	damaged := bytes.Clone(raw)
	for n := range damaged {
		damaged[n] ^= 0x11
		if !rejected(damaged) {
			t.Fatalf("snapshot with byte %d changed was accepted, want one of the package's errors", n)
		}
		damaged[n] ^= 0x11
	}
}

// writeEstimates writes the estimates of fixtureStatements with and without a hint and for each
// class, in the form of estimates.txt.
func writeEstimates(w *bytes.Buffer, estimator *Estimator) {
	for i, text := range fixtureStatements {
		for _, hint := range []Hint{{}, {Work: 90, MemoryMB: 3}} {
			for known := -1; known < 2; known++ {
				e := estimator.Estimate(estimator.Read(text), nil, known, hint).Estimate
				fmt.Fprintf(w, "%d %g %d: %t %.9g ms, spread %.9g, %.9g MB, class %d;", i, hint.Work, known, e.Known, e.Work, e.P90Factor, e.MemoryMB, e.Class)
				for _, v := range []decide.Component{e.History, e.SimilarValues, e.Prior, e.Hint, e.FrequentValue} {
					fmt.Fprintf(w, " %.9g/%.9g/%.9g/%.9g", v.Center, v.Deviation, v.Samples, v.Weight)
				}
				fmt.Fprintln(w)
			}
		}
	}
}

// writeSnapshot writes every field of a snapshot. The labels are those of the version that wrote
// snapshot.sha256.
func writeSnapshot(w *bytes.Buffer, s *Snapshot) {
	fmt.Fprintf(w, "1 %d\n2 %d\n5 %d\n", s.Layout, s.HashSeed, s.TruncatedShapes)
	prior := &s.Model.Prior
	fmt.Fprintf(w, "Prior.N %d\n", prior.Samples)
	writeTrack(w, "Prior.Track", prior.Error)
	for i := range prior.Weights {
		fmt.Fprintf(w, "Prior.W %d %x\n", i, prior.Weights[i])
		for j := range prior.Covariance[i] {
			fmt.Fprintf(w, "Prior.P %d %d %x\n", i, j, prior.Covariance[i][j])
		}
	}
	state := &s.Model.Shared
	for i := range state.ClassErrors {
		fmt.Fprintf(w, "Common.All %d\n", i)
		writeTrack(w, "Hint", state.ClassErrors[i].HintError)
		writeTrack(w, "HintMB", state.ClassErrors[i].MemoryHintError)
		writeTrack(w, "Memory", state.ClassErrors[i].Memory)
	}
	for i := range state.NovelValueErrors {
		fmt.Fprintf(w, "Common.Fresh %d\n", i)
		writeTrack(w, "Prior", state.NovelValueErrors[i].PriorError)
		writeTrack(w, "Hint", state.NovelValueErrors[i].HintError)
	}
	for i := range state.FrequentValues.Sets {
		for j := range state.FrequentValues.Sets[i] {
			frequent, similar := &state.FrequentValues.Sets[i][j], &state.SimilarValues.Sets[i][j]
			fmt.Fprintf(w, "Common.Heavy %d %d %d %d\n", i, j, frequent.Key, frequent.Count)
			writeTrack(w, "Offset", frequent.Offset)
			writeTrack(w, "Prior", frequent.PriorError)
			writeTrack(w, "Hint", frequent.HintError)
			fmt.Fprintf(w, "Common.Like %d %d %d %d\n", i, j, similar.Key, similar.Count)
			writeTrack(w, "Offset", similar.Offset)
			writeTrack(w, "Prior", similar.PriorError)
			writeTrack(w, "Hint", similar.HintError)
		}
	}
	for i := range s.Shapes {
		saved := &s.Shapes[i]
		record := &saved.Record
		fmt.Fprintf(w, "4 %d %s\nSeen %d\n", i, saved.NormalForm, record.Executions)
		writeTrack(w, "All", record.Work)
		writeTrack(w, "Offset", record.PriorError)
		writeTrack(w, "Usual", record.PriorPrediction)
		writeTrack(w, "Hint", record.HintError)
		writeTrack(w, "Memory", record.MemoryHintError)
		for j := range record.Buckets {
			bucket := &record.Buckets[j]
			fmt.Fprintf(w, "Buckets %d: Key %d Used %d Class %d\n", j, bucket.Key, bucket.LastUsed, bucket.HeldClass)
			writeTrack(w, "Work", bucket.Work)
			writeTrack(w, "Memory", bucket.Memory)
		}
	}
}

func writeTrack(w *bytes.Buffer, name string, t decide.LogTracker) {
	fmt.Fprintf(w, "%s %x %x %x %d\n", name, t.Center, t.Deviation, t.Samples, t.SameSideRun)
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
