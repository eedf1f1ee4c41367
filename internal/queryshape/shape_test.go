package queryshape

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	decide "gannetspur/internal/decide/costmodel"
)

func book(t *testing.T) *Estimator {
	t.Helper()
	b, err := New(Options{Model: decide.Config{Classes: []decide.Class{{Name: "lookup", MaxWorkMS: 800}, {Name: "report"}}}, Bytes: 256 << 10})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func run(b *Estimator, text string, n int, work float64) float64 {
	for range n {
		b.Learn(b.Estimate(b.Read(text), nil, -1, Hint{}), decide.Outcome{Work: work, MemoryMB: 20})
	}
	return b.Estimate(b.Read(text), nil, -1, Hint{}).Estimate.Work
}

// What was learned survives a restart; fingerprints are another process's there.
func TestSnapshot(t *testing.T) {
	b := book(t)
	for i := range 30 {
		run(b, fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i), 10, 100+float64(i)*50)
	}
	run(b, "SELECT "+strings.Repeat("a_long_name, ", 200)+"b FROM stock_1.orders", 3, 100)
	dir := t.TempDir()
	path := filepath.Join(dir, "shapes")
	if err := b.Snapshot().Write(path); err != nil {
		t.Fatal(err)
	}
	snap, err := ReadSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(snap.Shapes) != 30 || snap.TruncatedShapes != 1 {
		t.Errorf("%d shapes and %d cut, want 30 and 1", len(snap.Shapes), snap.TruncatedShapes)
	}
	again, err := Restore(Options{Bytes: 256 << 10}, snap)
	if err != nil {
		t.Fatal(err)
	}
	text := "select C7 from stock_9.orders where part = $1"
	was, is := b.Estimate(b.Read(text), nil, -1, Hint{}).Estimate.Work, again.Estimate(again.Read(text), nil, -1, Hint{}).Estimate.Work
	if was != is || was < 350 || was > 550 {
		t.Errorf("%.1f ms expected before, %.1f after", was, is)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 {
		t.Errorf("files left: %v, %v", left, err)
	}
}

// A snapshot that is cut off, changed anywhere, of another version or none at all is
// named as such, and never read.
func TestDamagedSnapshots(t *testing.T) {
	b := book(t)
	run(b, "SELECT a FROM stock_1.parts WHERE part = 'p'", 5, 200)
	good, err := b.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for n := range good { // each cut, and each changed byte
		if _, err := DecodeSnapshot(good[:n]); !errors.Is(err, ErrSnapshotTruncated) && !errors.Is(err, ErrNotSnapshot) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		bad := append([]byte{}, good...)
		bad[n] ^= 0x40
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("byte %d changed: it was read", n)
		}
	}
	if _, err := DecodeSnapshot(append(append([]byte{}, good...), 0)); !errors.Is(err, ErrSnapshotDamaged) {
		t.Errorf("a byte behind the end: %v", err)
	}
	other := append([]byte{}, good...)
	other[len(snapshotMagic)+3] = 99
	if _, err := DecodeSnapshot(other); !errors.Is(err, ErrSnapshotVersion) {
		t.Errorf("another version: %v", err)
	}
}

// A flood of shapes that come once neither fills the memory nor washes out those that recur.
func TestFlood(t *testing.T) {
	b := book(t)
	recurring := func(i int) string { return fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i) }
	hits, asked := uint64(0), 0
	for i := range 20000 {
		run(b, fmt.Sprintf("SELECT a FROM stock_1.tmp_%dx t%dx WHERE part = 'p'", i, i), 1, 200)
		if i%4 == 0 {
			before := b.Stats.Hits
			b.Learn(b.Estimate(b.Read(recurring(i/4%50)), nil, -1, Hint{}), decide.Outcome{Work: 200})
			if i > 5000 {
				hits += b.Stats.Hits - before
				asked++
			}
		}
	}
	if b.Bytes() > 256<<10 {
		t.Errorf("%d bytes held, %d allowed", b.Bytes(), 256<<10)
	}
	if rate := float64(hits) / float64(asked); rate < 0.95 {
		t.Errorf("recurring shapes were found at %.2f", rate)
	}
}

func FuzzSnapshot(f *testing.F) {
	b, err := New(Options{Bytes: 64 << 10})
	if err != nil {
		f.Fatal(err)
	}
	run(b, "SELECT a FROM stock_1.parts", 2, 200)
	good, err := b.Snapshot().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:40])
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := DecodeSnapshot(raw); err == nil {
			if _, err := Restore(Options{Bytes: 64 << 10}, s); err != nil && !errors.Is(err, ErrSnapshotDamaged) {
				t.Fatal(err)
			}
		}
	})
}

// What one request costs in all: read, estimated and learned.
func BenchmarkRequest(b *testing.B) {
	book, err := New(Options{Bytes: 2 << 20})
	if err != nil {
		b.Fatal(err)
	}
	texts := make([]string, 200)
	for i := range texts {
		texts[i] = fmt.Sprintf("SELECT part, c%d FROM stock_%d.stock WHERE part = 'p-%05d'", i%40, i%30, i)
	}
	for i := range 20000 {
		book.Learn(book.Estimate(book.Read(texts[i%200]), nil, -1, Hint{Work: 50}), decide.Outcome{Work: 100 + float64(i%7)})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		book.Learn(book.Estimate(book.Read(texts[i%200]), nil, -1, Hint{Work: 50}), decide.Outcome{Work: 100 + float64(i%7)})
	}
}
