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

// Writer writes a traffic file.
type Writer struct {
	w       io.Writer
	enc     *zstd.Encoder
	plain   bytes.Buffer // uncompressed items of the block being filled
	inBlock uint32       // records in the block being filled
	number  uint64       // records written so far
}

// NewWriter writes the magic string, the version and the head of a file.
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

// put adds an item to the block being filled.
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
	t.inBlock++
	t.number++
	if t.plain.Len() >= flushBytes {
		return t.flush()
	}
	return nil
}

// flush compresses and writes the block being filled, if it holds anything.
func (t *Writer) flush() error {
	if t.plain.Len() == 0 {
		return nil
	}
	b := t.enc.EncodeAll(t.plain.Bytes(), make([]byte, headerBytes))
	putHeader(b, len(b)-headerBytes, xxhash.Sum64(b[headerBytes:]), t.inBlock)
	t.plain.Reset()
	t.inBlock = 0
	if _, err := t.w.Write(b); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}

// putHeader encodes the header of a block: the length and checksum of its frame and its number of
// records.
func putHeader(b []byte, length int, sum uint64, n uint32) {
	binary.BigEndian.PutUint32(b, uint32(length))
	binary.BigEndian.PutUint64(b[4:], sum)
	binary.BigEndian.PutUint32(b[12:], n)
}

// Close writes the end block, without which the file counts as truncated. It does not close the
// underlying writer.
func (t *Writer) Close() error {
	if err := t.flush(); err != nil {
		return err
	}
	b := make([]byte, headerBytes)
	putHeader(b, 0, t.number, 0)
	if _, err := t.w.Write(b); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return t.enc.Close()
}
