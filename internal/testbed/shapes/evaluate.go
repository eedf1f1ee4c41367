// Package shapes evaluates the classifier of statements on recorded traffic, whose actual classes and
// costs are known, floods its cache with query shapes, and measures its CPU cost in the gateway.
package shapes

import (
	"errors"
	"io"
	"math"
	"slices"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
	"gannetspur/internal/testbed/traffic"
	"gannetspur/internal/testbed/workload"

	"gonum.org/v1/gonum/stat"
)

// Variant is a configuration of the classifier.
type Variant struct {
	Name   string
	Config decide.Config
}

// Classes returns the classes of reading statements: lookups up to workload.ReportWork, and reports.
func Classes() []decide.Class {
	return []decide.Class{{Name: "lookup", MaxWorkMS: workload.ReportWork}, {Name: "report"}}
}

// Variants returns the complete classifier, and one variant for each part that is switched off.
func Variants() []Variant {
	with := func(name string, change func(*decide.Config)) Variant {
		c := decide.Config{Classes: Classes()}
		change(&c)
		return Variant{name, c}
	}
	return []Variant{
		with("whole", func(*decide.Config) {}),
		with("no parameters", func(c *decide.Config) { c.NoParameters = true }),
		with("no prior", func(c *decide.Config) { c.NoPrior = true }),
		with("no forgetting", func(c *decide.Config) { c.NoDecay = true }),
		with("no hint", func(c *decide.Config) { c.NoHint = true }),
	}
}

// Result holds the results of one variant for the evaluated part of one file. Fractions are from 0 to 1.
type Result struct {
	Judged      int               // statements evaluated
	ByCount     float64           // fraction of the statements whose class is right
	ByWorth     float64           // the same, with each statement weighted by its value
	Hard        float64           // fraction of the hard cases whose class is right
	HardJudged  int               // hard cases evaluated
	HardBy      map[string][2]int // number right and total number, by case
	WritesSafe  int               // writes wrongly classified as reading
	WritesSeen  int               // all writes
	ReadsDenied int               // reading statements wrongly classified as writes
	Median, P90 float64           // median and 90th percentile of |log2(estimated work/actual work)|, without writes
	HintMedian  float64           // the same for the hinted work, of statements with a hint
	HintP90     float64           // see HintMedian
	MeanMedian  float64           // the same for the mean work so far of the actual class
	MeanP90     float64           // see MeanMedian
	HintClass   float64           // fraction of the hinted statements, without writes, whose class the hint alone would give; loads count as right
	Shapes      int               // shapes in the cache at the end
	Bytes       int               // size of the cache at the end
	HitRate     float64           // hit rate of the cache over the whole file
}

// Options configure an evaluation.
type Options struct {
	Train float64 // fraction of the records at the start that only train the classifier; it goes on learning after them
	Bytes int     // limit of the cache
}

// Records reads a whole file of traffic. On an error it returns the records read before.
func Records(r io.Reader) ([]traffic.Record, traffic.Head, error) {
	t, err := traffic.NewReader(r)
	if err != nil {
		return nil, traffic.Head{}, err
	}
	defer t.Close()
	var all []traffic.Record
	for {
		var rec traffic.Record
		err := t.Next(&rec)
		if errors.Is(err, io.EOF) {
			return all, t.Head, nil
		}
		if err != nil {
			return all, t.Head, err
		}
		all = append(all, rec)
	}
}

