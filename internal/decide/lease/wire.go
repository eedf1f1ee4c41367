package lease

import (
	"encoding/binary"
	"errors"
	"time"
)

// A word has 27 bytes, numbers big-endian:
//
//	version and kind:1 members' digest:4 engine:8 run:4 count:4 share:2 span in ms:4
//
// run and count name a claim or a question, and are the same in its answer.
const (
	version     = 1 << 4
	kindClaim   = 1 // promise yourself to me
	kindPromise = 2
	kindAsk     = 3 // lend me a part
	kindLend    = 4 // a part, for a span from when it was asked for
	kindBack    = 5 // whatever was asked for before is not used any more

	wordBytes = 27
)

type word struct {
	kind    byte
	members uint32
	engine  Engine
	run     uint32
	count   uint32
	share   uint16
	span    time.Duration
}

// errWire is that bytes are no word of ours.
var errWire = errors.New("lend: unreadable word")

func (w word) append(b []byte) []byte {
	b = append(b, version|w.kind)
	b = binary.BigEndian.AppendUint32(b, w.members)
	b = binary.BigEndian.AppendUint64(b, uint64(w.engine))
	b = binary.BigEndian.AppendUint32(b, w.run)
	b = binary.BigEndian.AppendUint32(b, w.count)
	b = binary.BigEndian.AppendUint16(b, w.share)
	return binary.BigEndian.AppendUint32(b, uint32(w.span/time.Millisecond))
}

func read(b []byte) (w word, err error) {
	if len(b) != wordBytes || b[0]&0xf0 != version || b[0]&0xf < kindClaim || b[0]&0xf > kindBack {
		return w, errWire
	}
	w = word{
		kind: b[0] & 0xf, members: binary.BigEndian.Uint32(b[1:]), engine: Engine(binary.BigEndian.Uint64(b[5:])), run: binary.BigEndian.Uint32(b[13:]),
		count: binary.BigEndian.Uint32(b[17:]), share: binary.BigEndian.Uint16(b[21:]), span: time.Duration(binary.BigEndian.Uint32(b[23:])) * time.Millisecond,
	}
	if w.share > Whole {
		return w, errWire
	}
	return w, nil
}
