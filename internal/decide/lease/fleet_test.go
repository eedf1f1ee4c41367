package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fleet simulates the members of an installation: their clocks drift, the network loses, delays and duplicates
// messages, members are paused, crash and restart, and their views of who is live are random. At no time may the sum of
// the quotas of an engine exceed its capacity.
type fleet struct {
	config      Config
	now         time.Duration // real time, which no member's clock shows exactly
	members     []*fleetMember
	inTransit   []datagram
	lossRate    float64 // fraction of messages lost, 0 to 1
	maxDelay    time.Duration
	random      *rand.Rand
	startupWait bool // a new process waits for a term; false: a seeded defect, it does not wait
}

type fleetMember struct {
	node        *Node
	clockRate   float64 // speed of the member's clock relative to real time
	isAlive     bool
	pausedUntil time.Duration // in real time
	demands     map[EngineID]int
}

// datagram is a message in transit. from and to are indexes of members.
type datagram struct {
	arrivesAt time.Duration
	from, to  int
	payload   []byte
}

// engineCount is the number of engines, whose IDs start at 0.
const engineCount = 2

func newFleet(size int, seed uint64, drift float64) *fleet {
	var ids []MemberID
	for i := range size {
		ids = append(ids, MemberID(i+1))
	}
	f := &fleet{config: DefaultConfig(ids), now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), startupWait: true, maxDelay: 20 * time.Millisecond}
	for range size {
		f.members = append(f.members, &fleetMember{clockRate: 1 + drift*(2*f.random.Float64()-1), demands: map[EngineID]int{}})
	}
	for i := range size {
		f.start(i)
	}
	return f
}

// clock returns the time by a member's own clock.
func (f *fleet) clock(i int) time.Duration {
	return time.Duration(float64(f.now)*f.members[i].clockRate) + time.Duration(i)*time.Minute
}

// start starts a member, or restarts it as a new process, with the demands that it had.
func (f *fleet) start(i int) {
	m := f.members[i]
	m.node = New(f.config, MemberID(i+1), f.clock(i), f.random)
	m.isAlive = true
	m.pausedUntil = 0
	if !f.startupWait {
		m.node.startedAt -= f.config.Term
	}
	for engine, quota := range m.demands {
		f.handle(i, Demand{engine, quota})
	}
}

// handle has a member handle an event and sends its messages, some of them twice.
func (f *fleet) handle(i int, e Event) {
	for _, s := range f.members[i].node.Handle(f.clock(i), e) {
		for range 1 + f.random.IntN(20)/19 {
			if f.random.Float64() < f.lossRate {
				continue
			}
			arrivesAt := f.now + time.Duration(f.random.Int64N(int64(f.maxDelay))) + time.Millisecond
			f.inTransit = append(f.inTransit, datagram{arrivesAt, i, int(s.To) - 1, s.Payload})
		}
	}
}

// demand sets the demand of a member for an engine.
func (f *fleet) demand(i int, engine EngineID, quota int) {
	f.members[i].demands[engine] = quota
	f.handle(i, Demand{engine, quota})
}

func (f *fleet) isRunning(i int) bool {
	return f.members[i].isAlive && f.now >= f.members[i].pausedUntil
}

// run simulates a span of time and returns the highest sum of the quotas of an engine at any step.
func (f *fleet) run(span time.Duration) (highest int) {
	for end := f.now + span; f.now < end; f.now += 50 * time.Millisecond {
		f.deliver()
		for i := range f.members {
			if f.isRunning(i) {
				f.handle(i, Tick{})
			}
		}
		for engine := range EngineID(engineCount) {
			highest = max(highest, f.totalQuota(engine))
		}
	}
	return highest
}

// deliver delivers the datagrams that are due. Those to paused members stay in transit, and those to crashed members
// are lost.
func (f *fleet) deliver() {
	due := f.inTransit
	f.inTransit = nil
	for _, d := range due {
		isAlive := f.members[d.to].isAlive
		switch {
		case d.arrivesAt > f.now || isAlive && !f.isRunning(d.to):
			f.inTransit = append(f.inTransit, d)
		case isAlive:
			f.handle(d.to, MessageReceived{MemberID(d.from + 1), d.payload})
		}
	}
}

// totalQuota returns the sum of the quotas of an engine that all members may use now. Those of paused members count, as
// they may continue at any moment, and so do the base quotas of crashed members, as they may restart.
func (f *fleet) totalQuota(engine EngineID) (sum int) {
	for i, m := range f.members {
		if m.isAlive {
			sum += m.node.Quota(engine, f.clock(i))
		} else {
			sum += m.node.BaseQuota()
		}
	}
	return sum
}

// injectFault applies a random fault or another random event and returns its description, which is part of the stored
// digests.
func (f *fleet) injectFault() string {
	i := f.random.IntN(len(f.members))
	m := f.members[i]
	switch f.random.IntN(8) {
	case 0:
		m.isAlive = false
		return fmt.Sprint("crash ", i)
	case 1:
		f.start(i)
		return fmt.Sprint("start ", i)
	case 2:
		m.pausedUntil = f.now + time.Duration(f.random.IntN(12000))*time.Millisecond
		return fmt.Sprint("pause ", i)
	case 3, 4:
		if f.isRunning(i) {
			f.demand(i, EngineID(f.random.IntN(engineCount)), f.random.IntN(FullCapacity+1))
		}
		return fmt.Sprint("need of ", i)
	case 5:
		f.lossRate = []float64{0, 0.3, 0.9}[f.random.IntN(3)]
		return fmt.Sprint("loss ", f.lossRate)
	case 6:
		f.maxDelay = []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second}[f.random.IntN(3)]
		return fmt.Sprint("slow ", f.maxDelay)
	}
	var live []MemberID
	for _, id := range f.config.Members {
		if f.random.IntN(2) == 0 {
			live = append(live, id)
		}
	}
	if f.isRunning(i) {
		f.handle(i, LiveMembers{live})
	}
	return fmt.Sprint(i, " sees ", live)
}

// findOvercommit simulates a number of faults and describes the first one after which the quotas exceeded an engine's
// capacity; "" if they never did.
func (f *fleet) findOvercommit(faults int) string {
	for i := range f.members {
		f.demand(i, 0, FullCapacity)
		f.demand(i, 1, 300)
	}
	var trace []string
	for range faults {
		trace = append(trace, f.injectFault())
		if highest := f.run(time.Duration(1+f.random.IntN(2000)) * time.Millisecond); highest > FullCapacity {
			return fmt.Sprintf("quotas add up to %d, want at most %d, after %v", highest, FullCapacity, trace[max(0, len(trace)-12):])
		}
	}
	return ""
}