// Evaluate passes records to a variant, in order and as a gateway does: it estimates a statement, then
// learns the actual cost of its execution.
func Evaluate(records []traffic.Record, v Variant, opts Options) (Result, error) {
	shapeCache, err := queryshape.New(queryshape.Options{Model: v.Config, Bytes: opts.Bytes})
	if err != nil {
		return Result{}, err
	}
	res := Result{HardBy: map[string][2]int{}}
	var errs, hints, means []float64
	var right, value, rightValue, hardRight, hintRight, hinted float64
	mean := map[string]*[2]float64{}
	trained := int(opts.Train * float64(len(records)))
	for i := range records {
		r := &records[i]
		evaluated := i >= trained
		effect := sqltext.EffectOf(r.Statement, nil).Effect
		s := shapeCache.Read(r.Statement)
		binds := sqltext.Binds{Values: r.Values, Formats: r.Formats, Types: r.Types}
		x := shapeCache.Estimate(s, &binds, -1, queryshape.Hint{Work: r.HintWork, MemoryMB: r.HintMB})
		got := "write"
		switch {
		case r.Class == "load" && r.Key > 0: // in the gateway, the configured rule for INSERT INTO sets the class and the key
			got = "load"
		case effect != sqltext.Reads:
		case x.Estimate.Class >= 0:
			got = v.Config.Classes[x.Estimate.Class].Name
		default: // nothing is known of the shape yet: the default class
			got = "lookup"
		}
		if m := mean[r.Class]; evaluated {
			res.Judged++
			value += r.Value
			if got == r.Class {
				right++
				rightValue += r.Value
			}
			if r.Class == "write" {
				res.WritesSeen++
				if effect == sqltext.Reads {
					res.WritesSafe++
				}
			} else if got == "write" {
				res.ReadsDenied++
			}
			if r.Hard != "" {
				res.HardJudged++
				by := res.HardBy[r.Hard]
				by[1]++
				if got == r.Class {
					hardRight++
					by[0]++
				}
				res.HardBy[r.Hard] = by
			}
			if r.Class != "write" && x.Estimate.Known {
				errs = append(errs, math.Abs(math.Log2(x.Estimate.Work/r.Work)))
			}
			if r.Class != "write" && r.HintWork > 0 {
				hints = append(hints, math.Abs(math.Log2(r.HintWork/r.Work)))
				hinted++
				hintedClass := "lookup"
				if r.HintWork > workload.ReportWork {
					hintedClass = "report"
				}
				if r.Class == "load" || hintedClass == r.Class {
					hintRight++
				}
			}
			if r.Class != "write" && m != nil {
				means = append(means, math.Abs(math.Log2(m[0]/m[1]/r.Work)))
			}
		}
		if m := mean[r.Class]; m != nil {
			m[0], m[1] = m[0]+r.Work, m[1]+1
		} else {
			mean[r.Class] = &[2]float64{r.Work, 1}
		}
		shapeCache.Learn(x, decide.Outcome{Work: r.Work, MemoryMB: r.MemoryMB})
	}
	res.ByCount = right / float64(res.Judged)
	res.ByWorth = rightValue / value
	res.Hard = hardRight / float64(max(res.HardJudged, 1))
	res.HintClass = hintRight / max(hinted, 1)
	res.Median, res.P90 = quantiles(errs)
	res.HintMedian, res.HintP90 = quantiles(hints)
	res.MeanMedian, res.MeanP90 = quantiles(means)
	res.Shapes, res.Bytes = shapeCache.Len(), shapeCache.Bytes()
	res.HitRate = float64(shapeCache.Stats.Hits) / float64(shapeCache.Stats.Hits+shapeCache.Stats.Misses)
	return res, nil
}

// quantiles returns the median and the 90th percentile, or NaN for no values. It sorts x.
func quantiles(x []float64) (median, p90 float64) {
	if len(x) == 0 {
		return math.NaN(), math.NaN()
	}
	slices.Sort(x)
	return stat.Quantile(0.5, stat.Empirical, x, nil), stat.Quantile(0.9, stat.Empirical, x, nil)
}

// Generated generates the records of a workload in memory, without arrival times.
func Generated(opts workload.Options, number int) []traffic.Record {
	generator := workload.New(opts, number)
	all := make([]traffic.Record, number)
	for i := range all {
		all[i] = traffic.RecordOf(generator.Next())
	}
	return all
}
