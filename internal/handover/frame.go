package handover

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// A frame consists of a header and a body. The header holds the length of the body (4 bytes,
// big-endian), the number of file descriptors sent with the frame (1 byte) and the kind of the
// message (1 byte). The body is the message in CBOR. The descriptors are sent as SCM_RIGHTS with
// the first byte of the frame (unix(7)), so they have arrived once the frame has.
const (
	frameHeaderBytes = 6
	// MaxFrameBytes is the maximum size of a frame's body. A state that includes all results held
	// for clients to fetch is far smaller.
	MaxFrameBytes  = 64 << 20
	maxDescriptors = 4 // per frame
)

// Errors that Channel.Read returns for invalid input.
var (
	// ErrMalformedFrame means that a frame is truncated, exceeds a limit, lacks descriptors or can't
	// be decoded.
	ErrMalformedFrame = errors.New("handover: malformed frame")
	// ErrUnknownKind means that this version does not know a frame's kind of message.
	ErrUnknownKind = errors.New("handover: unknown message kind")
)

// decoder limits the size and nesting of decoded messages, because the sender may run another
// version or be faulty.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return m
}()

// appendFrame appends the frame of a message that is sent with a number of descriptors.
func appendFrame(b []byte, m Message, descriptors int) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: encode %T: %w", m, err)
	}
	if len(body) > MaxFrameBytes || descriptors > maxDescriptors {
		return nil, fmt.Errorf("handover: %T: body of %d bytes with %d descriptors exceeds the frame limits", m, len(body), descriptors)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, byte(descriptors), m.kind())
	return append(b, body...), nil
}

// parseFrame decodes the frame at the start of b and returns its message, its number of
// descriptors and its size in bytes. If the frame is incomplete, used is 0 and m is nil.
func parseFrame(b []byte) (m Message, descriptors, used int, err error) {
	if len(b) < frameHeaderBytes {
		return nil, 0, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	descriptors = int(b[4])
	kind := b[5]
	if length > MaxFrameBytes || descriptors > maxDescriptors {
		return nil, 0, 0, fmt.Errorf("%w: body of %d bytes with %d descriptors exceeds the limits", ErrMalformedFrame, length, descriptors)
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
		return nil, 0, 0, fmt.Errorf("%w: decode %T: %w", ErrMalformedFrame, m, err)
	}
	return m, descriptors, used, nil
}
