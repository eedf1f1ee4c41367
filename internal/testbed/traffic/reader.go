package traffic

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Reader reads a traffic file block by block. Its errors do not wrap those of the decoders, because an
// io.EOF inside a damaged block must not be taken for the end of the file.
type Reader struct {
	Head Head // head of the file

	r         io.Reader
	zstd      *zstd.Decoder
	cbor      cbor.DecMode
	items     *cbor.Decoder // of the current block, decompressed
	remaining uint32        // records of the current block not read yet
	number    uint64        // records read so far
	done      bool          // whether the end block has been read
}

// NewReader reads the magic string, the version and the head of a file.
func NewReader(r io.Reader) (*Reader, error) {
	b := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, b); err != nil || string(b[:len(magic)]) != magic {
		return nil, ErrForeign
	}
	if v := b[len(magic)]; v != Version {
		return nil, fmt.Errorf("%w: file has version %d, want %d; generate the file again", ErrVersion, v, Version)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPlainBytes))
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 1 << 17, MaxMapPairs: 64}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	t := &Reader{r: r, zstd: dec, cbor: mode}
	if err := t.readBlock(); err != nil {
		return nil, err
	}
	if err := t.items.Decode(&t.Head); err != nil {
		return nil, fmt.Errorf("%w: cannot decode the head: %s", ErrDamaged, err.Error())
	}
	return t, nil
}

// readBlock reads and checks the next block. It returns io.EOF at the end of the file.
func (t *Reader) readBlock() error {
	h := make([]byte, headerBytes)
	if _, err := io.ReadFull(t.r, h); err != nil {
		return fmt.Errorf("%w after %d records", ErrTruncated, t.number)
	}
	length := int(binary.BigEndian.Uint32(h))
	sum := binary.BigEndian.Uint64(h[4:])
	t.remaining = binary.BigEndian.Uint32(h[12:])
	if length == 0 {
		if sum != t.number || t.remaining != 0 {
			return fmt.Errorf("%w: the end block states %d records, but the file holds %d", ErrDamaged, sum, t.number)
		}
		t.done = true
		return io.EOF
	}
	if length > maxBlockBytes {
		return fmt.Errorf("%w: the block after %d records has %d bytes, want at most %d", ErrDamaged, t.number, length, maxBlockBytes)
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(t.r, b); err != nil {
		return fmt.Errorf("%w after %d records", ErrTruncated, t.number)
	}
	if xxhash.Sum64(b) != sum {
		return fmt.Errorf("%w: wrong checksum of the block after %d records", ErrDamaged, t.number)
	}
	plain, err := t.zstd.DecodeAll(b, nil)
	if err != nil {
		return fmt.Errorf("%w: cannot decompress the block after %d records: %s", ErrDamaged, t.number, err.Error())
	}
	t.items = t.cbor.NewDecoder(bytes.NewReader(plain))
	return nil
}

// Next reads the next record into r. It returns io.EOF after the last one.
func (t *Reader) Next(r *Record) error {
	if t.done {
		return io.EOF
	}
	for t.remaining == 0 {
		if err := t.readBlock(); err != nil {
			return err
		}
	}
	*r = Record{}
	if err := t.items.Decode(r); err != nil {
		return fmt.Errorf("%w: cannot decode record %d: %s", ErrDamaged, t.number, err.Error())
	}
	t.remaining--
	t.number++
	return nil
}

// Close frees the reader's resources. It does not close the file.
func (t *Reader) Close() { t.zstd.Close() }
