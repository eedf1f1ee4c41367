package membership

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// A datagram is a header followed by as many records as fit. These are the fields of the header with their sizes in
// bytes. Integers of fixed size are big-endian.
//
//	version and kind:1 from:uvarint incarnation:4 sequence:2 records digest:4 known members:uvarint
//	view number:uvarint view digest:4 argument:uvarint
//
// The last four bytes are a checksum (CRC-32C) of all bytes before them. It detects datagrams that were corrupted in
// transit, including those that are not signed.
//
// A request (kindRecordsRequest, kindGossipRequest) has a Bloom filter between the header and the records, prefixed by
// one byte with its length. A kindGossip datagram has gossip messages in place of records.
const wireVersion = 2 << 4 // protocol version 2, in the high bits of the first byte

// kind is the type of a datagram, encoded in the low bits of its first byte.
type kind byte

const (
	kindHeartbeat      kind = 1
	kindPing           kind = 2 // the receiver answers with a kindAck
	kindAck            kind = 3 // the argument is the sequence number of the ping
	kindPingRequest    kind = 4 // the receiver pings the member in the argument and reports the result in its record
	kindRecordsRequest kind = 5 // asks for the records that the filter lacks, of the partition in the argument
	kindRecords        kind = 6 // the argument is answerArgument in an answer to a kindRecordsRequest
	kindGossip         kind = 7
	kindGossipRequest  kind = 8 // asks for the gossip messages that the filter lacks, of the partition in the argument
)

const (
	kindMask    = 0x0f
	versionMask = 0xf0
)

// answerArgument is the argument of a kindRecords datagram that answers a request.
const answerArgument = 1

// maxHeaderBytes is an upper bound of the size of a datagram's header.
const maxHeaderBytes = 39

// message is the decoded form of a datagram.
type message struct {
	Kind          kind
	From          ID
	Incarnation   uint32
	Sequence      uint16
	RecordsDigest uint32 // digest of the sender's records, with gossipDigestByte in the low 8 bits
	KnownMembers  uint32 // number of members whose record the sender has
	View          View   // the sender's view; its Size is not transmitted
	// Argument has a meaning that depends on Kind.
	Argument uint64
	Filter   bloomFilter // what the sender of a request has
	Records  []record
	Gossip   []GossipMessage
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

// appendChecksum appends the checksum of b to b.
func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// verifyChecksum checks the checksum of a datagram and returns the bytes before it.
func verifyChecksum(b []byte) ([]byte, error) {
	size := len(b) - checksumBytes
	if size < 0 || binary.BigEndian.Uint32(b[size:]) != crc32.Checksum(b[:size], castagnoli) {
		return nil, errMalformed
	}
	return b[:size], nil
}

// decodeMessage decodes a datagram without its checksum.
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

// decodeHeader decodes the header of a datagram and returns the bytes that follow it.
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
