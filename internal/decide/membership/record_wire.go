package membership

import (
	"encoding/binary"
	"errors"
)

// errMalformed reports bytes that are not a datagram of this protocol version.
var errMalformed = errors.New("membership: malformed datagram")

// Flags of an encoded record, in the bits below its number of statements.
const (
	flagDeparted       = 1
	flagSuspectsItself = 2
	flagBits           = 2
	flagMask           = 1<<flagBits - 1
)

// observationBits is the width of an observation, in the bits below the member that it is about.
const (
	observationBits = 2
	observationMask = 1<<observationBits - 1
)

// deltaBase holds the ID and incarnation that those of a record are encoded relative to. They are the sender's for the
// first record of a datagram, then those of the preceding record. As the front ends of an installation have adjacent
// addresses and start within days of each other, this halves the size of most records.
type deltaBase struct {
	id          ID
	incarnation uint32
}

func (r record) deltaBase() deltaBase { return deltaBase{r.Author, r.Incarnation} }

// appendTo appends the encoded record to b.
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
	for i, s := range r.Statements { // sorted, so only the first difference can be negative
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

// decodeRecord decodes a record from the start of b and returns the bytes that follow it.
func decodeRecord(b []byte, base deltaBase) (r record, rest []byte, err error) {
	var fields [4]uint64 // author, incarnation, sequence, number of statements with flags
	for i := range fields {
		if fields[i], b, err = readUvarint(b); err != nil {
			return r, nil, err
		}
	}
	count, flags := fields[3]>>flagBits, fields[3]&flagMask
	if fields[1] > 1<<32-1 || fields[2] > 1<<16-1 || count > maxStatements {
		return r, nil, errMalformed
	}
	if r.Author, err = applyDelta(base.id, fields[0]); err != nil {
		return r, nil, err
	}
	r.Incarnation = base.incarnation + uint32(zigzagDecode(fields[1]))
	r.Sequence = uint16(fields[2])
	r.Departed = flags&flagDeparted != 0
	r.SuspectsItself = flags&flagSuspectsItself != 0
	previous := r.Author
	for i := range count {
		var s statement
		if s, b, err = decodeStatement(b, previous, i); err != nil {
			return r, nil, err
		}
		if s.Member == previous || s.Member == r.Author { // a duplicate, or about the author itself
			return r, nil, errMalformed
		}
		previous = s.Member
		r.Statements = append(r.Statements, s)
	}
	return r, b, nil
}

// decodeStatement decodes a statement whose member is encoded relative to the previous one. Only the difference at
// index 0 is signed.
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

// zigzagEncode maps signed integers to unsigned ones that are small for values near 0.
func zigzagEncode(v int64) uint64 { return uint64(v<<1 ^ v>>63) }

// zigzagDecode reverses zigzagEncode.
func zigzagDecode(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// readUvarint reads an integer and rejects encodings that are longer than necessary.
func readUvarint(b []byte) (v uint64, rest []byte, err error) {
	v, size := binary.Uvarint(b)
	if size <= 0 || size > 1 && b[size-1] == 0 {
		return 0, nil, errMalformed
	}
	return v, b[size:], nil
}

// applyDelta adds a zigzag-encoded difference to an ID. It rejects results that are not valid IDs.
func applyDelta(id ID, delta uint64) (ID, error) {
	sum := int64(id) + zigzagDecode(delta)
	if delta > 2*MaxID+1 || sum < 0 || sum > MaxID {
		return 0, errMalformed
	}
	return ID(sum), nil
}
