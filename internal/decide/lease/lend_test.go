package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet plays members in true time: clocks that run apart, a network that loses, delays and repeats, members that stand still, die
// and start anew, and views that are anything. After each step the parts of an engine must not be more than the whole.
type fleet struct {
	cfg   Config
	now   time.Duration // true time
	all   []*node
	way   []letter
	loss  float64
	slow  time.Duration // letters take up to so long
	rng   *rand.Rand
	quiet bool // a process that starts keeps still for a term; false: the defect that it does not
}

type node struct {
	m      *Machine
	rate   float64 // of its clock
	alive  bool
	paused time.Duration
	needs  map[Engine]int
}

type letter struct {
	at       time.Duration
	from, to int
	b        []byte
}

const engines = 2

func newFleet(n int, seed uint64, apart float64) *fleet {
	var ids []ID
	for i := range n {
		ids = append(ids, ID(i+1))
	}
	f := &fleet{cfg: Defaults(ids), now: time.Hour, rng: rand.New(rand.NewPCG(seed, 1)), quiet: true, slow: 20 * time.Millisecond}
	for range n {
		f.all = append(f.all, &node{rate: 1 + apart*(2*f.rng.Float64()-1), needs: map[Engine]int{}})
	}
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleet) clock(i int) time.Duration {
	return time.Duration(float64(f.now)*f.all[i].rate) + time.Duration(i)*time.Minute
}

func (f *fleet) start(i int) {
	n := f.all[i]
	n.m, n.alive, n.paused = New(f.cfg, ID(i+1), f.clock(i), f.rng), true, 0
	if !f.quiet {
		n.m.began -= f.cfg.Term
	}
	for e, share := range n.needs {
		f.event(i, Need{e, share})
	}
}

func (f *fleet) event(i int, e any) {
	for _, a := range f.all[i].m.Handle(f.clock(i), e) {
		s := a.(Send)
		for range 1 + f.rng.IntN(20)/19 { // some come twice
			if f.rng.Float64() >= f.loss {
				f.way = append(f.way, letter{f.now + time.Duration(f.rng.Int64N(int64(f.slow))) + time.Millisecond, i, int(s.To) - 1, s.B})
			}
		}
	}
}

func (f *fleet) need(i int, e Engine, share int) {
	f.all[i].needs[e] = share
	f.event(i, Need{e, share})
}

// run plays a span and tells the most that was used of an engine at once, of Whole, and in the end.
func (f *fleet) run(span time.Duration) (most, last int) {
	for end := f.now + span; f.now < end; f.now += 50 * time.Millisecond {
		due := f.way
		f.way = nil
		for _, l := range due {
			switch n := f.all[l.to]; {
			case l.at > f.now || n.alive && f.now < n.paused:
				f.way = append(f.way, l)
			case n.alive:
				f.event(l.to, Heard{ID(l.from + 1), l.b})
			}
		}
		for i, n := range f.all {
			if n.alive && f.now >= n.paused {
				f.event(i, Tick{})
			}
		}
		for e := range Engine(engines) {
			last = f.used(e)
			most = max(most, last)
		}
	}
	return most, last
}

// used is what all may use now, also those that stand still: they may go on at any moment.
func (f *fleet) used(e Engine) (sum int) {
	for i, n := range f.all {
		if n.alive {
			sum += n.m.Part(e, f.clock(i))
		} else {
			sum += n.m.Alone() // it may start anew
		}
	}
	return sum
}

// trouble draws something that happens.
func (f *fleet) trouble() string {
	i := f.rng.IntN(len(f.all))
	n := f.all[i]
	switch f.rng.IntN(8) {
	case 0:
		n.alive = false
		return fmt.Sprint("crash ", i)
	case 1:
		f.start(i)
		return fmt.Sprint("start ", i)
	case 2:
		n.paused = f.now + time.Duration(f.rng.IntN(12000))*time.Millisecond
		return fmt.Sprint("pause ", i)
	case 3, 4:
		if n.alive && f.now >= n.paused {
			f.need(i, Engine(f.rng.IntN(engines)), f.rng.IntN(Whole+1))
		}
		return fmt.Sprint("need of ", i)
	case 5:
		f.loss = []float64{0, 0.3, 0.9}[f.rng.IntN(3)]
		return fmt.Sprint("loss ", f.loss)
	case 6:
		f.slow = []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second}[f.rng.IntN(3)]
		return fmt.Sprint("slow ", f.slow)
	}
	var live []ID
	for _, id := range f.cfg.Members {
		if f.rng.IntN(2) == 0 {
			live = append(live, id)
		}
	}
	if n.alive && f.now >= n.paused {
		f.event(i, Live{live})
	}
	return fmt.Sprint(i, " sees ", live)
}

