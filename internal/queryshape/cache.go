package queryshape

import (
	"fmt"
	"unsafe"

	decide "gannetspur/internal/decide/costmodel"

	"github.com/maypok86/otter/v2"
)

// Fingerprint identifies a shape within this process.
type Fingerprint = [2]uint64

// CachedShape is a cached shape.
type CachedShape struct {
	decide.ShapeRecord
	NormalForm string // or the first MaxNormalForm bytes of it
	Truncated  bool   // the normal form is longer: the shape can't be found again after a restart
}

// MaxNormalForm bounds the normal form that is cached of one shape, in bytes.
const MaxNormalForm = 1 << 10

// entryOverheadBytes is what a cache takes for one entry beside the entry itself: the node of the
// policy, the map's slot with its spare capacity, and the allocator's rounding. Measured with a
// million shapes (docs/measurements/shapes.md) and rounded up.
const entryOverheadBytes = 240

// Size returns the bytes that an entry is counted as.
func (s *CachedShape) Size() int {
	return int(unsafe.Sizeof(*s)) + len(s.NormalForm) + entryOverheadBytes
}

// Cache holds shapes within a number of bytes.
type Cache interface {
	// Get returns the shape of a fingerprint, or nil.
	Get(f Fingerprint) *CachedShape
	Add(f Fingerprint, s *CachedShape)
	Len() int
	// Bytes returns the sum of the sizes of the shapes.
	Bytes() int
	// Each calls yield for each shape until it returns false.
	Each(yield func(Fingerprint, *CachedShape) bool)
}

// tinyLFU admits a new shape only where it has come more often than the one that it would evict
// (Einziger, Friedman, Manes, "TinyLFU: A Highly Efficient Cache Admission Policy", 2017): a flood
// of one-off shapes does not displace those that recur.
type tinyLFU struct {
	*otter.Cache[Fingerprint, *CachedShape]
}

// NewTinyLFU returns a cache with the W-TinyLFU policy. Its maintenance runs in the caller's
// goroutine.
func NewTinyLFU(bytes int) (Cache, error) {
	c, err := otter.New(&otter.Options[Fingerprint, *CachedShape]{
		MaximumWeight: uint64(bytes),
		Weigher:       func(_ Fingerprint, s *CachedShape) uint32 { return uint32(s.Size()) },
		Executor:      func(fn func()) { fn() },
	})
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return tinyLFU{c}, nil
}

func (c tinyLFU) Get(f Fingerprint) *CachedShape {
	s, _ := c.GetIfPresent(f)
	return s
}

func (c tinyLFU) Add(f Fingerprint, s *CachedShape) { c.Set(f, s) }
func (c tinyLFU) Len() int                          { return c.EstimatedSize() }

func (c tinyLFU) Bytes() int {
	c.CleanUp()
	return int(c.WeightedSize())
}

func (c tinyLFU) Each(yield func(Fingerprint, *CachedShape) bool) {
	c.CleanUp()
	for f, s := range c.All() {
		if !yield(f, s) {
			return
		}
	}
}
