package queryshape

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSnapshot checks that what was learned survives a restart, although fingerprints then have
// different seeds, and that writing a snapshot leaves no temporary file.
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
		t.Errorf("snapshot has %d shapes and %d truncated ones, want 30 and 1", len(snap.Shapes), snap.TruncatedShapes)
	}
	restored, err := Restore(Options{Bytes: 256 << 10}, snap)
	if err != nil {
		t.Fatal(err)
	}
	text := "select C7 from stock_9.orders where part = $1"
	before, after := e.Estimate(e.Read(text), nil, -1, Hint{}).Estimate.Work, restored.Estimate(restored.Read(text), nil, -1, Hint{}).Estimate.Work
	if before != after || before < 350 || before > 550 {
		t.Errorf("estimate after the restart = %.1f ms, want %.1f, between 350 and 550", after, before)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Errorf("files after writing a snapshot = %v (error %v), want only the snapshot", files, err)
	}
}

// TestDamagedSnapshots checks that input that is truncated, has a changed byte or trailing data, or
// is of another version is rejected, with the specific error where there is one.
func TestDamagedSnapshots(t *testing.T) {
	e := newTestEstimator(t)
	execute(e, "SELECT a FROM stock_1.parts WHERE part = 'p'", 5, 200)
	good, err := e.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for n := range good { // truncate to each length and change each byte
		if _, err := DecodeSnapshot(good[:n]); !errors.Is(err, ErrSnapshotTruncated) && !errors.Is(err, ErrNotSnapshot) {
			t.Fatalf("snapshot truncated to %d of %d bytes: error %v, want %v or %v", n, len(good), err, ErrSnapshotTruncated, ErrNotSnapshot)
		}
		bad := append([]byte{}, good...)
		bad[n] ^= 0x40
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("snapshot with byte %d changed was accepted, want an error", n)
		}
	}
	if _, err := DecodeSnapshot(append(append([]byte{}, good...), 0)); !errors.Is(err, ErrSnapshotCorrupt) {
		t.Errorf("snapshot with a trailing byte: error %v, want %v", err, ErrSnapshotCorrupt)
	}
	other := append([]byte{}, good...)
	other[len(snapshotMagic)+3] = 99
	if _, err := DecodeSnapshot(other); !errors.Is(err, ErrSnapshotVersion) {
		t.Errorf("snapshot of version 99: error %v, want %v", err, ErrSnapshotVersion)
	}
}

// FuzzSnapshot checks that any input is either rejected by DecodeSnapshot, or can be restored or is
// rejected by Restore with ErrSnapshotCorrupt.
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
				t.Fatalf("Restore of a decoded snapshot: error %v, want none or %v", err, ErrSnapshotCorrupt)
			}
		}
	})
}
