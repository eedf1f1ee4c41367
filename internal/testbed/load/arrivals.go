package load

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// nextRequest returns the gap before the next request, its kind and its statement.
type nextRequest func() (gap time.Duration, kind Kind, statement *Statement)

// drawn returns Poisson arrivals, whose kinds are drawn.
func (s *Source) drawn() nextRequest {
	gap := distuv.Exponential{Rate: s.opts.Rate, Src: rand.NewPCG(s.opts.Seed, 1)}
	kinds := rand.New(rand.NewPCG(s.opts.Seed, 2))
	return func() (time.Duration, Kind, *Statement) {
		kind := Lookup
		switch x := kinds.Float64(); {
		case x < s.opts.Loads:
			kind = Load
		case x < s.opts.Loads+s.opts.Writes:
			kind = Write
		case x < s.opts.Loads+s.opts.Writes+s.opts.Reports:
			kind = Report
		}
		return time.Duration(gap.Rand() * float64(time.Second)), kind, nil
	}
}

// recorded returns the recorded arrivals, scaled to the rate.
func (s *Source) recorded() nextRequest {
	all := s.opts.Recorded
	span := float64(all[len(all)-1].At-all[0].At) / 1e6
	slower := float64(len(all)) / span / s.opts.Rate
	n := 0
	return func() (gap time.Duration, kind Kind, statement *Statement) {
		r := &all[n%len(all)]
		if n%len(all) > 0 {
			gap = time.Duration(float64(r.At-all[n%len(all)-1].At) * slower * float64(time.Microsecond))
		}
		n++
		switch r.Class {
		case "load":
			return gap, Load, nil
		case "write":
			return gap, Write, nil
		case "report":
			kind = Report
		default:
			kind = Lookup
		}
		return gap, kind, &Statement{r.Statement, r.Values, r.Formats, r.Types}
	}
}
