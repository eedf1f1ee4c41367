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

// FloodOptions say how a cache is flooded with shapes that never come again while others
// recur.
type FloodOptions struct {
	Seed      uint64
	Recurring int     // shapes that come again
	OneOff    int     // shapes that don't
	Share     float64 // of statements that are of recurring shapes
	Bytes     int     // of the cache
}

// FloodResult is what became of one cache.
type FloodResult struct {
	Cache     string
	Asked     int     // statements of recurring shapes in the second half, which is judged
	Hits      float64 // share of those whose shape was held
	Held      int
	Counted   int // bytes by the cache's own count
	HeapBytes int // by which the heap in use grew, after a collection
	RSSBytes  int // of the process at the end; 0: not known
}

// Caches are the ways to hold shapes that are measured side by side.
var Caches = map[string]func(int) (queryshape.Cache, error){"w-tinylfu": queryshape.NewTinyLFU, "lru": queryshape.NewLRU, "2q": queryshape.New2Q}

// Flood plays statements past one cache.
func Flood(name string, opts FloodOptions) (FloodResult, error) {
	open, ok := Caches[name]
	if !ok {
		return FloodResult{}, fmt.Errorf("flood: there is no cache %q", name)
	}
	before := heap()
	cache, err := open(opts.Bytes)
	if err != nil {
		return FloodResult{}, err
	}
	book, err := queryshape.New(queryshape.Options{Model: decide.Config{}, Cache: cache})
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
		s := book.Read(text)
		had := book.Stats.Hits
		x := book.Estimate(s, nil, -1, queryshape.Hint{})
		if recurring && i >= total/2 {
			res.Asked++
			if book.Stats.Hits > had {
				hits++
			}
		}
		book.Learn(x, decide.Outcome{Work: 200, MemoryMB: 10})
	}
	res.Hits = float64(hits) / float64(max(res.Asked, 1))
	res.Held, res.Counted = book.Len(), book.Bytes()
	res.HeapBytes = heap() - before
	debug.FreeOSMemory()
	res.RSSBytes = int(metrics.ResidentBytes(os.Getpid()))
	runtime.KeepAlive(book)
	return res, nil
}

// recurringText is the n-th recurring shape: real words, a different column list each.
func recurringText(n int) string {
	return fmt.Sprintf("SELECT part, c%d, d%d FROM stock_%d.orders WHERE part = 'p-%05d' AND e%d > 4", n%17, n/17, 1+n%30, n, n)
}

func heap() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
