package traffic

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"gannetspur/internal/testbed/workload"

	"gonum.org/v1/gonum/stat/distuv"
)

// Arrivals says how statements come: with even chances, in bursts, or by the seasons.
type Arrivals string

// The ways.
const (
	Poisson Arrivals = "poisson"
	Bursts  Arrivals = "bursts" // on and off, with heavy-tailed spells
	Season  Arrivals = "season" // a day's curve, rising to a festival at the end
)

// arrivals tells the moments at which statements come.
type arrivals struct {
	how  Arrivals
	rng  *rand.Rand
	rate float64
	at   float64 // seconds
	gap  distuv.Exponential
	off  distuv.Pareto
	left float64 // of a burst, in seconds
	span float64 // of the whole, for the season
}

func newArrivals(how Arrivals, rate float64, number int, seed uint64) (*arrivals, error) {
	switch how {
	case Poisson, Bursts, Season:
	default:
		return nil, fmt.Errorf("arrivals: %q is none of poisson, bursts, season", how)
	}
	if !(rate > 0) {
		return nil, fmt.Errorf("arrivals: a rate of %g a second", rate)
	}
	rng := rand.New(rand.NewPCG(seed, 0x6172726976616c73))
	return &arrivals{
		how: how, rng: rng, rate: rate, span: float64(number) / rate,
		gap: distuv.Exponential{Rate: 1, Src: rng},
		off: distuv.Pareto{Xm: 0.2, Alpha: 1.5, Src: rng}, // mean 0.6 s
	}, nil
}

// next is the next moment, in microseconds.
func (a *arrivals) next() int64 {
	switch a.how {
	case Poisson:
		a.at += a.gap.Rand() / a.rate
	case Bursts: // four times the rate for 0.2 s on average, then a pause
		g := a.gap.Rand() / (4 * a.rate)
		if a.left -= g; a.left < 0 {
			a.at += math.Min(a.off.Rand(), 30)
			a.left = a.gap.Rand() * 0.2
		}
		a.at += g
	case Season: // thinning (Lewis, Shedler, 1979)
		for {
			a.at += a.gap.Rand() / (3 * a.rate)
			if a.rng.Float64()*3 <= a.season() {
				break
			}
		}
	}
	return int64(a.at * 1e6)
}

// season is the rate at this moment over the usual one: a day of work squeezed into a
// tenth of the whole, and a festival towards the end.
func (a *arrivals) season() float64 {
	x := a.at / a.span
	day := 0.6 + 0.4*math.Sin(2*math.Pi*(10*x-0.25))
	festival := 1.6 * math.Exp(-math.Pow((x-0.85)/0.08, 2))
	return math.Min(day+festival, 3)
}

// Generate writes so many statements of a world.
func Generate(w io.Writer, opts workload.Options, number int, rate float64, how Arrivals, progress func(int)) error {
	a, err := newArrivals(how, rate, number, opts.Seed)
	if err != nil {
		return err
	}
	t, err := NewWriter(w, Head{Seed: opts.Seed, Model: fmt.Sprintf("%+v", opts), Rate: rate, Arrivals: string(how), Number: number})
	if err != nil {
		return err
	}
	world := workload.New(opts, number)
	for i := range number {
		r := RecordOf(world.Next())
		r.At = a.next()
		if err := t.Write(&r); err != nil {
			return err
		}
		if progress != nil && i%1000 == 999 {
			progress(1000)
		}
	}
	return t.Close()
}

// RecordOf turns a statement of the model into a record.
func RecordOf(q workload.Statement) Record {
	return Record{
		Statement: q.SQL, Values: q.Values, Formats: q.Formats, Types: q.Types, HintWork: q.HintWork, HintMB: q.HintMB, Key: q.Key,
		Class: q.Class, Hard: q.Hard, Template: q.Template, Work: q.Work, MemoryMB: q.MemoryMB, Value: q.Value,
	}
}
