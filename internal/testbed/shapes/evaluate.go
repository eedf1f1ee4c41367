// Package shapes judges the classifier of statements on recorded traffic, whose truth is
// known, and floods its cache.
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

// Variant is a way to run the classifier.
type Variant struct {
	Name   string
	Config decide.Config
}

// Classes are those that statements are judged by.
func Classes() []decide.Class {
	return []decide.Class{{Name: "lookup", MaxWorkMS: workload.ReportWork}, {Name: "report"}}
}

// Variants are the whole classifier, and each part switched off in turn.
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

// Result is what one variant made of the judged part of one file.
type Result struct {
	Judged      int
	ByCount     float64 // share whose class is right
	ByWorth     float64
	Hard        float64 // by count, of the hard cases alone
	HardJudged  int
	HardBy      map[string][2]int // right and all, by case
	WritesSafe  int               // writes taken as reading
	WritesSeen  int
	ReadsDenied int     // reading statements taken as writes
	Median, P90 float64 // of |log2(estimate/truth)|
	HintMedian  float64 // of the hints, where there are any
	HintP90     float64
	MeanMedian  float64 // of the mean of the true class
	MeanP90     float64
	HintClass   float64 // share whose class the hint alone tells
	Shapes      int
	Bytes       int
	HitRate     float64 // over all of the file
}

// Options say how to judge.
type Options struct {
	Train float64 // share of the records that is not judged; learning goes on after it
	Bytes int     // of the cache
}

// Records is one file, read whole.
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

// Evaluate plays records through a variant, in order and as a gateway would: estimate,
// then learn what the execution has cost.
func Evaluate(records []traffic.Record, v Variant, opts Options) (Result, error) {
	book, err := queryshape.New(queryshape.Options{Model: v.Config, Bytes: opts.Bytes})
	if err != nil {
		return Result{}, err
	}
	res := Result{HardBy: map[string][2]int{}}
	var errs, hints, means []float64
	var right, worth, rightWorth, hardRight, hintRight, hinted float64
	mean := map[string]*[2]float64{}
	from := int(opts.Train * float64(len(records)))
	for i := range records {
		r := &records[i]
		judged := i >= from
		effect := sqltext.EffectOf(r.Statement, nil).Effect
		s := book.Read(r.Statement)
		binds := sqltext.Binds{Values: r.Values, Formats: r.Formats, Types: r.Types}
		x := book.Estimate(s, &binds, -1, queryshape.Hint{Work: r.HintWork, MemoryMB: r.HintMB})
		got := "write"
		switch {
		case r.Class == "load" && r.Key > 0: // the rule for INSERT INTO names the class and the key
			got = "load"
		case effect != sqltext.Reads:
		case x.Estimate.Class >= 0:
			got = v.Config.Classes[x.Estimate.Class].Name
		default: // nothing is known yet: the default class
			got = "lookup"
		}
		if m := mean[r.Class]; judged {
			res.Judged++
			worth += r.Value
			if got == r.Class {
				right++
				rightWorth += r.Value
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
				said := "lookup"
				if r.HintWork > workload.ReportWork {
					said = "report"
				}
				if r.Class == "load" || said == r.Class {
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
		book.Learn(x, decide.Outcome{Work: r.Work, MemoryMB: r.MemoryMB})
	}
	res.ByCount = right / float64(res.Judged)
	res.ByWorth = rightWorth / worth
	res.Hard = hardRight / float64(max(res.HardJudged, 1))
	res.HintClass = hintRight / max(hinted, 1)
	res.Median, res.P90 = quantiles(errs)
	res.HintMedian, res.HintP90 = quantiles(hints)
	res.MeanMedian, res.MeanP90 = quantiles(means)
	res.Shapes, res.Bytes = book.Len(), book.Bytes()
	res.HitRate = float64(book.Stats.Hits) / float64(book.Stats.Hits+book.Stats.Misses)
	return res, nil
}

func quantiles(x []float64) (median, p90 float64) {
	if len(x) == 0 {
		return math.NaN(), math.NaN()
	}
	slices.Sort(x)
	return stat.Quantile(0.5, stat.Empirical, x, nil), stat.Quantile(0.9, stat.Empirical, x, nil)
}

// Generated makes the records of a world in memory.
func Generated(opts workload.Options, number int) []traffic.Record {
	w := workload.New(opts, number)
	all := make([]traffic.Record, number)
	for i := range all {
		all[i] = traffic.RecordOf(w.Next())
	}
	return all
}
