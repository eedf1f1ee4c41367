package eventbus

import (
	"encoding/binary"
	"fmt"

	"gannetspur/policy"
)

// A frame is a length, and so many bytes: the event's number, its kind and its payload. Numbers
// are big-endian.
const (
	lengthSize = 4
	numberSize = 8
	kindSize   = 1
	headSize   = lengthSize + numberSize + kindSize
	minFrame   = numberSize + kindSize
	maxFrame   = 1 << 20 // behind the length
)

// frame is one message of the bus.
type frame struct {
	number  uint64
	kind    frameKind
	payload []byte // within the buffer
}

// frameKind is what a frame holds.
type frameKind byte

const (
	kindHeartbeat frameKind = 0
	kindFullList  frameKind = 1
	kindChanges   frameKind = 2
)

// listMode is what an event does to the endpoint list. A heartbeat changes nothing.
func (k frameKind) listMode() (policy.ListMode, error) {
	switch k {
	case kindFullList:
		return policy.ListFull, nil
	case kindHeartbeat, kindChanges:
		return policy.ListChanges, nil
	}
	return 0, fmt.Errorf("a frame of unknown kind %d", k)
}

// parseFrame reads the first frame of b. size is how many bytes it takes; 0 while it is not
// complete.
func parseFrame(b []byte) (f frame, size int, err error) {
	if len(b) < lengthSize {
		return frame{}, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length < minFrame || length > maxFrame {
		return frame{}, 0, fmt.Errorf("a frame of %d bytes", length)
	}
	size = lengthSize + int(length)
	if len(b) < size {
		return frame{}, 0, nil
	}
	f = frame{
		number:  binary.BigEndian.Uint64(b[lengthSize:]),
		kind:    frameKind(b[lengthSize+numberSize]),
		payload: b[headSize:size],
	}
	return f, size, nil
}
