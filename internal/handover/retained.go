package handover

import (
	"bytes"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// pruneOutputThresholdBytes is the size of a connection's recorded output above which the part that
// has been written is dropped.
const pruneOutputThresholdBytes = 64 << 10

// retainedConnection holds what the source needs to reclaim a transferred connection: a duplicate of
// its descriptor, the latest state of its handler without a request in flight, and the input and
// output recorded since.
type retainedConnection struct {
	fd           int
	state        []byte         // from Transferable.EncodeState
	partOutput   bool           // output was recorded since state: a part of the answer to input
	input        []byte         // input that was read and that state does not cover
	inputOffset  int64          // position of the start of input in the received stream
	receivedAt   time.Duration  // when the target received the last input, on the loop's clock; 0 if it received none
	request      *RequestRecord // the request in flight at an engine; nil if there is none
	output       []byte         // recorded output, of which the start may have been written
	outputOffset int64          // position of the start of output in the sent stream
	closing      bool           // the connection is closed after output
}

// newRetained returns what is retained of a connection that is being transferred. unread is input
// that was read from the connection and not consumed.
func newRetained(fd int, state, unread []byte) *retainedConnection {
	r := &retainedConnection{fd: fd, state: state, input: unread}
	if position, err := netio.StreamPositionOf(fd); err == nil { // otherwise it has ended, which the target will detect
		r.inputOffset = position.Read - int64(len(unread))
	}
	return r
}

// close closes the duplicate descriptor. The target's descriptor stays open.
func (r *retainedConnection) close() { _ = unix.Close(r.fd) }

// recordInput appends input that the target is about to read.
func (r *retainedConnection) recordInput(m *InputRecord) {
	if len(r.input) == 0 {
		r.inputOffset = m.Offset
	}
	r.input = append(r.input, m.Data...)
	r.receivedAt = m.ReceivedAt
}

// recordOutput appends output that the target is about to write. If no request is in flight after
// it, the state in the record replaces the retained one.
func (r *retainedConnection) recordOutput(m *OutputRecord) {
	if len(r.output) > pruneOutputThresholdBytes {
		r.pruneOutput()
	}
	if len(r.output) == 0 {
		r.outputOffset = m.Offset
	}
	r.output = append(r.output, m.Data...)
	switch {
	case !m.Idle:
		r.partOutput = true
		return
	case m.endsConnection(): // no more input will be read
		r.closing = true
		r.request = nil
		r.input = nil
	default:
		r.state = m.State
		r.partOutput = false
		r.request = nil
		r.dropInputBefore(m.Consumed)
	}
}

// pruneOutput drops the recorded output that has been written to the kernel.
func (r *retainedConnection) pruneOutput() {
	position, err := netio.StreamPositionOf(r.fd)
	if err != nil {
		return
	}
	written := min(position.Written-r.outputOffset, int64(len(r.output)))
	if written > 0 {
		r.output = bytes.Clone(r.output[written:])
		r.outputOffset += written
	}
}

// dropInputBefore drops the recorded input before a stream position.
func (r *retainedConnection) dropInputBefore(consumed int64) {
	n := min(consumed-r.inputOffset, int64(len(r.input)))
	if n <= 0 {
		return
	}
	r.input = r.input[n:]
	r.inputOffset += n
	if len(r.input) == 0 {
		r.input = nil
	}
}

// unansweredInput returns the input that the target has read from the socket and not answered.
// position is the socket's position after the target's death.
func (r *retainedConnection) unansweredInput(position netio.StreamPosition) []byte {
	if r.closing {
		return nil
	}
	consumed := position.Read - r.inputOffset
	if consumed < int64(len(r.input)) {
		return r.input[:max(consumed, 0)] // the rest is still in the socket
	}
	return r.input
}

// unwrittenOutput returns the recorded output that the target did not write to the kernel. position
// is the socket's position after the target's death.
func (r *retainedConnection) unwrittenOutput(position netio.StreamPosition) []byte {
	written := position.Written - r.outputOffset
	if written < int64(len(r.output)) {
		return r.output[max(written, 0):]
	}
	return nil
}

// orphanedRequest describes the request that was in flight in the target when the target died. The
// request must fail if it was sent to an engine and may not be sent again.
func (r *retainedConnection) orphanedRequest(now time.Duration) core.Orphan {
	orphan := core.Orphan{ReceivedAt: r.receivedAt, PartlyAnswered: r.partOutput}
	if r.request != nil {
		r.request.recover(&orphan, now)
	}
	return orphan
}
