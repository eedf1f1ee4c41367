package membershipsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Ways maps the names of the protocols that can be measured to their constructors.
var Ways = map[string]func(decide.ID, uint32, []decide.ID, time.Duration, *rand.Rand) Member{"rings": Ours, "heartbeats": Heartbeats, "swim": SWIM}

// Measure describes one simulation: a fleet starts, runs without faults, loses members one after the other, and at the end,
// if Most is set, loses that share of the members at once.
type Measure struct {
	Way     string // protocol, a key of Ways
	Members int
	Seed    uint64
	Loss    float64       // share of lost datagrams, 0 to 1
	Seeds   int           // number of members that each knows at its start; 0: all
	Warm    time.Duration // time allowed until all views are complete
	Rest    time.Duration // time without faults other than loss
	Pause   time.Duration // duration for which one member is paused; its reports are counted separately; 0: none
	Crashes int           // number of crashes, one after the other
	Most    float64       // share of members that crash at once at the end, 0 to 1; 0: none
}

// Found holds the measurements.
type Found struct {
	Agreed    bool            // all views are complete at the end of Warm
	Settled   time.Duration   // time from which all views were complete, to the second; 0: never
	Detected  []time.Duration // for each crash and survivor: time until it reported the member dead or lost; crashObservation if it never did
	Last      []time.Duration // for each crash: detection time of the last survivor
	Wrong     int             // reports that a running, not paused member is dead or lost
	WrongBy   int             // such reports by the member that was paused
	Changes   float64         // view changes per survivor and crash
	Bytes     float64         // bytes per second and member without faults
	Packets   float64         // datagrams per second and member without faults
	BytesAll  float64         // bytes per second and member in the busiest observation period after a crash
	Each      time.Duration   // CPU time of one decision without faults; varies between runs
	CPU       time.Duration   // CPU time per member and second without faults
	MostLast  time.Duration   // time until the views of all survivors of Most hold exactly the survivors; 0: never
	MostViews int             // maximum number of view changes at one survivor meanwhile
}

// crashObservation is how long the simulation observes a crash.
const crashObservation = 15 * time.Second

// Play runs the simulation.
func (o Measure) Play() (f Found) {
	dead := map[decide.ID]time.Duration{}                // time of the crash
	known := map[decide.ID]map[decide.ID]time.Duration{} // by crashed member and survivor: time of the first report
	changes := map[decide.ID]int{}
	paused, pausedFrom, pausedTo := decide.ID(0), time.Duration(0), time.Duration(0)
	warmUp := true // reports are not counted yet
	w := New(Options{
		Members: o.Members, Seed: o.Seed, Loss: o.Loss, KnownAtStart: o.knownAtStart(), Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, NewMember: Ways[o.Way],
		OnAction: func(now time.Duration, at decide.ID, a decide.Action) {
			switch a := a.(type) {
			case decide.ViewChanged:
				changes[at]++
			case decide.MemberReport:
				if warmUp || a.State != decide.Dead && a.State != decide.Unreachable {
					return
				}
				_, crashed := dead[a.Member]
				switch {
				case crashed && known[a.Member][at] == 0:
					known[a.Member][at] = now
				case crashed, a.Member == paused && now >= pausedFrom && now <= pausedTo+5*time.Second:
				case at == paused && now >= pausedTo:
					f.WrongBy++
					f.Wrong++
				default:
					f.Wrong++
				}
			}
		},
	})
	for w.Now() < o.Warm {
		w.Run(min(w.Now()+time.Second, o.Warm))
		was := f.Agreed
		if f.Agreed = w.agreed(); f.Agreed && !was {
			f.Settled = w.Now()
		}
	}
	warmUp = false
	bytes, packets, cpu, decisions := total(w.Bytes), total(w.Datagrams), w.CPU, w.Decisions
	w.Run(o.Warm + o.Rest)
	span := o.Rest.Seconds() * float64(o.Members)
	f.Bytes, f.Packets = float64(total(w.Bytes)-bytes)/span, float64(total(w.Datagrams)-packets)/span
	f.Each, f.CPU = (w.CPU-cpu)/time.Duration(max(w.Decisions-decisions, 1)), time.Duration(float64(w.CPU-cpu)/span)
	recordBytes := func(from int, began time.Duration) {
		n := float64(len(w.Running()))
		f.BytesAll = max(f.BytesAll, float64(total(w.Bytes)-from)/(w.Now()-began).Seconds()/n)
	}
	if o.Pause > 0 {
		paused, pausedFrom, pausedTo = decide.ID(o.Members), w.Now(), w.Now()+o.Pause
		w.apply(Event{Do: Pause, Who: []decide.ID{paused}, For: o.Pause})
		w.Run(pausedTo + 20*time.Second)
	}
	clear(changes)
	for c := range o.Crashes {
		id, at, b := decide.ID(c+1), w.Now(), total(w.Bytes)
		dead[id], known[id] = at, map[decide.ID]time.Duration{}
		w.apply(Event{Do: Crash, Who: []decide.ID{id}})
		w.Run(at + crashObservation)
		recordBytes(b, at)
		var last time.Duration
		for _, s := range w.Running() {
			took := known[id][s] - at
			if known[id][s] == 0 {
				took = crashObservation
			}
			f.Detected = append(f.Detected, took)
			last = max(last, took)
		}
		f.Last = append(f.Last, last)
	}
	if o.Crashes > 0 {
		n := 0
		for _, id := range w.Running() {
			n += changes[id]
		}
		f.Changes = float64(n) / float64(len(w.Running())*o.Crashes)
	}
	if o.Most > 0 {
		o.crashMost(w, &f, dead, known, changes, recordBytes)
	}
	slices.Sort(f.Detected)
	return f
}