// broken plays so many troubles and tells the first after which more than the whole was used.
func (f *fleet) broken(troubles int) string {
	for i := range f.all {
		f.need(i, 0, Whole)
		f.need(i, 1, 300)
	}
	var path []string
	for range troubles {
		path = append(path, f.trouble())
		if most, _ := f.run(time.Duration(1+f.rng.IntN(2000)) * time.Millisecond); most > Whole {
			return fmt.Sprintf("%d of %d after %v", most, Whole, path[max(0, len(path)-12):])
		}
	}
	return ""
}

// Whatever happens, the parts of an engine are never more than the whole.
func TestNeverMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 8).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"), Defaults(nil).Drift)
		if why := f.broken(60); why != "" {
			t.Fatal(why)
		}
	})
}

// The property finds defects that are put in on purpose.
func TestDefectsAreFound(t *testing.T) {
	find := func(name string, make func(seed uint64) *fleet) {
		for seed := range uint64(300) {
			if why := make(seed).broken(60); why != "" {
				t.Logf("%s: seed %d: %s", name, seed, why)
				return
			}
		}
		t.Errorf("%s: nothing found", name)
	}
	find("a start that does not keep still", func(seed uint64) *fleet {
		f := newFleet(3, seed, 0)
		f.quiet = false
		return f
	})
	find("clocks that run apart more than is allowed for", func(seed uint64) *fleet {
		f := newFleet(4, seed, 0.4)
		return f
	})
	find("one voter suffices", func(seed uint64) *fleet {
		f := newFleet(4, seed, 0)
		for i := range f.all {
			f.cfg.Voters = 1
			f.start(i)
			f.all[i].m.cfg.Members = f.all[i].m.cfg.Members[i/2:] // and two hold another for it
			f.all[i].m.digest = 0
		}
		return f
	})
}

// In peace most of the whole is lent soon, and again once a lender has died; what is not needed any more goes to others at once.
func TestLent(t *testing.T) {
	f := newFleet(5, 1, 0.005)
	first := int(slices.MinFunc(f.cfg.Members, rank(0))) - 1
	a, b := (first+1)%5, (first+2)%5
	f.need(a, 0, Whole)
	part := func(i int) int { return f.all[i].m.Part(0, f.clock(i)) }
	lent := Whole - f.cfg.Alone + f.all[a].m.Alone()
	if f.run(2 * f.cfg.Term); part(a) != lent {
		t.Errorf("%d are lent to the one that needs it, %d wanted", part(a), lent)
	}
	f.need(a, 0, 0)
	f.need(b, 0, 500)
	if f.run(f.cfg.Term / 2); part(b) != 500+f.all[b].m.Alone() || part(a) != f.all[a].m.Alone() {
		t.Errorf("given back: %d and %d", part(a), part(b))
	}
	f.all[first].alive = false
	live := slices.DeleteFunc(slices.Clone(f.cfg.Members), func(id ID) bool { return int(id)-1 == first })
	for i, n := range f.all {
		if n.alive {
			f.event(i, Live{live})
		}
	}
	if f.run(3 * f.cfg.Term); part(b) != 500+f.all[b].m.Alone() {
		t.Errorf("after the lender has died: %d", part(b))
	}
}

// A word is read as it was written, and no other bytes are one.
func FuzzRead(f *testing.F) {
	f.Add(word{kind: kindLend, members: 1, engine: 2, run: 3, count: 4, share: 5, span: 6 * time.Millisecond}.append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := read(b)
		if err == nil && !slices.Equal(w.append(nil), b) {
			t.Errorf("%x is written as %x", b, w.append(nil))
		}
	})
}
