package queryshape

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	decide "gannetspur/internal/decide/costmodel"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// A snapshot is "RWSHAPES", a version (4 bytes), the length of the rest (8) and its
// xxhash (8), all big-endian, then a zstd frame of one CBOR item. It is written aside,
// synced and renamed, so that a file under its name is always whole.
const (
	snapshotMagic       = "RWSHAPES"
	snapshotVersion     = 1
	snapshotHeaderBytes = len(snapshotMagic) + 4 + 8 + 8
	maxSnapshotBytes    = 256 << 20 // bytes of the item, against files that claim more
)

// Errors of snapshots.
var (
	ErrNotSnapshot       = errors.New("no snapshot of shapes")
	ErrSnapshotVersion   = errors.New("a snapshot of another version")
	ErrSnapshotTruncated = errors.New("the snapshot was cut off")
	ErrSnapshotDamaged   = errors.New("the snapshot is damaged")
)

// Snapshot is what a book knows, in a form that outlives the process. Fingerprints are
// made anew when it is read: their seeds are of one process.
type Snapshot struct {
	Layout          int           `cbor:"1,keyasint"`
	HashSeed        uint64        `cbor:"2,keyasint"` // seed of the hashes of values
	Model           *decide.State `cbor:"3,keyasint"`
	Shapes          []SavedShape  `cbor:"4,keyasint"`
	TruncatedShapes int           `cbor:"5,keyasint"` // shapes left out, as their forms are too long to be found again
}

// Saved is one shape.
type SavedShape struct {
	NormalForm string             `cbor:"1,keyasint"`
	Record     decide.ShapeRecord `cbor:"2,keyasint"`
}

// Snapshot copies what the book knows; the copy is the caller's, for another goroutine too.
func (b *Estimator) Snapshot() *Snapshot {
	s := &Snapshot{Layout: decide.StateLayout, HashSeed: b.hashSeed, Model: b.model.State()}
	b.cache.Each(func(_ Fingerprint, k *CachedShape) bool {
		if k.Truncated {
			s.TruncatedShapes++
		} else {
			s.Shapes = append(s.Shapes, SavedShape{k.NormalForm, k.ShapeRecord})
		}
		return true
	})
	return s
}

// Encode is the snapshot as a file holds it.
func (s *Snapshot) Encode() ([]byte, error) {
	item, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer enc.Close()
	b := enc.EncodeAll(item, make([]byte, snapshotHeaderBytes))
	copy(b, snapshotMagic)
	h := b[len(snapshotMagic):]
	binary.BigEndian.PutUint32(h, snapshotVersion)
	binary.BigEndian.PutUint64(h[4:], uint64(len(b)-snapshotHeaderBytes))
	binary.BigEndian.PutUint64(h[12:], xxhash.Sum64(b[snapshotHeaderBytes:]))
	return b, nil
}

// DecodeSnapshot reads what Encode made; its errors say what is wrong with the rest.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	if len(b) < len(snapshotMagic) || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return nil, ErrNotSnapshot
	}
	if len(b) < snapshotHeaderBytes {
		return nil, ErrSnapshotTruncated
	}
	h := b[len(snapshotMagic):]
	if v := binary.BigEndian.Uint32(h); v != snapshotVersion {
		return nil, fmt.Errorf("%w: %d, and %d is read here", ErrSnapshotVersion, v, snapshotVersion)
	}
	body := b[snapshotHeaderBytes:]
	if length := binary.BigEndian.Uint64(h[4:]); uint64(len(body)) < length {
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrSnapshotTruncated, len(body), length)
	} else if uint64(len(body)) > length {
		return nil, fmt.Errorf("%w: %d bytes where it tells of %d", ErrSnapshotDamaged, len(body), length)
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(h[12:]) {
		return nil, fmt.Errorf("%w: its checksum is another", ErrSnapshotDamaged)
	}
	dec, err := zstd.NewReader(bytes.NewReader(body), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshotDamaged, err)
	}
	defer dec.Close()
	item, err := io.ReadAll(io.LimitReader(dec, maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshotDamaged, err)
	}
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var s Snapshot
	if err := mode.Unmarshal(item, &s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshotDamaged, err)
	}
	if s.Layout != decide.StateLayout || s.Model == nil {
		return nil, fmt.Errorf("%w: its layout is %d, and %d is read here", ErrSnapshotVersion, s.Layout, decide.StateLayout)
	}
	for i := range s.Shapes {
		if err := s.Shapes[i].Record.Validate(); err != nil {
			return nil, fmt.Errorf("%w: shape %d: %v", ErrSnapshotDamaged, i, err)
		}
	}
	return &s, nil
}

// ReadSnapshot reads a file.
func ReadSnapshot(path string) (*Snapshot, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s, err := DecodeSnapshot(b)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return s, nil
}

// Write puts the snapshot under a name: aside first, and over the old one once it is on
// the disk. A crash leaves the old one or the new one, never a part.
func (s *Snapshot) Write(path string) (err error) {
	b, err := s.Encode()
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if d, e := os.Open(filepath.Dir(path)); e == nil { // the name itself must last too
		_ = d.Sync()
		_ = d.Close()
	}
	return nil
}

// Restore returns a book that goes on from a snapshot.
func Restore(opts Options, s *Snapshot) (*Estimator, error) {
	b, err := New(opts)
	if err != nil {
		return nil, err
	}
	if b.model, err = decide.Restore(opts.Model, s.Model); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshotDamaged, err)
	}
	b.hashSeed = s.HashSeed
	for i := range s.Shapes {
		saved := &s.Shapes[i]
		b.cache.Add(b.reader.Print(saved.NormalForm), &CachedShape{ShapeRecord: saved.Record, NormalForm: saved.NormalForm})
	}
	return b, nil
}
