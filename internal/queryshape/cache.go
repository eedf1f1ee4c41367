package queryshape

import (
	"fmt"
	"unsafe"

	decide "gannetspur/internal/decide/costmodel"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/maypok86/otter/v2"
)

// Print names a shape within this process.
type Fingerprint = [2]uint64

// Kept is what the cache holds of one shape.
type CachedShape struct {
	decide.ShapeRecord
	NormalForm string // its normal form, or the first MostNorm bytes of it
	Truncated  bool   // the form is longer: it can't be found again after a restart
}

// MostNorm bounds the normal form that is kept of one shape, in bytes.
const MaxNormalForm = 1 << 10

// overhead is what a cache takes for one entry beside the entry itself: the node of
// the policy, the map's slot with its spare room, and the allocator's rounding. It was
// measured with a million shapes (docs/measurements/shapes.md) and is rounded up.
const entryOverheadBytes = 240

// Size is what an entry is counted as, in bytes.
func (k *CachedShape) Size() int {
	return int(unsafe.Sizeof(*k)) + len(k.NormalForm) + entryOverheadBytes
}

// Cache holds shapes within a number of bytes.
type Cache interface {
	Get(p Fingerprint) *CachedShape // nil: not held
	Add(p Fingerprint, k *CachedShape)
	Len() int
	Bytes() int // as counted by Size
	Each(yield func(Fingerprint, *CachedShape) bool)
}

// tinyLFU admits a new shape only where it has come more often than the one that it
// would push out (Einziger, Friedman, Manes, "TinyLFU: A Highly Efficient Cache
// Admission Policy", 2017): a flood of one-off shapes passes by those that recur.
type tinyLFU struct {
	*otter.Cache[Fingerprint, *CachedShape]
}

// NewTinyLFU returns a cache of W-TinyLFU. Its upkeep runs in the caller's goroutine.
func NewTinyLFU(bytes int) (Cache, error) {
	c, err := otter.New(&otter.Options[Fingerprint, *CachedShape]{
		MaximumWeight: uint64(bytes),
		Weigher:       func(_ Fingerprint, k *CachedShape) uint32 { return uint32(k.Size()) },
		Executor:      func(fn func()) { fn() },
	})
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return tinyLFU{c}, nil
}

func (c tinyLFU) Get(p Fingerprint) *CachedShape {
	k, _ := c.GetIfPresent(p)
	return k
}

func (c tinyLFU) Add(p Fingerprint, k *CachedShape) { c.Set(p, k) }
func (c tinyLFU) Len() int                          { return c.EstimatedSize() }

func (c tinyLFU) Bytes() int {
	c.CleanUp()
	return int(c.WeightedSize())
}

func (c tinyLFU) Each(yield func(Fingerprint, *CachedShape) bool) {
	c.CleanUp()
	for p, k := range c.All() {
		if !yield(p, k) {
			return
		}
	}
}

// least is what golang-lru's caches have in common.
type lruCache interface {
	Get(Fingerprint) (*CachedShape, bool)
	Add(Fingerprint, *CachedShape)
	Keys() []Fingerprint
	Peek(Fingerprint) (*CachedShape, bool)
	Len() int
}

type plainLRU struct {
	*lru.Cache[Fingerprint, *CachedShape]
}

func (c plainLRU) Add(p Fingerprint, k *CachedShape) { c.Cache.Add(p, k) }

// counted is a cache that counts entries, for a number of bytes: the entries of usual
// statements (usualNorm bytes of normal form) that these hold.
type entryBoundedCache struct{ lruCache }

const typicalNormalForm = 120

func entriesIn(bytes int) int {
	k := CachedShape{}
	return max(bytes/(k.Size()+typicalNormalForm), 1)
}

// NewLRU returns a cache that drops what was used longest ago; measured beside W-TinyLFU.
func NewLRU(bytes int) (Cache, error) {
	c, err := lru.New[Fingerprint, *CachedShape](entriesIn(bytes))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryBoundedCache{plainLRU{c}}, nil
}

// New2Q returns a cache of 2Q (Johnson, Shasha, 1994); measured beside W-TinyLFU.
func New2Q(bytes int) (Cache, error) {
	c, err := lru.New2Q[Fingerprint, *CachedShape](max(entriesIn(bytes), 2))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryBoundedCache{c}, nil
}

func (c entryBoundedCache) Get(p Fingerprint) *CachedShape {
	k, _ := c.lruCache.Get(p)
	return k
}

func (c entryBoundedCache) Bytes() (n int) {
	c.Each(func(_ Fingerprint, k *CachedShape) bool { n += k.Size(); return true })
	return n
}

func (c entryBoundedCache) Each(yield func(Fingerprint, *CachedShape) bool) {
	for _, p := range c.Keys() {
		if k, ok := c.Peek(p); ok && !yield(p, k) {
			return
		}
	}
}
