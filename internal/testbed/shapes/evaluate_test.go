package shapes

import (
	"testing"

	"gannetspur/internal/testbed/workload"
)

// TestEvaluate verifies the documented accuracy of the classifier on traffic whose actual classes and costs
// are known, and that switching a part off makes some result worse.
func TestEvaluate(t *testing.T) {
	records := Generated(workload.Defaults(1), 12000)
	results := map[string]Result{}
	for _, v := range Variants() {
		res, err := Evaluate(records, v, Options{Train: 0.5, Bytes: 2 << 20})
		if err != nil {
			t.Fatal(err)
		}
		if res.WritesSeen == 0 || res.WritesSafe > 0 {
			t.Errorf("%s: %d of %d writes classified as reading, want 0 of at least 1", v.Name, res.WritesSafe, res.WritesSeen)
		}
		results[v.Name] = res
	}
	whole := results["whole"]
	if whole.ByCount < 0.97 || whole.ByWorth < 0.97 || whole.Hard < 0.95 || whole.HardJudged < 50 {
		t.Errorf("right classes: %.3f by count, %.3f by value, %.3f of %d hard cases, want 0.97, 0.97, 0.95 of at least 50", whole.ByCount, whole.ByWorth, whole.Hard, whole.HardJudged)
	}
	if whole.Median > whole.HintMedian/2 || whole.P90 > whole.HintP90/2 || whole.Median > whole.MeanMedian {
		t.Errorf("log2 error of estimates: median %.2f and p90 %.2f, want at most half of the hints' %.2f and %.2f, and a median of at most the class means' %.2f", whole.Median, whole.P90, whole.HintMedian, whole.HintP90, whole.MeanMedian)
	}
	if r := results["no parameters"]; r.Hard > whole.Hard-0.5 {
		t.Errorf("right classes of hard cases without parameters: %.2f, want at most %.2f", r.Hard, whole.Hard-0.5)
	}
	for _, name := range []string{"no prior", "no forgetting"} {
		if r := results[name]; r.P90 < whole.P90 {
			t.Errorf("%s: p90 of the error is %.3f, want at least the %.3f of the complete classifier", name, r.P90, whole.P90)
		}
	}
}

// TestFlood floods the caches with shapes that occur once. W-TinyLFU must retain the recurring shapes within
// its size limit, and the flood must be strong enough to evict them from an LRU cache.
func TestFlood(t *testing.T) {
	opts := FloodOptions{Seed: 1, Recurring: 200, OneOff: 60000, Share: 0.2, Bytes: 256 << 10}
	for name, least := range map[string]float64{"w-tinylfu": 0.95, "lru": 0, "2q": 0} {
		r, err := Flood(name, opts)
		if err != nil {
			t.Fatal(err)
		}
		if r.Hits < least || r.Counted > opts.Bytes+opts.Bytes/10 {
			t.Errorf("%+v, want hits of at least %.2f and at most %d counted bytes", r, least, opts.Bytes+opts.Bytes/10)
		}
		if name == "lru" && r.Hits > 0.95 {
			t.Errorf("the flood is too weak: hit rate of LRU is %.3f, want at most 0.95", r.Hits)
		}
	}
}
