package queryshape

import (
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"
)

// lruCache is the interface that golang-lru's caches share.
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

func (c plainLRU) Add(f Fingerprint, s *CachedShape) { c.Cache.Add(f, s) }

// entryBoundedCache is a cache that bounds the number of its entries: those of typical statements
// that its bytes hold.
type entryBoundedCache struct{ lruCache }

// typicalNormalForm is the length of a typical normal form, in bytes.
const typicalNormalForm = 120

func entriesIn(bytes int) int {
	s := CachedShape{}
	return max(bytes/(s.Size()+typicalNormalForm), 1)
}

// NewLRU returns a cache that evicts the least recently used shape, to be compared with W-TinyLFU.
func NewLRU(bytes int) (Cache, error) {
	c, err := lru.New[Fingerprint, *CachedShape](entriesIn(bytes))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryBoundedCache{plainLRU{c}}, nil
}

// New2Q returns a cache with the 2Q policy (Johnson, Shasha, 1994), to be compared with W-TinyLFU.
func New2Q(bytes int) (Cache, error) {
	c, err := lru.New2Q[Fingerprint, *CachedShape](max(entriesIn(bytes), 2))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryBoundedCache{c}, nil
}

func (c entryBoundedCache) Get(f Fingerprint) *CachedShape {
	s, _ := c.lruCache.Get(f)
	return s
}

func (c entryBoundedCache) Bytes() (n int) {
	c.Each(func(_ Fingerprint, s *CachedShape) bool { n += s.Size(); return true })
	return n
}

func (c entryBoundedCache) Each(yield func(Fingerprint, *CachedShape) bool) {
	for _, f := range c.Keys() {
		if s, ok := c.Peek(f); ok && !yield(f, s) {
			return
		}
	}
}
