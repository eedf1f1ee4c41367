package membership

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// A datagram is a head and records, as many as fit. Numbers are big-endian.
//
//	version and kind:1 from:uvarint inc:4 seq:2 records' digest:4 records:uvarint view's number:uvarint view's digest:4 about:uvarint
//
// Four bytes more are a sum of all before (CRC-32C): what was changed on its way counts for nothing, also where
// nothing is signed.
//
// about is the member that is asked for (kindAsk), or the sequence that is answered (kindAnswer), else 0.
// A kindHave and a kindMore have a filter before the records, behind a byte with its length: of what the sender has of the part
// that about names. A kindTalk has rumours in place of records. In a kindTell that answers a kindHave, about is 1.
const (
	version    = 2 << 4
	kindBeat   = 1 // the sender lives
	kindProbe  = 2 // answer this
	kindAnswer = 3
	kindAsk    = 4 // probe another member, whose answer is heard of in records
	kindHave   = 5 // tell the records that are not in this filter
	kindTell   = 6 // records
	kindTalk   = 7 // rumours
	kindMore   = 8 // tell the rumours that are not in this filter
)

// mostHead bounds a datagram's head, in bytes.
const mostHead = 39

type message struct {
	Kind    byte
	From    ID
	Inc     uint32
	Seq     uint16
	Records uint32 // digest of the records, and in its lowest byte of the rumours
	Knows   uint32 // how many records it has
	View    View   // without its size
	About   uint64
	Has     filter
	Carries []record
	Talk    []GossipMessage
}

func (d message) place() place { return place{d.From, d.Inc} }

// asks tells whether a message has a filter.
func (d message) asks() bool { return d.Kind == kindHave || d.Kind == kindMore }

func (d message) append(b []byte) []byte {
	b = append(b, version|d.Kind)
	b = binary.AppendUvarint(b, uint64(d.From))
	b = binary.BigEndian.AppendUint32(b, d.Inc)
	b = binary.BigEndian.AppendUint16(b, d.Seq)
	b = binary.BigEndian.AppendUint32(b, d.Records)
	b = binary.AppendUvarint(b, uint64(d.Knows))
	b = binary.AppendUvarint(b, uint64(d.View.Number))
	b = binary.BigEndian.AppendUint32(b, d.View.Digest)
	b = binary.AppendUvarint(b, d.About)
	if d.asks() {
		b = append(append(b, byte(len(d.Has))), d.Has...)
	}
	at := d.place()
	for _, r := range d.Carries {
		b = r.append(b, at)
		at = r.place()
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
	if err != nil || v > MaxID || len(b) < 10 {
		return d, errWire
	}
	d.From, d.Inc = ID(v), binary.BigEndian.Uint32(b)
	d.Seq, d.Records = binary.BigEndian.Uint16(b[4:]), binary.BigEndian.Uint32(b[6:])
	if v, b, err = number(b[10:]); err != nil || v > mostMembers {
		return d, errWire
	}
	d.Knows = uint32(v)
	if v, b, err = number(b); err != nil || v > 1<<32-1 || len(b) < 4 {
		return d, errWire
	}
	d.View = View{Number: uint32(v), Digest: binary.BigEndian.Uint32(b)}
	if v, b, err = number(b[4:]); err != nil || v > MaxID {
		return d, errWire
	}
	d.About = v
	if d.asks() {
		if len(b) < 1 || len(b) <= int(b[0]) {
			return d, errWire
		}
		d.Has, b = slices.Clone(b[1:1+int(b[0])]), b[1+int(b[0]):]
	}
	for d.Kind == kindTalk && len(b) > 0 {
		var r GossipMessage
		if r, b, err = readRumour(b); err != nil {
			return d, err
		}
		d.Talk = append(d.Talk, r)
	}
	at := d.place()
	for len(b) > 0 {
		var r record
		if r, b, err = readRecord(b, at); err != nil {
			return d, err
		}
		at = r.place()
		d.Carries = append(d.Carries, r)
	}
	return d, nil
}
