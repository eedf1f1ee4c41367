package handover

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// A frame is the length of its body (4 bytes, big-endian), the number of descriptors that come
// with it (1), the kind of message (1) and the body: the message in CBOR. Descriptors travel as
// SCM_RIGHTS with the frame's first byte (unix(7)), so they have arrived when the frame has.
const (
	frameHeaderBytes = 6
	// MaxFrameBytes bounds the body of a frame. A state with all held results is far smaller.
	MaxFrameBytes  = 64 << 20
	maxDescriptors = 4
)

// Errors of a channel.
var (
	ErrMalformedFrame = errors.New("handover: malformed frame")
	ErrUnknownKind    = errors.New("handover: unknown kind of message")
)

// decoder bounds what a message may hold: its sender may be of another version, or broken.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// appendFrame appends the frame of a message that comes with some descriptors.
func appendFrame(b []byte, m Message, descriptors int) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: %T: %w", m, err)
	}
	if len(body) > MaxFrameBytes || descriptors > maxDescriptors {
		return nil, fmt.Errorf("handover: %T: %d bytes and %d descriptors are too many", m, len(body), descriptors)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, byte(descriptors), m.kind())
	return append(b, body...), nil
}

// parseFrame reads one frame; used is 0 while it is incomplete.
func parseFrame(b []byte) (m Message, descriptors, used int, err error) {
	if len(b) < frameHeaderBytes {
		return nil, 0, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	descriptors = int(b[4])
	kind := b[5]
	if length > MaxFrameBytes || descriptors > maxDescriptors {
		return nil, 0, 0, fmt.Errorf("%w: %d bytes and %d descriptors", ErrMalformedFrame, length, descriptors)
	}
	used = frameHeaderBytes + int(length)
	if len(b) < used {
		return nil, 0, 0, nil
	}
	m = newMessage(kind)
	if m == nil {
		return nil, 0, 0, fmt.Errorf("%w: %d", ErrUnknownKind, kind)
	}
	if err := decoder.Unmarshal(b[frameHeaderBytes:used], m); err != nil {
		return nil, 0, 0, fmt.Errorf("%w: %T: %w", ErrMalformedFrame, m, err)
	}
	return m, descriptors, used, nil
}
