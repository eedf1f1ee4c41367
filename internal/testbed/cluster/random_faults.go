package cluster

import (
	"math/rand/v2"
	"time"

	"gannetspur/internal/testbed/faultproxy"
)

// Drawn returns a random schedule of count faults, the same for the same seed. Faults of different kinds may overlap. All
// end before the last quarter of the span, which is free of faults.
func Drawn(seed uint64, processes, engines, count int, span time.Duration) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 0x74696572))
	who := func(maxCount int) []int {
		all := rng.Perm(processes)
		return all[:1+rng.IntN(max(maxCount, 1))]
	}
	quiet := span * 3 / 4
	for range count {
		f := Fault{At: time.Duration(rng.Int64N(int64(quiet / 2))), Who: who(processes / 3)}
		f.For = time.Second + time.Duration(rng.Int64N(int64(quiet-f.At-time.Second)))
		switch rng.IntN(14) {
		case 0:
			f.Do, f.Back = Cut, rng.IntN(2) == 0
		case 1:
			f.Do = Cut
			f.To = who(processes / 2)
		case 2:
			f.Do, f.Back, f.Share = Lossy, true, 0.3
		case 3:
			f.Do, f.Back, f.Slow = Slow, true, time.Duration(rng.IntN(1000))*time.Millisecond
		case 4:
			f.Do, f.Share = []Do{Twice, Spoil}[rng.IntN(2)], 0.3
		case 5:
			f.Do, f.Who = Pause, f.Who[:1]
			f.For = min(f.For, 10*time.Second)
		case 6:
			f.Do, f.For, f.Who = Restart, 0, f.Who[:1]
		case 7: // a restart in place of a crash, so that a crash and a pause never coincide at one front end
			f.Do, f.For, f.Who = Restart, 0, f.Who[:1]
			f.At += quiet / 4
		case 8, 9:
			f.Do, f.For, f.Who = []Do{Replace, Replace, ReplaceOld, ReplaceNew}[rng.IntN(4)], 0, f.Who[:1]
		case 10:
			f.Do, f.Share, f.Who = Starve, 0.3+0.6*rng.Float64(), f.Who[:1]
		case 11:
			f.Do, f.Who = []Do{DiskFull, NoFiles}[rng.IntN(2)], f.Who[:1]
		case 12:
			f.Do, f.Side, f.To, f.Kind = Link, Engines, []int{rng.IntN(engines)}, []faultproxy.Kind{faultproxy.Silence, faultproxy.HeldRequests, faultproxy.DroppedReplies, faultproxy.Cut, faultproxy.Reset}[rng.IntN(5)]
			f.For = min(f.For, 5*time.Second)
		case 13:
			f.Do, f.Side, f.Kind = Link, Bus, []faultproxy.Kind{faultproxy.Silence, faultproxy.Cut, faultproxy.Garbage}[rng.IntN(3)]
		}
		faults = append(faults, f)
	}
	return faults
}
