package membership

import "cmp"

// observation is what a member states about another one. The values are part of the wire format.
type observation uint8

const (
	noObservation    observation = iota // nothing is stated
	notHeard                            // the author does not hear the member
	notHeardButAlive                    // the author does not hear the member but knows from others that it is alive
	heardDirectly                       // the author hears the member although others do not
)

// statement is what the author of a record states about another member in one of its incarnations.
type statement struct {
	Member         ID
	IncarnationTag uint8 // lowest byte of the member's incarnation
	Observation    observation
}

// record is everything that a member states about itself and others. Of two records of one author, the newer one
// replaces the other.
type record struct {
	Author         ID
	Incarnation    uint32      // increases with each start, and when the author learns that it is not heard
	Sequence       uint16      // increases with each change within the incarnation
	Departed       bool        // whether the author has announced its shutdown
	SuspectsItself bool        // whether its statements do not count against other members
	Statements     []statement // sorted by member
}

// maxStatements limits the statements of a record, in addition to the size of a datagram. A member with more statements
// should suspect itself.
const maxStatements = 60

// isNewerThan reports whether r is newer than another record of the same author.
func (r record) isNewerThan(other record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Sequence, other.Sequence)) > 0
}

// isUrgent reports whether other members wait for the record because it contains statements or announces a shutdown.
// They can request any other record.
func (r record) isUrgent() bool { return r.Departed || len(r.Statements) > 0 }

// isUrgentAfter reports whether members that have the previous record wait for this one. Besides urgent records, these
// are records that withdraw statements or refute statements about their author. Otherwise disputes would continue
// because no member learns that they are settled.
func (r record) isUrgentAfter(previous record) bool {
	return r.isUrgent() || previous.isUrgent() || r.Incarnation != previous.Incarnation
}

// hash returns the same value for equal records. It covers the statements, as two records with the same numbers may
// differ: the Unix second in which a process starts can be an incarnation that its predecessor reached by refuting
// statements.
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

// mixHash combines two words with the finalizer of MurmurHash3, which is in the public domain.
func mixHash(a, b uint32) uint32 {
	h := a ^ (b*0x9e3779b1 + a<<6)
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}
