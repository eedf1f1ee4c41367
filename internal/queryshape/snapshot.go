package queryshape

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	decide "gannetspur/internal/decide/costmodel"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// An encoded snapshot is a header followed by a body. The header is the magic, a version (4
// bytes), the length of the body (8 bytes) and its xxhash (8 bytes), all big-endian. The body is a
// zstd frame of one CBOR item.
const (
	snapshotMagic       = "RWSHAPES"
	snapshotVersion     = 1
	snapshotHeaderBytes = len(snapshotMagic) + 4 + 8 + 8
	maxSnapshotBytes    = 256 << 20 // limit of the decompressed item, against decompression bombs
)

// Limits of the CBOR item: nesting levels, elements of an array and pairs of a map.
const (
	maxSnapshotNesting = 16
	maxSnapshotArray   = 1 << 20
	maxSnapshotMap     = 1 << 10
)

// Errors of decoding a snapshot.
var (
	ErrNotSnapshot       = errors.New("no snapshot of shapes")
	ErrSnapshotVersion   = errors.New("unsupported snapshot version")
	ErrSnapshotTruncated = errors.New("truncated snapshot")
	ErrSnapshotCorrupt   = errors.New("corrupt snapshot")
)

// Snapshot is what an estimator has learned, in a form that can be stored. Fingerprints are not
// stored but computed again when a snapshot is restored, because their seeds differ between
// processes.
type Snapshot struct {
	Layout          int           `cbor:"1,keyasint"` // decide.StateLayout of the encoder
	HashSeed        uint64        `cbor:"2,keyasint"` // seed of the hashes of values
	Model           *decide.State `cbor:"3,keyasint"` // learned state of the cost model
	Shapes          []SavedShape  `cbor:"4,keyasint"`
	TruncatedShapes int           `cbor:"5,keyasint"` // number of shapes left out because their cached normal forms are incomplete
}

// SavedShape is a query shape with its cost record in a snapshot.
type SavedShape struct {
	NormalForm string             `cbor:"1,keyasint"`
	Record     decide.ShapeRecord `cbor:"2,keyasint"`
}

// Snapshot copies what the estimator has learned. The copy may be used in another goroutine.
func (e *Estimator) Snapshot() *Snapshot {
	s := &Snapshot{Layout: decide.StateLayout, HashSeed: e.hashSeed, Model: e.model.State()}
	e.cache.Each(func(_ Fingerprint, shape *CachedShape) bool {
		if shape.Truncated {
			s.TruncatedShapes++
		} else {
			s.Shapes = append(s.Shapes, SavedShape{shape.NormalForm, shape.ShapeRecord})
		}
		return true
	})
	return s
}

// Restore returns an estimator with the learned state of a snapshot.
func Restore(opts Options, s *Snapshot) (*Estimator, error) {
	e, err := New(opts)
	if err != nil {
		return nil, err
	}
	if e.model, err = decide.Restore(opts.Model, s.Model); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotCorrupt, err)
	}
	e.hashSeed = s.HashSeed
	for i := range s.Shapes {
		saved := &s.Shapes[i]
		shape := &CachedShape{ShapeRecord: saved.Record, NormalForm: saved.NormalForm}
		e.cache.Add(e.reader.Fingerprint(saved.NormalForm), shape)
	}
	return e, nil
}

// Encode returns the snapshot as a header and a body.
func (s *Snapshot) Encode() ([]byte, error) {
	item, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	defer func() { _ = encoder.Close() }() // can't fail: EncodeAll writes to no stream
	b := encoder.EncodeAll(item, make([]byte, snapshotHeaderBytes))
	copy(b, snapshotMagic)
	header := b[len(snapshotMagic):]
	binary.BigEndian.PutUint32(header, snapshotVersion)
	binary.BigEndian.PutUint64(header[4:], uint64(len(b)-snapshotHeaderBytes))
	binary.BigEndian.PutUint64(header[12:], xxhash.Sum64(b[snapshotHeaderBytes:]))
	return b, nil
}

// DecodeSnapshot decodes the result of Snapshot.Encode. An error for invalid input wraps
// ErrNotSnapshot, ErrSnapshotVersion, ErrSnapshotTruncated or ErrSnapshotCorrupt.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	body, err := snapshotBody(b)
	if err != nil {
		return nil, err
	}
	item, err := decompressSnapshot(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotCorrupt, err)
	}
	mode, err := cbor.DecOptions{
		MaxNestedLevels: maxSnapshotNesting, MaxArrayElements: maxSnapshotArray, MaxMapPairs: maxSnapshotMap,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	var s Snapshot
	if err := mode.Unmarshal(item, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotCorrupt, err)
	}
	if s.Layout != decide.StateLayout || s.Model == nil {
		return nil, fmt.Errorf("%w: layout %d, want %d", ErrSnapshotVersion, s.Layout, decide.StateLayout)
	}
	for i := range s.Shapes {
		if err := s.Shapes[i].Record.Validate(); err != nil {
			return nil, fmt.Errorf("%w: shape %d: %w", ErrSnapshotCorrupt, i, err)
		}
	}
	return &s, nil
}

// snapshotBody checks the header and returns the body.
func snapshotBody(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, []byte(snapshotMagic)) {
		return nil, ErrNotSnapshot
	}
	if len(b) < snapshotHeaderBytes {
		return nil, ErrSnapshotTruncated
	}
	header, body := b[len(snapshotMagic):snapshotHeaderBytes], b[snapshotHeaderBytes:]
	if v := binary.BigEndian.Uint32(header); v != snapshotVersion {
		return nil, fmt.Errorf("%w: %d, want %d", ErrSnapshotVersion, v, snapshotVersion)
	}
	length := binary.BigEndian.Uint64(header[4:])
	switch {
	case uint64(len(body)) < length:
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrSnapshotTruncated, len(body), length)
	case uint64(len(body)) > length:
		return nil, fmt.Errorf("%w: %d bytes, want %d", ErrSnapshotCorrupt, len(body), length)
	case xxhash.Sum64(body) != binary.BigEndian.Uint64(header[12:]):
		return nil, fmt.Errorf("%w: checksum mismatch", ErrSnapshotCorrupt)
	}
	return body, nil
}

// decompressSnapshot decompresses a body. It reads at most maxSnapshotBytes.
func decompressSnapshot(body []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(bytes.NewReader(body), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return io.ReadAll(io.LimitReader(decoder, maxSnapshotBytes))
}
