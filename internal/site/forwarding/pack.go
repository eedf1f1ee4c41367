package forwarding

import (
	"errors"
	"fmt"

	"gannetspur/internal/site/message"

	"github.com/klauspost/compress/zstd"
)

// Packer packs bodies by zstd (RFC 8878) where that pays. Its zero value packs and reads none.
type Packer struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// Bounds of packing: less than minPackedBytes is sent as it is, and what does not shrink to
// maxPackedRatio as well (docs/measurements/site-link.md).
const (
	minPackedBytes = 1 << 10
	maxPackedRatio = 0.8
	// packWindow bounds the memory of both sides for one body.
	packWindow = 256 << 10
)

var errPacked = errors.New("site link: a packed body can't be read")

// NewPacker returns one that packs.
func NewPacker() (p Packer, err error) {
	p.enc, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true))
	if err == nil {
		p.dec, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(message.MaxBodySize), zstd.WithDecoderMaxWindow(packWindow), zstd.WithDecoderLowmem(true))
	}
	if err != nil {
		return Packer{}, fmt.Errorf("zstd: %w", err)
	}
	return p, nil
}

// Pack returns a body as it is to travel, and its length as it was; 0: it is not packed.
func (p Packer) Pack(b []byte) (body []byte, raw int) {
	if p.enc == nil || len(b) < minPackedBytes {
		return b, 0
	}
	packed := p.enc.EncodeAll(b, make([]byte, 0, len(b)/2))
	if float64(len(packed)) > maxPackedRatio*float64(len(b)) {
		return b, 0
	}
	return packed, len(b)
}

// Unpack reads a body that was raw bytes long; 0: it is not packed. Guards against one that
// unpacks to more than it said.
func (p Packer) Unpack(b []byte, raw int) ([]byte, error) {
	if raw == 0 {
		return b, nil
	}
	if p.dec == nil {
		return nil, fmt.Errorf("%w: it was not asked for", errPacked)
	}
	var h zstd.Header
	if err := h.Decode(b); err != nil || !h.HasFCS || h.FrameContentSize != uint64(raw) {
		return nil, fmt.Errorf("%w: its length is not as said", errPacked)
	}
	out, err := p.dec.DecodeAll(b, make([]byte, 0, raw))
	if err != nil {
		return nil, fmt.Errorf("%w: %d bytes of %d: %w", errPacked, len(out), raw, err)
	}
	if len(out) != raw {
		return nil, fmt.Errorf("%w: %d bytes of %d", errPacked, len(out), raw)
	}
	return out, nil
}
