package queryshape

import (
	"fmt"
	"unsafe"

	decide "gannetspur/internal/decide/costmodel"

	"github.com/maypok86/otter/v2"
)

// Fingerprint identifies a query shape within this process.
type Fingerprint = [2]uint64

// CachedShape is the cost record of a query shape with the shape's normal form.
type CachedShape struct {
	decide.ShapeRecord
	NormalForm string // the first MaxNormalForm bytes of the normal form
	Truncated  bool   // NormalForm is incomplete: the shape can't be identified after a restart
}

// MaxNormalForm is the maximum length of the normal form cached for one shape, in bytes.
const MaxNormalForm = 1 << 10

// entryOverheadBytes is the memory that a cache uses for one entry in addition to the entry
// itself: the eviction policy's node, the map's slot with its spare capacity, and the allocator's
// rounding. It was measured with a million shapes (docs/measurements/shapes.md) and rounded up.
const entryOverheadBytes = 240

// Size returns the number of bytes that the entry counts as in the bound of a cache.
func (s *CachedShape) Size() int {
	return int(unsafe.Sizeof(*s)) + len(s.NormalForm) + entryOverheadBytes
}

// Cache is a cache of shapes with a bounded size. It belongs to one goroutine.
type Cache interface {
	// Get returns the shape with a fingerprint, or nil.
	Get(f Fingerprint) *CachedShape
	// Add offers a shape to the cache, which may evict others or not admit the shape.
	Add(f Fingerprint, s *CachedShape)
	// Len returns the number of shapes.
	Len() int
	// Bytes returns the sum of the sizes of the shapes.
	Bytes() int
	// Each calls yield for each shape until yield returns false.
	Each(yield func(Fingerprint, *CachedShape) bool)
}

// tinyLFU admits a new shape only if it has been requested more often than the one that it would
// evict (Einziger, Friedman, Manes, "TinyLFU: A Highly Efficient Cache Admission Policy", 2017),
// so that a flood of one-off shapes does not displace recurring ones.
type tinyLFU struct {
	*otter.Cache[Fingerprint, *CachedShape]
}

// NewTinyLFU returns a cache of the given size in bytes with the W-TinyLFU policy. Its maintenance
// runs in the caller's goroutine.
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

// Get implements Cache.
func (c tinyLFU) Get(f Fingerprint) *CachedShape {
	s, _ := c.GetIfPresent(f)
	return s
}

// Add implements Cache.
func (c tinyLFU) Add(f Fingerprint, s *CachedShape) { c.Set(f, s) }

// Len implements Cache. The number is an estimate.
func (c tinyLFU) Len() int { return c.EstimatedSize() }

// Bytes implements Cache.
func (c tinyLFU) Bytes() int {
	c.CleanUp()
	return int(c.WeightedSize())
}

// Each implements Cache.
func (c tinyLFU) Each(yield func(Fingerprint, *CachedShape) bool) {
	c.CleanUp()
	for f, s := range c.All() {
		if !yield(f, s) {
			return
		}
	}
}
