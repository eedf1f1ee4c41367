package members

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
)

// verdict is what a member says of another one.
type verdict uint8

const (
	none  verdict = iota
	deaf          // it does not hear it
	aside         // it does not hear it, and knows from others that it lives: no word against its life
	hears         // it hears it, though others don't
)

// entry is one member's word on another: on its incarnation, of which the low byte tells.
type entry struct {
	About ID
	Tag   uint8
	Says  verdict
}

// record is all that a member says of itself and others. Of two of one author, the later is the one to go by.
type record struct {
	Author ID
	Inc    uint32 // rises with each start, and where the author hears that it is not heard
	Seq    uint16 // rises with each change within the incarnation
	Left   bool
	Doubts bool // it trusts its own ears less: its words don't count against anybody
	Words  []entry
}

// mostWords bounds the words of a record, so that it fits a datagram. Who has more to say should doubt itself.
const mostWords = 60

// after tells whether a record is later than another of the same author.
func (r record) after(o record) bool {
	return cmp.Or(cmp.Compare(r.Inc, o.Inc), cmp.Compare(r.Seq, o.Seq)) > 0
}

// hash is the same for the same record, whoever has it.
func (r record) hash() uint32 { return mix(mix(r.Author.key()*2654435761, r.Inc), uint32(r.Seq)) }

// mix spreads two words over one (the finalizer of MurmurHash3, which is in the public domain).
func mix(a, b uint32) uint32 {
	h := a ^ (b*0x9e3779b1 + a<<6)
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}

// errWire is that bytes are no message of ours.
var errWire = errors.New("members: unreadable datagram")

const (
	flagLeft   = 1
	flagDoubts = 2
)

func (r record) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(r.Author))
	b = binary.BigEndian.AppendUint32(b, r.Inc)
	b = binary.BigEndian.AppendUint16(b, r.Seq)
	flags := byte(0)
	if r.Left {
		flags |= flagLeft
	}
	if r.Doubts {
		flags |= flagDoubts
	}
	b = append(b, flags, byte(len(r.Words)))
	last := uint64(0)
	for _, e := range r.Words { // in order, so that differences are small
		b = binary.AppendUvarint(b, (uint64(e.About)-last)<<2|uint64(e.Says))
		b = append(b, e.Tag)
		last = uint64(e.About)
	}
	return b
}

// number reads a number that is written in the fewest bytes, as all here are.
func number(b []byte) (v uint64, rest []byte, err error) {
	v, n := binary.Uvarint(b)
	if n <= 0 || n > 1 && b[n-1] == 0 {
		return 0, nil, errWire
	}
	return v, b[n:], nil
}

func readRecord(b []byte) (r record, rest []byte, err error) {
	v, b, err := number(b)
	if err != nil || v > MostID || len(b) < 8 {
		return r, nil, errWire
	}
	r.Author, r.Inc, r.Seq = ID(v), binary.BigEndian.Uint32(b), binary.BigEndian.Uint16(b[4:])
	flags, n := b[6], int(b[7])
	if flags > flagLeft|flagDoubts || n > mostWords {
		return r, nil, errWire
	}
	r.Left, r.Doubts = flags&flagLeft != 0, flags&flagDoubts != 0
	b = b[8:]
	last := uint64(0)
	for i := range n {
		if v, b, err = number(b); err != nil || len(b) == 0 {
			return r, nil, errWire
		}
		by := v >> 2
		if by == 0 && i > 0 || v&3 == 0 || last+by > MostID || ID(last+by) == r.Author { // twice, of nothing, of itself
			return r, nil, errWire
		}
		last += by
		r.Words = append(r.Words, entry{ID(last), b[0], verdict(v & 3)})
		b = b[1:]
	}
	return r, b, nil
}

// on is what a record says of a member at an incarnation.
func (r record) on(id ID, inc uint32) verdict {
	i, ok := slices.BinarySearchFunc(r.Words, id, func(e entry, id ID) int { return cmp.Compare(e.About, id) })
	if !ok || r.Words[i].Tag != uint8(inc) {
		return none
	}
	return r.Words[i].Says
}
