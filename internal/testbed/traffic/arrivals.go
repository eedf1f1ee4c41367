package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Arrivals is a kind of arrival process.
type Arrivals string

// Kinds of arrival process.
const (
	Poisson Arrivals = "poisson" // at a constant rate
	Bursts  Arrivals = "bursts"  // bursts with heavy-tailed pauses between them
	Season  Arrivals = "season"  // a daily curve with a peak, a festival, towards the end
)

const (
	burstFactor = 4   // rate within a burst over the average rate
	meanBurst   = 0.2 // mean length of a burst, seconds
	maxPause    = 30  // longest pause between bursts, seconds
	maxSeason   = 3   // highest rate of a season over the average rate
)

// arrivals generates the times at which statements arrive.
type arrivals struct {
	kind  Arrivals
	rng   *rand.Rand
	rate  float64            // statements a second on average
	at    float64            // time of the latest arrival, seconds
	gap   distuv.Exponential // with mean 1
	pause distuv.Pareto      // between bursts, seconds
	burst float64            // remaining length of the current burst, seconds
	span  float64            // expected duration of all arrivals, seconds
}

// newArrivals returns an arrival process with an average of rate arrivals per second, for number
// arrivals.
func newArrivals(kind Arrivals, rate float64, number int, seed uint64) (*arrivals, error) {
	switch kind {
	case Poisson, Bursts, Season:
	default:
		return nil, fmt.Errorf("arrivals: unknown kind %q, want poisson, bursts or season", kind)
	}
	if !(rate > 0) {
		return nil, fmt.Errorf("arrivals: rate is %g statements per second, want more than 0", rate)
	}
	rng := rand.New(rand.NewPCG(seed, 0x6172726976616c73))
	return &arrivals{
		kind: kind, rng: rng, rate: rate, span: float64(number) / rate,
		gap:   distuv.Exponential{Rate: 1, Src: rng},
		pause: distuv.Pareto{Xm: 0.2, Alpha: 1.5, Src: rng}, // mean 0.6 s
	}, nil
}

// next returns the time of the next arrival, in microseconds from the start.
func (a *arrivals) next() int64 {
	switch a.kind {
	case Poisson:
		a.at += a.gap.Rand() / a.rate
	case Bursts:
		gap := a.gap.Rand() / (burstFactor * a.rate)
		a.burst -= gap
		if a.burst < 0 {
			a.at += math.Min(a.pause.Rand(), maxPause)
			a.burst = a.gap.Rand() * meanBurst
		}
		a.at += gap
	case Season: // by thinning (Lewis, Shedler, 1979)
		for {
			a.at += a.gap.Rand() / (maxSeason * a.rate)
			if a.rng.Float64()*maxSeason <= a.season() {
				break
			}
		}
	}
	return int64(a.at * 1e6)
}

// season returns the current rate over the average rate: ten working days over the whole duration, and a
// festival peak towards its end.
func (a *arrivals) season() float64 {
	x := a.at / a.span
	day := 0.6 + 0.4*math.Sin(2*math.Pi*(10*x-0.25))
	distance := (x - 0.85) / 0.08 // from the festival
	festival := 1.6 * math.Exp(-distance*distance)
	return math.Min(day+festival, maxSeason)
}
