package shapes

import (
	"testing"

	"gannetspur/internal/testbed/workload"
)

// On traffic whose truth is known the classifier keeps what the product promises of it,
// and each part that is switched off is missed somewhere.
func TestEvaluate(t *testing.T) {
	records := Generated(workload.Defaults(1), 12000)
	results := map[string]Result{}
	for _, v := range Variants() {
		res, err := Evaluate(records, v, Options{Train: 0.5, Bytes: 2 << 20})
		if err != nil {
			t.Fatal(err)
		}
		if res.WritesSeen == 0 || res.WritesSafe > 0 {
			t.Errorf("%s: %d of %d writes taken as reading", v.Name, res.WritesSafe, res.WritesSeen)
		}
		results[v.Name] = res
	}
	whole := results["whole"]
	if whole.ByCount < 0.97 || whole.ByWorth < 0.97 || whole.Hard < 0.95 || whole.HardJudged < 50 {
		t.Errorf("classes right: %.3f by count, %.3f by worth, %.3f of %d hard cases", whole.ByCount, whole.ByWorth, whole.Hard, whole.HardJudged)
	}
	if whole.Median > whole.HintMedian/2 || whole.P90 > whole.HintP90/2 || whole.Median > whole.MeanMedian {
		t.Errorf("errors %.2f and %.2f, hints' %.2f and %.2f, means' %.2f", whole.Median, whole.P90, whole.HintMedian, whole.HintP90, whole.MeanMedian)
	}
	if r := results["no parameters"]; r.Hard > whole.Hard-0.5 {
		t.Errorf("hard cases without parameters: %.2f", r.Hard)
	}
	for _, name := range []string{"no prior", "no forgetting"} {
		if r := results[name]; r.P90 < whole.P90 {
			t.Errorf("%s: p90 of the error %.3f, whole %.3f", name, r.P90, whole.P90)
		}
	}
}

// A flood of shapes that come once: W-TinyLFU holds those that recur within its bytes.
func TestFlood(t *testing.T) {
	opts := FloodOptions{Seed: 1, Recurring: 200, OneOff: 60000, Share: 0.2, Bytes: 256 << 10}
	for name, least := range map[string]float64{"w-tinylfu": 0.95, "lru": 0, "2q": 0} {
		r, err := Flood(name, opts)
		if err != nil {
			t.Fatal(err)
		}
		if r.Hits < least || r.Counted > opts.Bytes+opts.Bytes/10 {
			t.Errorf("%+v", r)
		}
		if name == "lru" && r.Hits > 0.95 {
			t.Errorf("the flood does not press: LRU found %.3f", r.Hits)
		}
	}
}
