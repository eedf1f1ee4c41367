package membership

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// A datagram is a header and as many records as fit. Numbers are big-endian.
//
//	version and kind:1 from:uvarint incarnation:4 sequence:2 records digest:4 known members:uvarint
//	view number:uvarint view digest:4 argument:uvarint
//
// Its last four bytes are a checksum (CRC-32C) of all before. Guards against datagrams that were corrupted in transit,
// also where nothing is signed.
//
// A request (kindRecordsRequest, kindGossipRequest) has a Bloom filter before the records, behind a byte with its
// length. A kindGossip has gossip messages in place of records.
const wireVersion = 2 << 4

// kind is the kind of a datagram, in the low bits of its first byte.
type kind byte

const (
	kindHeartbeat      kind = 1
	kindPing           kind = 2 // answer with a kindAck
	kindAck            kind = 3 // the argument is the sequence of the ping
	kindPingRequest    kind = 4 // ping the member of the argument; its answer is reported in records
	kindRecordsRequest kind = 5 // send the records that are not in the filter, of the partition in the argument
	kindRecords        kind = 6 // the argument is answerArgument in the answer to a kindRecordsRequest
	kindGossip         kind = 7
	kindGossipRequest  kind = 8 // send the gossip that is not in the filter, of the partition in the argument
)

const (
	kindMask    = 0x0f
	versionMask = 0xf0
)

// answerArgument marks a kindRecords as the answer to a request.
const answerArgument = 1

// maxHeaderBytes bounds the header of a datagram.
const maxHeaderBytes = 39

type message struct {
	Kind          kind
	From          ID
	Incarnation   uint32
	Sequence      uint16
	RecordsDigest uint32 // its lowest byte is of the gossip
	KnownMembers  uint32 // of which the sender has a record
	View          View   // without its size
	Argument      uint64
	Filter        bloomFilter
	Records       []record
	Gossip        []GossipMessage
}

func (m message) deltaBase() deltaBase { return deltaBase{m.From, m.Incarnation} }

func (m message) hasFilter() bool { return m.Kind == kindRecordsRequest || m.Kind == kindGossipRequest }

func (m message) appendTo(b []byte) []byte {
	b = append(b, wireVersion|byte(m.Kind))
	b = binary.AppendUvarint(b, uint64(m.From))
	b = binary.BigEndian.AppendUint32(b, m.Incarnation)
	b = binary.BigEndian.AppendUint16(b, m.Sequence)
	b = binary.BigEndian.AppendUint32(b, m.RecordsDigest)
	b = binary.AppendUvarint(b, uint64(m.KnownMembers))
	b = binary.AppendUvarint(b, uint64(m.View.Number))
	b = binary.BigEndian.AppendUint32(b, m.View.Digest)
	b = binary.AppendUvarint(b, m.Argument)
	if m.hasFilter() {
		b = append(b, byte(len(m.Filter)))
		b = append(b, m.Filter...)
	}
	base := m.deltaBase()
	for _, r := range m.Records {
		b = r.appendTo(b, base)
		base = r.deltaBase()
	}
	for _, g := range m.Gossip {
		b = g.appendTo(b)
	}
	return b
}

// checksumBytes is the size of a datagram's checksum.
const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// verifyChecksum returns a datagram without its checksum.
func verifyChecksum(b []byte) ([]byte, error) {
	size := len(b) - checksumBytes
	if size < 0 || binary.BigEndian.Uint32(b[size:]) != crc32.Checksum(b[:size], castagnoli) {
		return nil, errMalformed
	}
	return b[:size], nil
}

func decodeMessage(b []byte) (m message, err error) {
	b, err = m.decodeHeader(b)
	if err != nil {
		return m, err
	}
	if m.hasFilter() {
		if len(b) < 1 || len(b) <= int(b[0]) {
			return m, errMalformed
		}
		size := int(b[0])
		m.Filter = slices.Clone(b[1 : 1+size])
		b = b[1+size:]
	}
	for m.Kind == kindGossip && len(b) > 0 {
		var g GossipMessage
		if g, b, err = decodeGossip(b); err != nil {
			return m, err
		}
		m.Gossip = append(m.Gossip, g)
	}
	base := m.deltaBase()
	for len(b) > 0 {
		var r record
		if r, b, err = decodeRecord(b, base); err != nil {
			return m, err
		}
		base = r.deltaBase()
		m.Records = append(m.Records, r)
	}
	return m, nil
}

// decodeHeader reads the header of a datagram and returns what follows it.
func (m *message) decodeHeader(b []byte) (rest []byte, err error) {
	if len(b) < 1 || b[0]&versionMask != wireVersion {
		return nil, errMalformed
	}
	m.Kind = kind(b[0] & kindMask)
	if m.Kind < kindHeartbeat || m.Kind > kindGossipRequest {
		return nil, errMalformed
	}
	from, b, err := readUvarint(b[1:])
	if err != nil || from > MaxID || len(b) < 4+2+4 {
		return nil, errMalformed
	}
	m.From = ID(from)
	m.Incarnation = binary.BigEndian.Uint32(b)
	m.Sequence = binary.BigEndian.Uint16(b[4:])
	m.RecordsDigest = binary.BigEndian.Uint32(b[6:])
	known, b, err := readUvarint(b[10:])
	if err != nil || known > maxMembers {
		return nil, errMalformed
	}
	m.KnownMembers = uint32(known)
	viewNumber, b, err := readUvarint(b)
	if err != nil || viewNumber > 1<<32-1 || len(b) < 4 {
		return nil, errMalformed
	}
	m.View = View{Number: uint32(viewNumber), Digest: binary.BigEndian.Uint32(b)}
	m.Argument, b, err = readUvarint(b[4:])
	if err != nil || m.Argument > MaxID {
		return nil, errMalformed
	}
	return b, nil
}
