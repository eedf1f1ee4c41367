package queryshape

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	decide "gannetspur/internal/decide/costmodel"
)

// The files under testdata were written by the code before the package was reworked:
// snapshot.rwshapes is a snapshot, snapshot.sha256 the digest of all its fields in the order
// of writeSnapshot, and estimates.txt what that code expected of fixtureStatements after it
// had restored the snapshot.
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

func fixtureOptions() Options {
	return Options{Decide: decide.Config{Classes: []decide.Class{{Name: "lookup", UpTo: 800}, {Name: "report"}}}, Bytes: 256 << 10}
}

func readFixture(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestFixtureSnapshot decodes the snapshot, compares every field, and encodes it again to the
// same bytes: a stored name that changed would leave its field empty.
func TestFixtureSnapshot(t *testing.T) {
	raw := readFixture(t, fixtureSnapshot)
	snap, err := DecodeSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	h := sha256.New()
	writeSnapshot(h, snap)
	if got, want := hex.EncodeToString(h.Sum(nil)), strings.TrimSpace(string(readFixture(t, fixtureDigest))); got != want {
		t.Errorf("digest of the fields = %s, want %s", got, want)
	}
	again, err := snap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, raw) {
		t.Errorf("the snapshot encodes to %d other bytes, want the same %d", len(again), len(raw))
	}
}

// TestFixtureEstimates restores the snapshot and compares what is expected of statements.
func TestFixtureEstimates(t *testing.T) {
	snap, err := DecodeSnapshot(readFixture(t, fixtureSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Restore(fixtureOptions(), snap)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	writeEstimates(&got, b)
	if want := readFixture(t, fixtureEstimates); got.String() != string(want) {
		t.Errorf("estimates:\n%s\nwant:\n%s", got.String(), want)
	}
}

// TestFixtureDamaged cuts the snapshot at each length and changes each byte: every one is
// refused with a typed error.
func TestFixtureDamaged(t *testing.T) {
	raw := readFixture(t, fixtureSnapshot)
	refused := func(b []byte) bool {
		_, err := DecodeSnapshot(b)
		return errors.Is(err, ErrSnapshotForeign) || errors.Is(err, ErrSnapshotVersion) || errors.Is(err, ErrSnapshotTruncated) || errors.Is(err, ErrSnapshotDamaged)
	}
	for n := range raw {
		if !refused(raw[:n]) {
			t.Fatalf("cut at %d of %d bytes: not refused", n, len(raw))
		}
	}
	damaged := bytes.Clone(raw)
	for n := range damaged {
		damaged[n] ^= 0x11
		if !refused(damaged) {
			t.Fatalf("byte %d changed: not refused", n)
		}
		damaged[n] ^= 0x11
	}
}

func writeEstimates(w io.Writer, b *Book) {
	for i, text := range fixtureStatements {
		for _, hint := range []Hint{{}, {Work: 90, MemoryMB: 3}} {
			for known := -1; known < 2; known++ {
				e := b.Estimate(b.Read(text), nil, known, hint).Estimate
				fmt.Fprintf(w, "%d %g %d: %t %.9g ms, spread %.9g, %.9g MB, class %d;", i, hint.Work, known, e.Known, e.Work, e.Spread, e.MemoryMB, e.Class)
				for _, v := range []decide.Voice{e.Record, e.Like, e.Prior, e.Hint, e.Key} {
					fmt.Fprintf(w, " %.9g/%.9g/%.9g/%.9g", v.Mid, v.Dev, v.N, v.Weight)
				}
				fmt.Fprintln(w)
			}
		}
	}
}

// writeSnapshot writes every field, each behind its stored name.
func writeSnapshot(w io.Writer, s *Snapshot) {
	fmt.Fprintf(w, "1 %d\n2 %d\n5 %d\n", s.Layout, s.Keys, s.Cut)
	prior := &s.Model.Prior
	fmt.Fprintf(w, "Prior.N %d\n", prior.N)
	writeTrack(w, "Prior.Track", prior.Track)
	for i := range prior.W {
		fmt.Fprintf(w, "Prior.W %d %x\n", i, prior.W[i])
		for j := range prior.P[i] {
			fmt.Fprintf(w, "Prior.P %d %d %x\n", i, j, prior.P[i][j])
		}
	}
	state := &s.Model.Common
	for i := range state.All {
		fmt.Fprintf(w, "Common.All %d\n", i)
		writeTrack(w, "Hint", state.All[i].Hint)
		writeTrack(w, "HintMB", state.All[i].HintMB)
		writeTrack(w, "Memory", state.All[i].Memory)
	}
	for i := range state.Fresh {
		fmt.Fprintf(w, "Common.Fresh %d\n", i)
		writeTrack(w, "Prior", state.Fresh[i].Prior)
		writeTrack(w, "Hint", state.Fresh[i].Hint)
	}
	for i := range state.Heavy.Sets {
		for j := range state.Heavy.Sets[i] {
			k, l := &state.Heavy.Sets[i][j], &state.Like.Sets[i][j]
			fmt.Fprintf(w, "Common.Heavy %d %d %d %d\n", i, j, k.Key, k.Count)
			writeTrack(w, "Offset", k.Offset)
			writeTrack(w, "Prior", k.Prior)
			writeTrack(w, "Hint", k.Hint)
			fmt.Fprintf(w, "Common.Like %d %d %d %d\n", i, j, l.Key, l.Count)
			writeTrack(w, "Offset", l.Offset)
			writeTrack(w, "Prior", l.Prior)
			writeTrack(w, "Hint", l.Hint)
		}
	}
	for i := range s.Shapes {
		saved := &s.Shapes[i]
		e := &saved.Entry
		fmt.Fprintf(w, "4 %d %s\nSeen %d\n", i, saved.Norm, e.Seen)
		writeTrack(w, "All", e.All)
		writeTrack(w, "Offset", e.Offset)
		writeTrack(w, "Usual", e.Usual)
		writeTrack(w, "Hint", e.Hint)
		writeTrack(w, "Memory", e.Memory)
		for j := range e.Buckets {
			b := &e.Buckets[j]
			fmt.Fprintf(w, "Buckets %d: Key %d Used %d Class %d\n", j, b.Key, b.Used, b.Class)
			writeTrack(w, "Work", b.Work)
			writeTrack(w, "Memory", b.Memory)
		}
	}
}

func writeTrack(w io.Writer, name string, t decide.Track) {
	fmt.Fprintf(w, "%s %x %x %x %d\n", name, t.Mid, t.Dev, t.N, t.Run)
}
