package membership

import (
	"cmp"
	"slices"
)

// maxMembers bounds the known members, including those long gone. Guards against a peer that invents members without
// end: each takes some 300 bytes here, and a position on the rings.
const maxMembers = 4096

// memberTable holds all members that this one knows of, itself included.
type memberTable struct {
	byID   map[ID]*peer
	sorted []*peer // by ID, so that iteration has the same order in each run
	known  int     // members of which there is a record
	digest uint32  // of all records
}

// getOrAdd returns a member, which is added where it was not known.
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

// toggleDigest takes a record into the digest, or out of it.
func (t *memberTable) toggleDigest(r record) { t.digest ^= r.hash() }

func comparePeers(a, b *peer) int { return cmp.Compare(a.id, b.id) }

// mayAdd tells whether a member is known or may be added. Members that the settings name are always known.
func (n *Node) mayAdd(id ID) bool {
	if n.members.byID[id] != nil {
		return true
	}
	if n.config.Closed {
		return false
	}
	if len(n.members.sorted) >= maxMembers {
		n.RejectedMembers++
		return false
	}
	return true
}
