// Package traffic keeps recorded traffic: statements with their values, hints and what
// is true of them, each with the moment at which it comes.
//
// A file is "RWTRAFF" and a version byte, then blocks. A block is its length, the xxhash
// of its bytes and the number of its records (4, 8 and 4 bytes, big-endian), then a zstd
// frame of CBOR items: one Head in the first block, Records in the others. A block of
// length 0 that tells the number of all records ends the file; without it the file was
// cut off, and Reader says so after the records that are whole.
package traffic

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Version is the one that is written and read.
const Version = 1

const magic = "RWTRAFF"

// Errors of files.
var (
	ErrTruncated = errors.New("the file was cut off")
	ErrDamaged   = errors.New("the file is damaged")
	ErrForeign   = errors.New("this is no traffic file")
	ErrVersion   = errors.New("the file has another version")
)

// Bounds of a block, against files that claim what they don't hold.
const (
	mostBlock   = 16 << 20 // compressed
	mostPlain   = 64 << 20
	blockPlain  = 512 << 10 // a block is written once it holds so much
	headerBytes = 16
)

// Head says how the traffic came to be.
type Head struct {
	Seed     uint64  `cbor:"1,keyasint"`
	Model    string  `cbor:"2,keyasint"` // its options, in words
	Rate     float64 `cbor:"3,keyasint"` // statements a second on average
	Arrivals string  `cbor:"4,keyasint"` // poisson, bursts or season
	Number   int     `cbor:"5,keyasint"`
}

// Record is one statement.
type Record struct {
	At        int64    `cbor:"1,keyasint"` // microseconds from the start
	Statement string   `cbor:"2,keyasint"`
	Values    [][]byte `cbor:"3,keyasint,omitempty"`
	Formats   []byte   `cbor:"4,keyasint,omitempty"`
	Types     []byte   `cbor:"5,keyasint,omitempty"`
	HintWork  float64  `cbor:"6,keyasint,omitempty"` // ms on one core; 0: none
	HintMB    float64  `cbor:"7,keyasint,omitempty"`
	Key       int      `cbor:"8,keyasint,omitempty"`

	// What is true, for judging.
	Class    string  `cbor:"20,keyasint"`
	Hard     string  `cbor:"21,keyasint,omitempty"`
	Template int     `cbor:"22,keyasint"`
	Work     float64 `cbor:"23,keyasint"` // ms on one core
	MemoryMB float64 `cbor:"24,keyasint"`
	Value    float64 `cbor:"25,keyasint"`
}

// Writer writes a file.
type Writer struct {
	w      io.Writer
	enc    *zstd.Encoder
	plain  bytes.Buffer
	in     uint32 // records in the block being filled
	number uint64
}

// NewWriter begins a file.
func NewWriter(w io.Writer, h Head) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	t := &Writer{w: w, enc: enc}
	if _, err := w.Write(append([]byte(magic), Version)); err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	if err := t.put(h); err != nil {
		return nil, err
	}
	return t, t.flush()
}

func (t *Writer) put(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	t.plain.Write(b)
	return nil
}

// Write adds a record.
func (t *Writer) Write(r *Record) error {
	if err := t.put(r); err != nil {
		return err
	}
	t.in++
	t.number++
	if t.plain.Len() >= blockPlain {
		return t.flush()
	}
	return nil
}

func (t *Writer) flush() error {
	if t.plain.Len() == 0 {
		return nil
	}
	b := t.enc.EncodeAll(t.plain.Bytes(), make([]byte, headerBytes))
	header(b, len(b)-headerBytes, xxhash.Sum64(b[headerBytes:]), t.in)
	t.plain.Reset()
	t.in = 0
	if _, err := t.w.Write(b); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}

func header(b []byte, length int, sum uint64, n uint32) {
	binary.BigEndian.PutUint32(b, uint32(length))
	binary.BigEndian.PutUint64(b[4:], sum)
	binary.BigEndian.PutUint32(b[12:], n)
}

// Close ends the file. Without it the file counts as cut off.
func (t *Writer) Close() error {
	if err := t.flush(); err != nil {
		return err
	}
	b := make([]byte, headerBytes)
	header(b, 0, t.number, 0)
	if _, err := t.w.Write(b); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return t.enc.Close()
}

// Reader reads a file block by block.
type Reader struct {
	Head Head

	r      io.Reader
	zstd   *zstd.Decoder
	cbor   cbor.DecMode
	items  *cbor.Decoder
	left   uint32 // of the block
	number uint64
	done   bool
}

// NewReader reads the head of a file.
func NewReader(r io.Reader) (*Reader, error) {
	b := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, b); err != nil || string(b[:len(magic)]) != magic {
		return nil, ErrForeign
	}
	if v := b[len(magic)]; v != Version {
		return nil, fmt.Errorf("%w: %d, and %d is read here", ErrVersion, v, Version)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostPlain))
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 1 << 17, MaxMapPairs: 64}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	t := &Reader{r: r, zstd: dec, cbor: mode}
	if err := t.block(); err != nil {
		return nil, err
	}
	if err := t.items.Decode(&t.Head); err != nil {
		return nil, fmt.Errorf("%w: its head: %v", ErrDamaged, err)
	}
	return t, nil
}

func (t *Reader) block() error {
	h := make([]byte, headerBytes)
	if _, err := io.ReadFull(t.r, h); err != nil {
		return fmt.Errorf("%w after %d records", ErrTruncated, t.number)
	}
	length, sum := int(binary.BigEndian.Uint32(h)), binary.BigEndian.Uint64(h[4:])
	t.left = binary.BigEndian.Uint32(h[12:])
	if length == 0 {
		if sum != t.number || t.left != 0 {
			return fmt.Errorf("%w: it tells of %d records and holds %d", ErrDamaged, sum, t.number)
		}
		t.done = true
		return io.EOF
	}
	if length > mostBlock {
		return fmt.Errorf("%w: a block of %d bytes after %d records", ErrDamaged, length, t.number)
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(t.r, b); err != nil {
		return fmt.Errorf("%w after %d records", ErrTruncated, t.number)
	}
	if xxhash.Sum64(b) != sum {
		return fmt.Errorf("%w: a block after %d records has another checksum", ErrDamaged, t.number)
	}
	plain, err := t.zstd.DecodeAll(b, nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	t.items = t.cbor.NewDecoder(bytes.NewReader(plain))
	return nil
}

// Next reads a record; io.EOF behind the last one.
func (t *Reader) Next(r *Record) error {
	if t.done {
		return io.EOF
	}
	for t.left == 0 {
		if err := t.block(); err != nil {
			return err
		}
	}
	*r = Record{}
	if err := t.items.Decode(r); err != nil {
		return fmt.Errorf("%w: record %d: %v", ErrDamaged, t.number, err)
	}
	t.left--
	t.number++
	return nil
}

// Close frees what the reader holds; the file is its owner's.
func (t *Reader) Close() { t.zstd.Close() }
