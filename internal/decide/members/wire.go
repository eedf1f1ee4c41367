package members

import (
	"encoding/binary"
	"hash/crc32"
)

// A datagram is a head and records, as many as fit. Numbers are big-endian.
//
//	version and kind:1 from:uvarint inc:4 seq:2 records' digest:4 view's number:uvarint view's digest:4 about:uvarint
//
// Four bytes more are a sum of all before (CRC-32C): what was changed on its way counts for nothing, also where
// nothing is signed.
//
// about is the member that is asked for (kindAsk), or the sequence that is answered (kindAnswer), else 0.
// A kindSync and a kindMore have the digests of the sender's buckets in place of records, a kindTalk rumours.
const (
	version    = 1 << 4
	kindBeat   = 1 // the sender lives
	kindProbe  = 2 // answer this
	kindAnswer = 3
	kindAsk    = 4 // probe another member, whose answer is heard of in records
	kindSync   = 5 // tell what is not in these digests
	kindTell   = 6 // records
	kindList   = 7 // tell what is not in this list of a part of the records
	kindTalk   = 8 // rumours
	kindMore   = 9 // tell the rumours that are not in these digests
)

// mostHead bounds a datagram's head, in bytes.
const mostHead = 37

// buckets is into how many parts records are divided to find those that differ.
const buckets = 32

type message struct {
	Kind    byte
	From    ID
	Inc     uint32
	Seq     uint16
	Records uint32 // digest of the records, and in its lowest byte of the rumours
	View    View   // without its size
	About   uint64
	Sums    []uint16
	Lists   []listed
	Carries []record
	Talk    []Rumour
}

// listed tells which record of a member its sender has, by a byte.
type listed struct {
	ID  ID
	Sum uint8
}

// mostListed is how many members a part of the records holds, about: a list of them fits a datagram.
const mostListed = 40

// part tells whether a member is in the part that about names: its number, and of how many, in a byte each.
func part(id ID, about uint64) bool {
	return uint64(mix(id.key(), 7))%max(about&0xff, 1) == about>>8
}

func (d message) append(b []byte) []byte {
	b = append(b, version|d.Kind)
	b = binary.AppendUvarint(b, uint64(d.From))
	b = binary.BigEndian.AppendUint32(b, d.Inc)
	b = binary.BigEndian.AppendUint16(b, d.Seq)
	b = binary.BigEndian.AppendUint32(b, d.Records)
	b = binary.AppendUvarint(b, uint64(d.View.Number))
	b = binary.BigEndian.AppendUint32(b, d.View.Digest)
	b = binary.AppendUvarint(b, d.About)
	for _, s := range d.Sums {
		b = binary.BigEndian.AppendUint16(b, s)
	}
	last := ID(0)
	for _, l := range d.Lists {
		b = append(binary.AppendUvarint(b, uint64(l.ID-last)), l.Sum)
		last = l.ID
	}
	for _, r := range d.Carries {
		b = r.append(b)
	}
	for _, r := range d.Talk {
		b = r.append(b)
	}
	return b
}

// sumBytes is what a datagram's sum takes.
const sumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal adds the sum.
func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)) }

// open takes the sum off.
func open(b []byte) ([]byte, error) {
	n := len(b) - sumBytes
	if n < 0 || binary.BigEndian.Uint32(b[n:]) != crc32.Checksum(b[:n], castagnoli) {
		return nil, errWire
	}
	return b[:n], nil
}

func read(b []byte) (d message, err error) {
	if len(b) < 1 || b[0]&0xf0 != version || b[0]&0xf < kindBeat || b[0]&0xf > kindMore {
		return d, errWire
	}
	d.Kind = b[0] & 0xf
	v, b, err := number(b[1:])
	if err != nil || v > MostID || len(b) < 10 {
		return d, errWire
	}
	d.From, d.Inc = ID(v), binary.BigEndian.Uint32(b)
	d.Seq, d.Records = binary.BigEndian.Uint16(b[4:]), binary.BigEndian.Uint32(b[6:])
	if v, b, err = number(b[10:]); err != nil || v > 1<<32-1 || len(b) < 4 {
		return d, errWire
	}
	d.View = View{Number: uint32(v), Digest: binary.BigEndian.Uint32(b)}
	if v, b, err = number(b[4:]); err != nil || v > MostID {
		return d, errWire
	}
	d.About = v
	if d.Kind == kindSync || d.Kind == kindMore {
		if len(b) != 2*buckets {
			return d, errWire
		}
		for ; len(b) > 0; b = b[2:] {
			d.Sums = append(d.Sums, binary.BigEndian.Uint16(b))
		}
		return d, nil
	}
	for last := uint64(0); d.Kind == kindList && len(b) > 0; b = b[1:] {
		if v, b, err = number(b); err != nil || len(b) == 0 || v == 0 && len(d.Lists) > 0 || last+v > MostID {
			return d, errWire
		}
		last += v
		d.Lists = append(d.Lists, listed{ID(last), b[0]})
	}
	for d.Kind == kindTalk && len(b) > 0 {
		var r Rumour
		if r, b, err = readRumour(b); err != nil {
			return d, err
		}
		d.Talk = append(d.Talk, r)
	}
	for len(b) > 0 {
		var r record
		if r, b, err = readRecord(b); err != nil {
			return d, err
		}
		d.Carries = append(d.Carries, r)
	}
	return d, nil
}
