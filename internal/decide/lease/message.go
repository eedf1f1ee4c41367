package lease

import (
	"encoding/binary"
	"errors"
	"time"
)

// A message has 27 bytes. Its fields, with their lengths in bytes, are big-endian numbers:
//
//	version and kind:1 members digest:4 engine:8 process:4 request ID:4 quota:2 span in ms:4
//
// process and request ID identify a vote request or lease request, and are repeated in the response to it.
const (
	wireVersion  = 1 << 4
	versionMask  = 0xf0
	kindMask     = 0x0f
	messageBytes = 27
)

// kind is the kind of a message, in the low bits of its first byte.
type kind byte

const (
	kindVoteRequest  kind = 1
	kindVote         kind = 2
	kindLeaseRequest kind = 3
	kindLease        kind = 4 // grants a quota for a span, which the holder counts from when it sent the request
	kindLeaseRelease kind = 5 // the holder does not use the leases of its earlier requests any more
)

// message is a decoded message. A field that its kind does not use is 0.
type message struct {
	kind          kind
	membersDigest uint32 // of the sender's member list
	engine        EngineID
	process       uint32        // random number that the requesting process drew at its start
	requestID     uint32        // rises with each request of that process
	quota         uint16        // requested or granted, out of FullCapacity
	span          time.Duration // how long a granted lease is valid
}

// errMalformed means that the bytes are not a valid message of this package.
var errMalformed = errors.New("lease: malformed message")

func (m message) encode() []byte {
	b := make([]byte, 0, messageBytes)
	b = append(b, wireVersion|byte(m.kind))
	b = binary.BigEndian.AppendUint32(b, m.membersDigest)
	b = binary.BigEndian.AppendUint64(b, uint64(m.engine))
	b = binary.BigEndian.AppendUint32(b, m.process)
	b = binary.BigEndian.AppendUint32(b, m.requestID)
	b = binary.BigEndian.AppendUint16(b, m.quota)
	return binary.BigEndian.AppendUint32(b, uint32(m.span/time.Millisecond))
}

func decode(b []byte) (m message, err error) {
	if len(b) != messageBytes || b[0]&versionMask != wireVersion {
		return m, errMalformed
	}
	m = message{
		kind:          kind(b[0] & kindMask),
		membersDigest: binary.BigEndian.Uint32(b[1:]),
		engine:        EngineID(binary.BigEndian.Uint64(b[5:])),
		process:       binary.BigEndian.Uint32(b[13:]),
		requestID:     binary.BigEndian.Uint32(b[17:]),
		quota:         binary.BigEndian.Uint16(b[21:]),
		span:          time.Duration(binary.BigEndian.Uint32(b[23:])) * time.Millisecond,
	}
	if m.kind < kindVoteRequest || m.kind > kindLeaseRelease || m.quota > FullCapacity {
		return message{}, errMalformed
	}
	return m, nil
}
