package membership

import "cmp"

// observation is what a member states of another one. The values are part of the wire form.
type observation uint8

const (
	noObservation    observation = iota
	notHeard                     // the author does not hear it
	notHeardButAlive             // the author does not hear it, but knows from others that it is alive
	heardDirectly                // the author hears it, although others don't
)

// statement is what a record states of another member, in one of its incarnations.
type statement struct {
	Member         ID
	IncarnationTag uint8 // low byte of the incarnation
	Observation    observation
}

// record is all that a member states of itself and others. Of two records of one author the newer one holds.
type record struct {
	Author         ID
	Incarnation    uint32 // rises with each start, and where the author learns that it is not heard
	Sequence       uint16 // rises with each change within the incarnation
	Departed       bool
	SuspectsItself bool        // its statements don't count against anybody
	Statements     []statement // by member
}

// maxStatements bounds the statements of a record, as does the size of a datagram. A member with more to state should
// suspect itself.
const maxStatements = 60

// isNewerThan orders the records of one author.
func (r record) isNewerThan(other record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Sequence, other.Sequence)) > 0
}

// isUrgent tells whether others wait for the record: it states something of members, or that its author departs. Other
// records can be requested.
func (r record) isUrgent() bool { return r.Departed || len(r.Statements) > 0 }

// isUrgentAfter tells whether members with the previous record wait for this one, also because it withdraws statements
// or answers those on its author. Guards against disputes that go on because nobody learns that they are settled.
func (r record) isUrgentAfter(previous record) bool {
	return r.isUrgent() || previous.isUrgent() || r.Incarnation != previous.Incarnation
}

// hash is the same for equal records. It covers the statements, as a process that starts in the second up to which the
// incarnation of its predecessor had risen may write another record with the same numbers.
func (r record) hash() uint32 {
	h := mixHash(mixHash(r.Author.hashKey()*2654435761, r.Incarnation), uint32(r.Sequence))
	if r.Departed {
		h = mixHash(h, flagDeparted)
	}
	if r.SuspectsItself {
		h = mixHash(h, flagSuspectsItself)
	}
	for _, s := range r.Statements {
		h = mixHash(mixHash(h, s.Member.hashKey()), uint32(s.IncarnationTag)<<8|uint32(s.Observation))
	}
	return h
}

// mixHash combines two words (the finalizer of MurmurHash3, which is in the public domain).
func mixHash(a, b uint32) uint32 {
	h := a ^ (b*0x9e3779b1 + a<<6)
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}
