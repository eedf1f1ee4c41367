package queryshape

import (
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"
)

// lruCache is the common interface of golang-lru's caches.
type lruCache interface {
	Get(Fingerprint) (*CachedShape, bool)
	Add(Fingerprint, *CachedShape)
	Keys() []Fingerprint
	Peek(Fingerprint) (*CachedShape, bool)
	Len() int
}

// plainLRU adapts golang-lru's Cache to lruCache: its Add has a result.
type plainLRU struct {
	*lru.Cache[Fingerprint, *CachedShape]
}

// Add implements lruCache.
func (c plainLRU) Add(f Fingerprint, s *CachedShape) { c.Cache.Add(f, s) }

// entryBoundedCache is a Cache that bounds the number of its entries instead of their size. The
// bound is the number of typical entries that fit in the configured number of bytes.
type entryBoundedCache struct{ lruCache }

// typicalNormalForm is the length of a typical normal form, in bytes.
const typicalNormalForm = 120

// entriesIn returns the number of typical entries that fit in a number of bytes, at least 1.
func entriesIn(bytes int) int {
	s := CachedShape{}
	return max(bytes/(s.Size()+typicalNormalForm), 1)
}

// NewLRU returns a cache of the given size in bytes that evicts the least recently used shape. It
// serves as a baseline for comparisons with W-TinyLFU.
func NewLRU(bytes int) (Cache, error) {
	c, err := lru.New[Fingerprint, *CachedShape](entriesIn(bytes))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryBoundedCache{plainLRU{c}}, nil
}

// New2Q returns a cache of the given size in bytes with the 2Q policy (Johnson, Shasha, 1994). It
// serves as a baseline for comparisons with W-TinyLFU.
func New2Q(bytes int) (Cache, error) {
	c, err := lru.New2Q[Fingerprint, *CachedShape](max(entriesIn(bytes), 2))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryBoundedCache{c}, nil
}

// Get implements Cache.
func (c entryBoundedCache) Get(f Fingerprint) *CachedShape {
	s, _ := c.lruCache.Get(f)
	return s
}

// Bytes implements Cache.
func (c entryBoundedCache) Bytes() (n int) {
	c.Each(func(_ Fingerprint, s *CachedShape) bool { n += s.Size(); return true })
	return n
}

// Each implements Cache.
func (c entryBoundedCache) Each(yield func(Fingerprint, *CachedShape) bool) {
	for _, f := range c.Keys() {
		if s, ok := c.Peek(f); ok && !yield(f, s) {
			return
		}
	}
}
