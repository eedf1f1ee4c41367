package load

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// nextRequest returns the time between the previous request and the next one, the kind of the next
// one and its statement, nil for the client's own.
type nextRequest func() (gap time.Duration, kind Kind, statement *Statement)

// poissonRequests generates Poisson arrivals and draws the kind of each request at random, with the
// configured fractions.
func (s *Source) poissonRequests() nextRequest {
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

// recordedRequests repeats the recorded arrivals without end, with the gaps between them scaled to
// the configured rate.
func (s *Source) recordedRequests() nextRequest {
	all := s.opts.Recorded
	seconds := float64(all[len(all)-1].At-all[0].At) / 1e6
	gapScale := float64(len(all)) / seconds / s.opts.Rate
	n := 0
	return func() (gap time.Duration, kind Kind, statement *Statement) {
		r := &all[n%len(all)]
		if n%len(all) > 0 {
			gap = time.Duration(float64(r.At-all[n%len(all)-1].At) * gapScale * float64(time.Microsecond))
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
