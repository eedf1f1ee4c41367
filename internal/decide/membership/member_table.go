package membership

import (
	"cmp"
	"slices"
)

// maxMembers limits the known members, including those that left long ago. A faulty peer could otherwise invent members
// without limit, each of which takes about 300 bytes here and a position on the rings.
const maxMembers = 4096

// memberTable holds all members that this member knows of, including itself.
type memberTable struct {
	byID   map[ID]*peer
	sorted []*peer // by ID, so that the iteration order is deterministic
	known  int     // number of members whose record is known
	digest uint32  // XOR of the hashes of all records
}

// getOrAdd returns the member with the given ID and adds it if it is missing.
func (t *memberTable) getOrAdd(id ID) *peer {
	p := t.byID[id]
	if p == nil {
		p = &peer{id: id, record: record{Author: id}}
		t.add(p)
	}
	return p
}

func (t *memberTable) add(p *peer) {
	t.byID[p.id] = p
	i, _ := slices.BinarySearchFunc(t.sorted, p, comparePeers)
	t.sorted = slices.Insert(t.sorted, i, p)
}

// toggleDigest adds a record to the digest, or removes it.
func (t *memberTable) toggleDigest(r record) { t.digest ^= r.hash() }

func comparePeers(a, b *peer) int { return cmp.Compare(a.id, b.id) }

// mayAdd reports whether a member is in the table or may be added. Members that the settings name are always in the
// table.
func (n *Node) mayAdd(id ID) bool {
	if n.members.byID[id] != nil {
		return true
	}
	if n.config.ConfiguredMembersOnly {
		return false
	}
	if len(n.members.sorted) >= maxMembers {
		n.RejectedMembers++
		return false
	}
	return true
}
