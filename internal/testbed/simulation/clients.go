package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/testbed/workcost"
	"gannetspur/policy"
)

// Fault is a violation of a rule: its name, the request and what was found.
type Fault struct{ Rule, Mark, What string }

// String returns the rule, the mark and the finding, separated by colons.
func (f Fault) String() string { return f.Rule + ": " + f.Mark + ": " + f.What }

// Result holds the results of a simulation. Figures count requests that arrived after the warm-up.
type Result struct {
	Asked, Got float64          // value of all requests and of their timely answers
	Requests   int              // number of requests
	Verdicts   map[string]int   // number of requests by kind and final verdict
	Worst      float64          // lowest ratio of Got to Asked in any span of 10 s, by arrival
	Spent      float64          // thread time at engines, s
	Wasted     float64          // part of Spent whose answer reached no client, s
	Messages   int64            // messages between sites
	Bytes      int64            // bytes between sites
	Crossed    int64            // requests forwarded to another site
	Counters   map[string]int64 // counters summed over all gateways
	Faults     []Fault
	Latency    []float64 // latencies of served requests, ms

	opts  *Options
	spans [][2]float64     // value got and asked, by second of arrival
	open  map[*client]bool // clients without a final answer
	order []*client        // all clients, in the order of their first attempts
}

// newResult returns an empty result.
func newResult(opts *Options) *Result {
	return &Result{
		opts: opts, Verdicts: map[string]int{}, Counters: map[string]int64{}, open: map[*client]bool{},
		spans: make([][2]float64, int(math.Ceil(opts.Span.Seconds()))+1),
	}
}

// fault records a violation, at most 1000 of them.
func (r *Result) fault(rule, mark, what string) {
	if len(r.Faults) < 1000 {
		r.Faults = append(r.Faults, Fault{rule, mark, what})
	}
}

// client is the client of one request, including its retries.
type client struct {
	w              *World
	site           *site
	g              *gateway // gateway of the present attempt
	generation     int      // that gateway's generation at the start of the attempt
	mark           string   // identifies the request
	class          policy.Class
	estimateFactor float64       // factor by which its estimate differs from the actual work
	arrived        time.Duration // arrival time of the request, at its first attempt
	deadline       time.Duration // deadline of the present attempt
	tries          int           // attempts so far
	answered       bool          // it has its final answer
	pending        *core.Request // the present attempt; nil: it has ended
}

// estimateSpread is the standard deviation of the logarithm of an estimate's error factor.
const estimateSpread = 0.3

// scheduleArrival schedules the next request of a site. Gaps are exponentially distributed.
func (w *World) scheduleArrival(s *site) {
	rate := w.opts.Rate * s.load
	if w.opts.Shape != nil {
		rate *= w.opts.Shape(s.n, w.now-origin)
	}
	gap := time.Duration(s.rng.ExpFloat64() / max(rate, 1e-6) * float64(time.Second))
	if gap > time.Minute { // the rate may change meanwhile
		w.after(time.Minute, func() { w.scheduleArrival(s) })
		return
	}
	w.after(gap, func() {
		if w.now >= origin+w.opts.Warm+w.opts.Span {
			return
		}
		w.issueRequest(s)
		w.scheduleArrival(s)
	})
}

// issueRequest draws a request of a site and sends it.
func (w *World) issueRequest(s *site) {
	kind := byte('q')
	switch x := s.rng.Float64(); {
	case x < w.opts.Loads:
		kind = 'k'
	case x < w.opts.Loads+w.opts.Writes:
		kind = 'w'
	case x < w.opts.Loads+w.opts.Writes+w.opts.Reports:
		kind = 'r'
	}
	s.requests++
	c := &client{w: w, site: s, mark: fmt.Sprintf("%c-%d-%d", kind, s.n, s.requests), arrived: w.now, estimateFactor: math.Exp(estimateSpread * s.rng.NormFloat64())}
	name := workcost.ClassOf(c.mark).Name
	i := slices.IndexFunc(w.opts.Site.Policy.Classes, func(class policy.Class) bool { return class.Name == name })
	if i < 0 {
		w.fail(fmt.Errorf("simulation: the gateway settings have no class %q, which the clients use; add it", name))
		return
	}
	c.class = w.opts.Site.Policy.Classes[i]
	w.res.open[c] = true
	w.res.order = append(w.res.order, c)
	c.try(s)
}

