package shapes

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/metrics"
	"gannetspur/internal/queryshape"
)

// FloodOptions configure a flood of a cache with shapes that occur once, while others recur.
type FloodOptions struct {
	Seed      uint64
	Recurring int     // number of recurring shapes
	OneOff    int     // number of shapes that occur once
	Share     float64 // fraction of the statements that have a recurring shape
	Bytes     int     // limit of the cache
}

// FloodResult holds the results for one cache.
type FloodResult struct {
	Cache     string  // name of the cache
	Asked     int     // statements of recurring shapes in the second half, which is evaluated
	Hits      float64 // fraction of those whose shape was in the cache
	Held      int     // shapes in the cache at the end
	Counted   int     // size of the cache in bytes, by its own count
	HeapBytes int     // growth of the live heap in bytes, after garbage collection
	RSSBytes  int     // resident memory of the process at the end, in bytes; 0: unknown
}

// Caches holds the constructors of the compared caches by name. Their argument is the size limit in bytes.
var Caches = map[string]func(int) (queryshape.Cache, error){"w-tinylfu": queryshape.NewTinyLFU, "lru": queryshape.NewLRU, "2q": queryshape.New2Q}

// Flood passes statements to the named cache, and measures its hit rate and memory.
func Flood(name string, opts FloodOptions) (FloodResult, error) {
	newCache, ok := Caches[name]
	if !ok {
		return FloodResult{}, fmt.Errorf("flood: unknown cache %q, want w-tinylfu, lru or 2q", name)
	}
	before := heap()
	cache, err := newCache(opts.Bytes)
	if err != nil {
		return FloodResult{}, err
	}
	shapeCache, err := queryshape.New(queryshape.Options{Model: decide.Config{}, Cache: cache})
	if err != nil {
		return FloodResult{}, err
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x666c6f6f64))
	zipf := rand.NewZipf(rng, 1.3, 10, uint64(opts.Recurring-1))
	res := FloodResult{Cache: name}
	total := int(float64(opts.OneOff) / (1 - opts.Share))
	hits := 0
	for i := range total {
		recurring := rng.Float64() < opts.Share
		text := ""
		if recurring {
			text = recurringText(int(zipf.Uint64()))
		} else {
			text = fmt.Sprintf("SELECT t_%d.n FROM stock_3.scratch_%d t_%d WHERE t_%d.part = 'p-1'", i, rng.Uint32(), i, i)
		}
		s := shapeCache.Read(text)
		hitsBefore := shapeCache.Stats.Hits
		x := shapeCache.Estimate(s, nil, -1, queryshape.Hint{})
		if recurring && i >= total/2 {
			res.Asked++
			if shapeCache.Stats.Hits > hitsBefore {
				hits++
			}
		}
		shapeCache.Learn(x, decide.Outcome{Work: 200, MemoryMB: 10})
	}
	res.Hits = float64(hits) / float64(max(res.Asked, 1))
	res.Held, res.Counted = shapeCache.Len(), shapeCache.Bytes()
	res.HeapBytes = heap() - before
	debug.FreeOSMemory()
	res.RSSBytes = int(metrics.ResidentBytes(os.Getpid()))
	runtime.KeepAlive(shapeCache)
	return res, nil
}

// recurringText returns a statement of the n-th recurring shape. Each has a column list of its own.
func recurringText(n int) string {
	return fmt.Sprintf("SELECT part, c%d, d%d FROM stock_%d.orders WHERE part = 'p-%05d' AND e%d > 4", n%17, n/17, 1+n%30, n, n)
}

// heap returns the size of the live heap in bytes. It collects garbage twice, so that finalized objects
// are freed, too.
func heap() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
