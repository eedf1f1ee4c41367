package membership

import (
	"encoding/binary"
	"errors"
)

// errMalformed says that bytes are no datagram of this package.
var errMalformed = errors.New("membership: malformed datagram")

// Flags of an encoded record, below the count of its statements.
const (
	flagDeparted       = 1
	flagSuspectsItself = 2
	flagBits           = 2
	flagMask           = 1<<flagBits - 1
)

// observationBits is the width of an observation, below the member that it is about.
const (
	observationBits = 2
	observationMask = 1<<observationBits - 1
)

// deltaBase is what the numbers of a record are encoded relative to: the sender's, then those of the record before. The
// front ends of an installation have adjacent addresses and starts within days, so most records take half the bytes.
type deltaBase struct {
	id          ID
	incarnation uint32
}

func (r record) deltaBase() deltaBase { return deltaBase{r.Author, r.Incarnation} }

func (r record) appendTo(b []byte, base deltaBase) []byte {
	b = binary.AppendUvarint(b, zigzagEncode(int64(r.Author)-int64(base.id)))
	b = binary.AppendUvarint(b, zigzagEncode(int64(int32(r.Incarnation-base.incarnation))))
	b = binary.AppendUvarint(b, uint64(r.Sequence))
	flags := uint64(0)
	if r.Departed {
		flags |= flagDeparted
	}
	if r.SuspectsItself {
		flags |= flagSuspectsItself
	}
	b = binary.AppendUvarint(b, uint64(len(r.Statements))<<flagBits|flags)
	previous := r.Author
	for i, s := range r.Statements { // sorted, so that only the first difference needs a sign
		delta := uint64(s.Member - previous)
		if i == 0 {
			delta = zigzagEncode(int64(s.Member) - int64(previous))
		}
		b = binary.AppendUvarint(b, delta<<observationBits|uint64(s.Observation))
		b = append(b, s.IncarnationTag)
		previous = s.Member
	}
	return b
}

func decodeRecord(b []byte, base deltaBase) (r record, rest []byte, err error) {
	var head [4]uint64 // author, incarnation, sequence, count of statements and flags
	for i := range head {
		if head[i], b, err = readUvarint(b); err != nil {
			return r, nil, err
		}
	}
	count, flags := head[3]>>flagBits, head[3]&flagMask
	if head[1] > 1<<32-1 || head[2] > 1<<16-1 || count > maxStatements {
		return r, nil, errMalformed
	}
	if r.Author, err = applyDelta(base.id, head[0]); err != nil {
		return r, nil, err
	}
	r.Incarnation = base.incarnation + uint32(zigzagDecode(head[1]))
	r.Sequence = uint16(head[2])
	r.Departed = flags&flagDeparted != 0
	r.SuspectsItself = flags&flagSuspectsItself != 0
	previous := r.Author
	for i := range count {
		var s statement
		if s, b, err = decodeStatement(b, previous, i); err != nil {
			return r, nil, err
		}
		if s.Member == previous || s.Member == r.Author { // twice, or of itself
			return r, nil, errMalformed
		}
		previous = s.Member
		r.Statements = append(r.Statements, s)
	}
	return r, b, nil
}

// decodeStatement reads a statement whose member is encoded relative to the previous one. Only the difference of the
// first one, at index 0, has a sign.
func decodeStatement(b []byte, previous ID, index uint64) (s statement, rest []byte, err error) {
	word, b, err := readUvarint(b)
	if err != nil {
		return s, nil, err
	}
	s.Observation = observation(word & observationMask)
	if len(b) == 0 || s.Observation == noObservation {
		return s, nil, errMalformed
	}
	delta := word >> observationBits
	if index > 0 {
		if delta > MaxID {
			return s, nil, errMalformed
		}
		delta = zigzagEncode(int64(delta))
	}
	if s.Member, err = applyDelta(previous, delta); err != nil {
		return s, nil, err
	}
	s.IncarnationTag = b[0]
	return s, b[1:], nil
}

// zigzagEncode and zigzagDecode map numbers of either sign to ones that are small where they are near 0.
func zigzagEncode(v int64) uint64 { return uint64(v<<1 ^ v>>63) }

func zigzagDecode(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// readUvarint reads a number that is encoded in the fewest bytes, as all here are.
func readUvarint(b []byte) (v uint64, rest []byte, err error) {
	v, size := binary.Uvarint(b)
	if size <= 0 || size > 1 && b[size-1] == 0 {
		return 0, nil, errMalformed
	}
	return v, b[size:], nil
}

// applyDelta adds an encoded difference to an ID.
func applyDelta(id ID, delta uint64) (ID, error) {
	sum := int64(id) + zigzagDecode(delta)
	if delta > 2*MaxID+1 || sum < 0 || sum > MaxID {
		return 0, errMalformed
	}
	return ID(sum), nil
}