// try sends the request to a gateway of a site.
func (c *client) try(s *site) {
	w := c.w
	if c.g == nil {
		c.g = s.gateways[s.rng.IntN(len(s.gateways))]
	} else {
		c.g = s.gateways[c.g.n] // the gateway that the previous one is linked to
	}
	c.generation = c.g.generation
	c.tries++
	w.ledger.tries[c.mark] = c.tries
	c.deadline = w.now + c.class.Timeout
	if c.g.dead {
		c.finishAttempt(core.Answer{Verdict: core.Failed}, "gateway away")
		return
	}
	work, group := workcost.Work(c.mark)
	r := &core.Request{ID: c.mark, Class: c.class.Name, Statement: mark(c.mark), DataSet: group + 1, Deadline: c.deadline + c.g.skew(), Client: c, ClientRetry: c.tries > 1}
	if w.opts.Estimates {
		r.Work = time.Duration(float64(work) * c.estimateFactor)
	}
	if c.class.Idempotency == policy.IdempotentWithKey {
		r.IdempotencyKey = c.mark
	}
	c.pending = r
	c.g.do(func() { c.g.core.Accept(r) })
}

// Answer receives the gateway's final answer.
func (c *client) Answer(r *core.Request, a core.Answer) {
	if r != c.pending || c.answered {
		c.w.res.fault("two answers", c.mark, a.Verdict.String())
		return
	}
	c.pending = nil
	if a.Verdict == core.Served && a.Result != mark(c.mark) {
		c.w.res.fault("spoilt", c.mark, fmt.Sprint(a.Result))
	}
	outcome := a.Verdict.String()
	if a.Verdict == core.Failed && a.InDoubt {
		outcome = "doubt"
	}
	c.finishAttempt(a, outcome)
}

// maxTries is the maximum number of attempts of a load's client.
const maxTries = 3

// finishAttempt records the outcome of an attempt and schedules a retry of a load if one is left.
func (c *client) finishAttempt(a core.Answer, outcome string) {
	w := c.w
	if late := w.now - c.deadline; late > 20*time.Millisecond {
		w.res.fault("late answer", c.mark, late.String())
	}
	if a.Verdict != core.Served && c.class.Idempotency == policy.IdempotentWithKey && c.tries < maxTries {
		s := c.site
		if w.rng.Float64() < w.opts.Elsewhere {
			s = w.sites[w.rng.IntN(len(w.sites))]
		}
		w.after(100*time.Millisecond+a.RetryAfter, func() { c.try(s) })
		return
	}
	c.answered = true
	delete(w.res.open, c)
	w.res.count(c, a.Verdict == core.Served, outcome, w.now)
}

// count adds a finished request to the figures.
func (r *Result) count(c *client, served bool, outcome string, now time.Duration) {
	at := c.arrived - origin - r.opts.Warm
	if at < 0 {
		return
	}
	maxValue := workcost.ClassOf(c.mark).Value
	value := 0.0
	if served {
		value = workcost.Value(c.mark, now-c.arrived)
		r.Latency = append(r.Latency, float64(now-c.arrived)/1e6)
	}
	r.Requests++
	r.Verdicts[string(c.mark[0])+" "+outcome]++
	r.Asked += maxValue
	r.Got += value
	span := &r.spans[int(at/time.Second)]
	span[0] += value
	span[1] += maxValue
}

// failPending ends the attempts at a gateway that has crashed: their clients see the connection close.
func (r *Result) failPending(g *gateway) {
	for _, c := range r.order {
		if r.open[c] && c.g == g && c.generation == g.generation && c.pending != nil {
			c.pending = nil
			c.finishAttempt(core.Answer{Verdict: core.Failed}, "connection ended")
		}
	}
}

// finish computes the final figures and reports requests without an answer.
func (w *World) finish() {
	r := w.res
	for _, c := range r.order {
		if r.open[c] && w.now > c.deadline+20*time.Millisecond {
			r.fault("no answer", c.mark, fmt.Sprintf("asked at %v", c.arrived-origin))
		}
	}
	r.order, r.open = nil, nil
	r.Worst = workcost.WorstTenSeconds(r.spans)
	for _, s := range w.sites {
		for _, g := range s.gateways {
			for name, n := range g.stats.All() {
				r.Counters[name] += n
			}
		}
	}
	for name, n := range r.Counters {
		if strings.HasPrefix(name, "site.crossed.") {
			r.Crossed += n
		}
	}
}

// Service returns the value of timely answers as a fraction of the value of all requests.
func (r *Result) Service() float64 { return r.Got / max(r.Asked, 1e-9) }

// Sum returns the result as text, which is the same for the same options.
func (r *Result) Sum() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d asked %.3f got %.3f worst %.4f spent %.6f wasted %.6f messages %d bytes %d crossed %d\n",
		r.Requests, r.Asked, r.Got, r.Worst, r.Spent, r.Wasted, r.Messages, r.Bytes, r.Crossed)
	for _, m := range []map[string]int64{r.Counters, toInt64(r.Verdicts)} {
		names := make([]string, 0, len(m))
		for n := range m {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			fmt.Fprintf(&b, "%s %d\n", n, m[n])
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// toInt64 converts the values of a map to int64.
func toInt64(m map[string]int) map[string]int64 {
	out := map[string]int64{}
	for k, v := range m {
		out[k] = int64(v)
	}
	return out
}
