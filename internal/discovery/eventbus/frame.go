package eventbus

import (
	"encoding/binary"
	"fmt"

	"gannetspur/policy"
)

// Sizes in bytes. A frame consists of its length, the event number, the kind and the payload. The
// length does not count itself. Numbers are big-endian.
const (
	lengthSize     = 4
	numberSize     = 8 // event number
	kindSize       = 1
	headerSize     = lengthSize + numberSize + kindSize
	minFrameLength = numberSize + kindSize
	maxFrameLength = 1 << 20
)

// frame is one message of the bus.
type frame struct {
	number  uint64 // event number
	kind    frameKind
	payload []byte // slice of the parsed buffer
}

// frameKind says what a frame contains.
type frameKind byte

const (
	kindHeartbeat frameKind = 0 // sent regularly to show that the bus is alive
	kindFullList  frameKind = 1 // the complete endpoint list
	kindChanges   frameKind = 2 // changed entries of the endpoint list
)

// listMode returns how a frame of this kind changes the endpoint list. A heartbeat is treated as an
// event without changes.
func (k frameKind) listMode() (policy.ListMode, error) {
	switch k {
	case kindFullList:
		return policy.ListFull, nil
	case kindHeartbeat, kindChanges:
		return policy.ListChanges, nil
	}
	return 0, fmt.Errorf("unknown frame kind %d", k)
}

// parseFrame parses the first frame of b. size is the number of bytes of the frame, including its
// length, or 0 if b does not hold a complete frame yet.
func parseFrame(b []byte) (f frame, size int, err error) {
	if len(b) < lengthSize {
		return frame{}, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length < minFrameLength || length > maxFrameLength {
		return frame{}, 0, fmt.Errorf("frame length must be between %d and %d bytes, got %d", minFrameLength, maxFrameLength, length)
	}
	size = lengthSize + int(length)
	if len(b) < size {
		return frame{}, 0, nil
	}
	f = frame{
		number:  binary.BigEndian.Uint64(b[lengthSize:]),
		kind:    frameKind(b[lengthSize+numberSize]),
		payload: b[headerSize:size],
	}
	return f, size, nil
}
