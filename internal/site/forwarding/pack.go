package forwarding

import (
	"errors"
	"fmt"

	"gannetspur/internal/site/message"

	"github.com/klauspost/compress/zstd"
)

// Packer compresses bodies with zstd (RFC 8878) where that saves enough. The zero value compresses
// nothing and rejects compressed bodies.
type Packer struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// Limits of compression. Bodies below minCompressSize bytes are sent uncompressed, and so are bodies that
// do not shrink to maxCompressRatio of their size (docs/measurements/site-link.md).
const (
	minCompressSize  = 1 << 10
	maxCompressRatio = 0.8
	// zstdWindow is the zstd window in bytes; it bounds the memory of both sides for one body.
	zstdWindow = 256 << 10
)

var errCompressedBody = errors.New("site link: invalid compressed body")

// NewPacker returns a Packer that compresses and decompresses.
func NewPacker() (p Packer, err error) {
	p.enc, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(zstdWindow), zstd.WithLowerEncoderMem(true))
	if err == nil {
		p.dec, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(message.MaxBodySize), zstd.WithDecoderMaxWindow(zstdWindow), zstd.WithDecoderLowmem(true))
	}
	if err != nil {
		return Packer{}, fmt.Errorf("zstd: %w", err)
	}
	return p, nil
}

// Pack returns a body as it is sent, and its uncompressed size in bytes; 0 means that it is not
// compressed.
func (p Packer) Pack(b []byte) (body []byte, uncompressedSize int) {
	if p.enc == nil || len(b) < minCompressSize {
		return b, 0
	}
	compressed := p.enc.EncodeAll(b, make([]byte, 0, len(b)/2))
	if float64(len(compressed)) > maxCompressRatio*float64(len(b)) {
		return b, 0
	}
	return compressed, len(b)
}

// Unpack decompresses a body to size bytes; a size of 0 means that it is not compressed. The zstd header
// must declare the same size, so that a body cannot decompress to more than announced.
func (p Packer) Unpack(b []byte, size int) ([]byte, error) {
	if size == 0 {
		return b, nil
	}
	if p.dec == nil {
		return nil, fmt.Errorf("%w: this side does not accept compressed bodies", errCompressedBody)
	}
	var h zstd.Header
	if err := h.Decode(b); err != nil || !h.HasFCS || h.FrameContentSize != uint64(size) {
		return nil, fmt.Errorf("%w: the zstd header does not declare %d bytes", errCompressedBody, size)
	}
	out, err := p.dec.DecodeAll(b, make([]byte, 0, size))
	if err != nil {
		return nil, fmt.Errorf("%w: decompressed %d of %d bytes: %w", errCompressedBody, len(out), size, err)
	}
	if len(out) != size {
		return nil, fmt.Errorf("%w: decompressed %d of %d bytes", errCompressedBody, len(out), size)
	}
	return out, nil
}
