package lease

import (
	"cmp"
	"slices"
)

// rankFor orders members for an engine by rendezvous hashing (Thaler and Ravishankar 1998).
func rankFor(engine EngineID) func(a, b ID) int {
	weight := func(id ID) uint32 { return mixHash(mixHash(0, uint64(engine)), uint64(id)) }
	return func(a, b ID) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) }
}

// voters returns the voters of an engine: the first of all configured members, alive or not, so that they are the same
// at all members.
func (n *Node) voters(engine EngineID) []ID {
	count := min(n.config.VoterCount, len(n.config.Members))
	return slices.SortedFunc(slices.Values(n.config.Members), rankFor(engine))[:count]
}

// preferredLeader returns the first of the live members. It leads where all members have the same view; where they
// have not the voters decide.
func (n *Node) preferredLeader(engine EngineID) (id ID, ok bool) {
	if len(n.liveMembers) == 0 {
		return 0, false
	}
	return slices.MinFunc(n.liveMembers, rankFor(engine)), true
}

// mixHash combines a word with a hash (the finalizer of SplitMix64, which is in the public domain).
func mixHash(hash uint32, word uint64) uint32 {
	z := word + uint64(hash)*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return uint32(z ^ z>>31)
}
