package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks that the sum of the quotas of an engine never exceeds its capacity, under random faults.
func TestQuotasNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 8).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"), DefaultConfig(nil).MaxClockDrift)
		if problem := f.findOvercommit(60); problem != "" {
			t.Fatal(problem)
		}
	})
}

// Checks that the simulation of TestQuotasNeverExceedCapacity detects seeded defects.
func TestSimulationFindsSeededDefects(t *testing.T) {
	for _, c := range []struct {
		name     string
		newFleet func(seed uint64) *fleet
	}{
		{"no wait after the start", func(seed uint64) *fleet {
			f := newFleet(3, seed, 0)
			f.startupWait = false
			return f
		}},
		{"clock drift above MaxClockDrift", func(seed uint64) *fleet { return newFleet(4, seed, 0.4) }},
		{"one voter, and members that disagree on it", func(seed uint64) *fleet {
			f := newFleet(4, seed, 0)
			for i := range f.members {
				f.config.VoterCount = 1
				f.start(i)
				node := f.members[i].node
				node.config.Members = node.config.Members[i/2:]
				node.membersDigest = 0
			}
			return f
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(300) {
				if problem := c.newFleet(seed).findOvercommit(60); problem != "" {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("no overcommitment found with 300 seeds, want one")
		})
	}
}

// Checks that without faults the leasable capacity is leased within two terms, that released capacity is leased to
// others within half a term, and that leases continue after the leader has crashed.
func TestCapacityIsLeased(t *testing.T) {
	f := newFleet(5, 1, 0.005)
	leader := int(slices.MinFunc(f.config.Members, rankFor(0))) - 1
	first, second := (leader+1)%5, (leader+2)%5
	base := f.members[first].node.BaseQuota()
	checkQuota := func(situation string, i, want int) {
		t.Helper()
		if got := f.members[i].node.Quota(0, f.clock(i)); got != want {
			t.Errorf("%s: quota of member %d = %d, want %d", situation, i, got, want)
		}
	}
	f.demand(first, 0, FullCapacity)
	f.run(2 * f.config.Term)
	checkQuota("one member with demand", first, FullCapacity-f.config.UnleasedCapacity+base)

	f.demand(first, 0, 0)
	f.demand(second, 0, 500)
	f.run(f.config.Term / 2)
	checkQuota("after the release", second, 500+base)
	checkQuota("after the release", first, base)

	f.members[leader].isAlive = false
	live := slices.DeleteFunc(slices.Clone(f.config.Members), func(id MemberID) bool { return int(id)-1 == leader })
	for i, m := range f.members {
		if m.isAlive {
			f.handle(i, LiveMembers{live})
		}
	}
	f.run(3 * f.config.Term)
	checkQuota("after the leader's crash", second, 500+base)
}

// Checks that bytes which decode as a message are exactly the encoding of that message.
func FuzzDecode(f *testing.F) {
	f.Add(message{kind: kindLease, membersDigest: 1, engine: 2, process: 3, requestID: 4, quota: 5, span: 6 * time.Millisecond}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err == nil && !slices.Equal(m.encode(), b) {
			t.Errorf("message decoded from %x is encoded as %x, want the same bytes", b, m.encode())
		}
	})
}