// knownAtStart returns a function that gives the members known to each member at its start; nil: all.
func (o Measure) knownAtStart() func(decide.ID) []decide.ID {
	if o.Seeds == 0 {
		return nil
	}
	var ids []decide.ID
	for id := range o.Seeds {
		ids = append(ids, decide.ID(id+1))
	}
	return func(decide.ID) []decide.ID { return ids }
}

// agreed reports whether all members are running and have all members in their views.
func (w *World) agreed() bool {
	for _, id := range w.All() {
		m := w.Member(id)
		if m == nil {
			return false
		}
		if node, ok := m.(*decide.Node); ok {
			if v, _ := node.View(); v.Size != w.opts.Members {
				return false
			}
		}
		for _, other := range w.All() {
			if s, _, _ := m.State(other); !s.InView() {
				return false
			}
		}
	}
	return true
}

// crashMost crashes the share Most of the members at once and observes the survivors.
func (o Measure) crashMost(w *World, f *Found, dead map[decide.ID]time.Duration, known map[decide.ID]map[decide.ID]time.Duration, changes map[decide.ID]int, recordBytes func(int, time.Duration)) {
	clear(changes)
	all := w.Running()
	rng := rand.New(rand.NewPCG(o.Seed, 99))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	crashed := all[:int(math.Round(o.Most*float64(len(all))))]
	at, b := w.Now(), total(w.Bytes)
	for _, id := range crashed {
		dead[id], known[id] = at, map[decide.ID]time.Duration{}
	}
	w.apply(Event{Do: Crash, Who: crashed})
	const checkInterval = 100 * time.Millisecond
	for w.Now() < at+60*time.Second && f.MostLast == 0 {
		w.Run(w.Now() + checkInterval)
		done := true
		for _, id := range w.Running() {
			m, ok := w.Member(id).(*decide.Node)
			if ok {
				v, _ := m.View()
				done = done && v.Size == len(w.Running())
			}
			for _, d := range crashed {
				if s, _, _ := w.Member(id).State(d); s.InView() {
					done = false
				}
			}
		}
		if done {
			f.MostLast = w.Now() - at
		}
	}
	recordBytes(b, at)
	for _, id := range w.Running() {
		f.MostViews = max(f.MostViews, changes[id])
	}
}

// total returns the sum of the values.
func total(m map[decide.ID]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}
