package handover

import (
	"bytes"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// pruneOutputOver is how many bytes of a connection's recorded output are kept before what has
// been written of it is dropped.
const pruneOutputOver = 64 << 10

// retainedConnection is what is needed to reclaim a connection: a duplicate of its descriptor,
// the last state of its handler without a request in flight, and what was read and written since.
type retainedConnection struct {
	fd           int
	state        []byte
	input        []byte // read and not yet covered by state
	inputOffset  int64  // of input in the stream
	receivedAt   time.Duration
	request      *RequestRecord // in flight at an engine, or nil
	output       []byte
	outputOffset int64 // of output in the stream
	closing      bool  // the connection ends behind output
}

// newRetained returns what is retained of a connection that is being transferred. unread was
// read of it and not consumed.
func newRetained(fd int, state, unread []byte) *retainedConnection {
	r := &retainedConnection{fd: fd, state: state, input: unread}
	if place, err := netio.StreamPositionOf(fd); err == nil { // else it has ended, which the target will find
		r.inputOffset = place.Read - int64(len(unread))
	}
	return r
}

func (r *retainedConnection) close() { _ = unix.Close(r.fd) } // the target has its own

func (r *retainedConnection) recordInput(m *InputRecord) {
	if len(r.input) == 0 {
		r.inputOffset = m.Offset
	}
	r.input = append(r.input, m.Data...)
	r.receivedAt = m.ReceivedAt
}

func (r *retainedConnection) recordOutput(m *OutputRecord) {
	if len(r.output) > pruneOutputOver {
		r.pruneOutput()
	}
	if len(r.output) == 0 {
		r.outputOffset = m.Offset
	}
	r.output = append(r.output, m.Data...)
	switch {
	case !m.Idle:
		return
	case m.Closing: // nothing more is read
		r.closing = true
		r.request = nil
		r.input = nil
	default:
		r.state = m.State
		r.request = nil
		r.dropInputBefore(m.Consumed)
	}
}

// pruneOutput drops the output that the kernel has taken.
func (r *retainedConnection) pruneOutput() {
	place, err := netio.StreamPositionOf(r.fd)
	if err != nil {
		return
	}
	written := min(place.Written-r.outputOffset, int64(len(r.output)))
	if written > 0 {
		r.output = bytes.Clone(r.output[written:])
		r.outputOffset += written
	}
}

// dropInputBefore drops the input that the state covers.
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

// unanswered returns the input that the target has consumed and not answered.
func (r *retainedConnection) unanswered(place netio.StreamPosition) []byte {
	if r.closing {
		return nil
	}
	consumed := place.Read - r.inputOffset
	if consumed < int64(len(r.input)) {
		return r.input[:max(consumed, 0)] // the rest is in the socket still
	}
	return r.input
}

// unwritten returns the recorded output that the kernel has not taken.
func (r *retainedConnection) unwritten(place netio.StreamPosition) []byte {
	written := place.Written - r.outputOffset
	if written < int64(len(r.output)) {
		return r.output[max(written, 0):]
	}
	return nil
}

// orphanedRequest describes the request that was in flight at the target.
func (r *retainedConnection) orphanedRequest(now time.Duration) core.Orphan {
	orphan := core.Orphan{ReceivedAt: r.receivedAt}
	if r.request != nil {
		orphan.FirstSentAt = r.request.FirstSend
		orphan.MustFail = decide.Recover(r.request.request(), 0, now) != decide.Resend
	}
	return orphan
}
