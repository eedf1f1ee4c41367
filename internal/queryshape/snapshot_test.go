package queryshape

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSnapshot checks that what was learned survives a restart, where fingerprints have other
// seeds.
func TestSnapshot(t *testing.T) {
	e := newTestEstimator(t)
	for i := range 30 {
		execute(e, fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i), 10, 100+float64(i)*50)
	}
	execute(e, "SELECT "+strings.Repeat("a_long_name, ", 200)+"b FROM stock_1.orders", 3, 100)
	dir := t.TempDir()
	path := filepath.Join(dir, "shapes")
	if err := e.Snapshot().Write(path); err != nil {
		t.Fatal(err)
	}
	snap, err := ReadSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(snap.Shapes) != 30 || snap.TruncatedShapes != 1 {
		t.Errorf("%d shapes and %d truncated ones, want 30 and 1", len(snap.Shapes), snap.TruncatedShapes)
	}
	again, err := Restore(Options{Bytes: 256 << 10}, snap)
	if err != nil {
		t.Fatal(err)
	}
	text := "select C7 from stock_9.orders where part = $1"
	before, after := e.Estimate(e.Read(text), nil, -1, Hint{}).Estimate.Work, again.Estimate(again.Read(text), nil, -1, Hint{}).Estimate.Work
	if before != after || before < 350 || before > 550 {
		t.Errorf("estimate after the restart = %.1f ms, want %.1f, between 350 and 550", after, before)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 {
		t.Errorf("files left: %v, %v", left, err)
	}
}

// TestDamagedSnapshots checks that a snapshot that is truncated, changed anywhere, of another
// version or none at all is refused with the error for that.
func TestDamagedSnapshots(t *testing.T) {
	e := newTestEstimator(t)
	execute(e, "SELECT a FROM stock_1.parts WHERE part = 'p'", 5, 200)
	good, err := e.Snapshot().Encode()
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
	if _, err := DecodeSnapshot(append(append([]byte{}, good...), 0)); !errors.Is(err, ErrSnapshotCorrupt) {
		t.Errorf("a byte behind the end: %v", err)
	}
	other := append([]byte{}, good...)
	other[len(snapshotMagic)+3] = 99
	if _, err := DecodeSnapshot(other); !errors.Is(err, ErrSnapshotVersion) {
		t.Errorf("another version: %v", err)
	}
}

// FuzzSnapshot checks that any bytes are refused with a typed error, or can be restored.
func FuzzSnapshot(f *testing.F) {
	e, err := New(Options{Bytes: 64 << 10})
	if err != nil {
		f.Fatal(err)
	}
	execute(e, "SELECT a FROM stock_1.parts", 2, 200)
	good, err := e.Snapshot().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:40])
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := DecodeSnapshot(raw); err == nil {
			if _, err := Restore(Options{Bytes: 64 << 10}, s); err != nil && !errors.Is(err, ErrSnapshotCorrupt) {
				t.Fatal(err)
			}
		}
	})
}
