package membership

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

// mostWords bounds the words of a record; that it fits a datagram bounds them too. Who has more to say should doubt itself.
const mostWords = 60

// after tells whether a record is later than another of the same author.
func (r record) after(o record) bool {
	return cmp.Or(cmp.Compare(r.Inc, o.Inc), cmp.Compare(r.Seq, o.Seq)) > 0
}

// pressing tells whether others wait for it: it says something of members, or that its author leaves. What else there is to
// know can be asked for.
func (r record) pressing() bool { return r.Left || len(r.Words) > 0 }

// presses tells whether others wait for it where they have an earlier one: also where it takes words back, or answers what was said
// of its author. Guards against disputes that go on because nobody hears that they are over.
func (r record) presses(was record) bool { return r.pressing() || was.pressing() || r.Inc != was.Inc }

// hash is the same for the same record, whoever has it. What it says counts: a process that starts in the second up to which the one
// before had answered may write another record under the same numbers, which else nobody would see.
func (r record) hash() uint32 {
	h := mix(mix(r.Author.key()*2654435761, r.Inc), uint32(r.Seq))
	if r.Left {
		h = mix(h, flagLeft)
	}
	if r.Doubts {
		h = mix(h, flagDoubts)
	}
	for _, w := range r.Words {
		h = mix(mix(h, w.About.key()), uint32(w.Tag)<<8|uint32(w.Says))
	}
	return h
}

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

// place is what a record is written in relation to: the sender at first, and then the record before. Front ends of one installation
// have addresses close to each other and have started within days, so that most records take half the bytes.
type place struct {
	id  ID
	inc uint32
}

func (r record) append(b []byte, at place) []byte {
	b = binary.AppendUvarint(b, zig(int64(r.Author)-int64(at.id)))
	b = binary.AppendUvarint(b, zig(int64(int32(r.Inc-at.inc))))
	b = binary.AppendUvarint(b, uint64(r.Seq))
	flags := uint64(0)
	if r.Left {
		flags |= flagLeft
	}
	if r.Doubts {
		flags |= flagDoubts
	}
	b = binary.AppendUvarint(b, uint64(len(r.Words))<<2|flags)
	last := r.Author
	for i, e := range r.Words { // in order, so that differences are small, and all but the first above 0
		by := uint64(e.About - last)
		if i == 0 {
			by = zig(int64(e.About) - int64(last))
		}
		b = binary.AppendUvarint(b, by<<2|uint64(e.Says))
		b = append(b, e.Tag)
		last = e.About
	}
	return b
}

func (r record) place() place { return place{r.Author, r.Inc} }

// zig and zag write a number of either sign as one that is small where it is near 0.
func zig(v int64) uint64 { return uint64(v<<1 ^ v>>63) }

func zag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// number reads a number that is written in the fewest bytes, as all here are.
func number(b []byte) (v uint64, rest []byte, err error) {
	v, n := binary.Uvarint(b)
	if n <= 0 || n > 1 && b[n-1] == 0 {
		return 0, nil, errWire
	}
	return v, b[n:], nil
}

// member adds a signed difference to an id, where that is one.
func member(at ID, by uint64) (ID, error) {
	id := int64(at) + zag(by)
	if by > 2*MaxID+1 || id < 0 || id > MaxID {
		return 0, errWire
	}
	return ID(id), nil
}

func readRecord(b []byte, at place) (r record, rest []byte, err error) {
	var head [4]uint64
	for i := range head {
		if head[i], b, err = number(b); err != nil {
			return r, nil, errWire
		}
	}
	flags, n := byte(head[3]&3), head[3]>>2
	if r.Author, err = member(at.id, head[0]); err != nil || head[1] > 1<<32-1 || head[2] > 1<<16-1 || n > mostWords {
		return r, nil, errWire
	}
	r.Inc, r.Seq = at.inc+uint32(zag(head[1])), uint16(head[2])
	r.Left, r.Doubts = flags&flagLeft != 0, flags&flagDoubts != 0
	last := r.Author
	for i := range n {
		var v uint64
		if v, b, err = number(b); err != nil || len(b) == 0 || v&3 == 0 {
			return r, nil, errWire
		}
		by := v >> 2
		if i > 0 { // it was written as it is
			if by > MaxID {
				return r, nil, errWire
			}
			by = zig(int64(by))
		}
		id, err := member(last, by)
		if err != nil || id == last || id == r.Author { // twice, or of itself
			return r, nil, errWire
		}
		last = id
		r.Words = append(r.Words, entry{id, b[0], verdict(v & 3)})
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
