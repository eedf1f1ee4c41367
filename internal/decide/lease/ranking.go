package lease

import (
	"cmp"
	"slices"
)

// rankFor returns a comparison function that ranks members for an engine by rendezvous hashing (Thaler and Ravishankar
// 1998). Each engine has a different ranking, and all members compute the same one.
func rankFor(engine EngineID) func(a, b MemberID) int {
	weight := func(id MemberID) uint32 { return mixHash(mixHash(0, uint64(engine)), uint64(id)) }
	return func(a, b MemberID) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) }
}

// voters returns the voters of an engine: the highest ranked of all configured members, alive or not, so that all
// members agree on them.
func (n *Node) voters(engine EngineID) []MemberID {
	count := min(n.config.VoterCount, len(n.config.Members))
	return slices.SortedFunc(slices.Values(n.config.Members), rankFor(engine))[:count]
}

// preferredLeader returns the live member that should lead an engine, the highest ranked one; ok is false if no member
// is live. It becomes the leader if all members have the same view of who is live. If their views differ, several
// members may campaign, and the voters decide.
func (n *Node) preferredLeader(engine EngineID) (id MemberID, ok bool) {
	if len(n.liveMembers) == 0 {
		return 0, false
	}
	return slices.MinFunc(n.liveMembers, rankFor(engine)), true
}

// mixHash combines a hash with one more word, by the finalizer of SplitMix64, which is in the public domain.
func mixHash(hash uint32, word uint64) uint32 {
	z := word + uint64(hash)*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return uint32(z ^ z>>31)
}
