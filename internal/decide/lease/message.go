package lease

import (
	"encoding/binary"
	"errors"
	"time"
)

// A message has 27 bytes, numbers are big-endian:
//
//	version and kind:1 members digest:4 engine:8 process:4 request:4 quota:2 span in ms:4
//
// process and request name a vote request or a lease request, and are the same in its answer.
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
	kindLease        kind = 4 // a quota, for a span that counts from the request
	kindLeaseRelease kind = 5 // the leases of all earlier requests are not used any more
)

type message struct {
	kind          kind
	membersDigest uint32
	engine        EngineID
	process       uint32 // drawn by each process at its start
	request       uint32
	quota         uint16
	span          time.Duration
}

// errMalformed says that bytes are no message of this package.
var errMalformed = errors.New("lease: malformed message")

func (m message) encode() []byte {
	b := make([]byte, 0, messageBytes)
	b = append(b, wireVersion|byte(m.kind))
	b = binary.BigEndian.AppendUint32(b, m.membersDigest)
	b = binary.BigEndian.AppendUint64(b, uint64(m.engine))
	b = binary.BigEndian.AppendUint32(b, m.process)
	b = binary.BigEndian.AppendUint32(b, m.request)
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
		request:       binary.BigEndian.Uint32(b[17:]),
		quota:         binary.BigEndian.Uint16(b[21:]),
		span:          time.Duration(binary.BigEndian.Uint32(b[23:])) * time.Millisecond,
	}
	if m.kind < kindVoteRequest || m.kind > kindLeaseRelease || m.quota > FullCapacity {
		return message{}, errMalformed
	}
	return m, nil
}
