package mux

import (
	"fmt"
	"slices"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

const (
	// maxDataBody is the number of bytes of one body that are sent before the next stream has its turn.
	maxDataBody = 16 << 10
	// maxIdleControl is the size in bytes of the largest buffer for control frames that is kept for reuse.
	maxIdleControl = 1 << 20
	// maxStreamID is the largest stream number.
	maxStreamID = 1<<31 - 1
)

// output holds the pending output of a link.
type output struct {
	control []byte    // encoded frames other than Data, which are sent first
	queue   []*stream // streams with Data to send, in round-robin order
	pulling bool      // Pull is running; a nested Pull from OutputReady would overtake its output
}

// HasOutput reports whether there is output to Pull.
func (l *Link) HasOutput() bool { return len(l.output.control) > 0 || len(l.output.queue) > 0 }

// Pull appends about that many bytes of output to b: first all control frames, then bodies within their
// credit, one part of each stream in turn.
func (l *Link) Pull(b []byte, about int) []byte {
	out := &l.output
	out.pulling = true
	defer func() { out.pulling = false }()
	b = append(b, out.control...)
	about -= len(out.control)
	out.control = out.control[:0]
	if cap(out.control) > maxIdleControl {
		out.control = nil
	}
	for about > 0 && len(out.queue) > 0 {
		s := out.queue[0]
		out.queue = out.queue[1:]
		before := len(b)
		b = l.appendData(b, s)
		about -= len(b) - before
	}
	if len(out.queue) == 0 {
		out.queue = nil
	}
	return b
}

// appendData appends one Data frame of a stream that was just removed from the queue.
func (l *Link) appendData(b []byte, s *stream) []byte {
	s.queued = false
	n := min(len(s.unsent), s.sendCredit, maxDataBody)
	f := frame.Frame{Kind: frame.Data, Stream: s.id, Body: s.unsent[:n]}
	s.unsent = s.unsent[n:]
	s.sendCredit -= n
	isLast := len(s.unsent) == 0
	if isLast {
		f.Value = frame.LastData
	}
	b = frame.Append(b, f)
	switch {
	case !isLast:
		l.enqueue(s)
	case !s.local:
		l.close(s)
	}
	return b
}

// enqueue adds a stream to the queue if it has unsent data and credit.
func (l *Link) enqueue(s *stream) {
	if s.queued || len(s.unsent) == 0 || s.sendCredit <= 0 {
		return
	}
	notify := !l.output.pulling && !l.HasOutput()
	s.queued = true
	l.output.queue = append(l.output.queue, s)
	if notify {
		l.handler.OutputReady()
	}
}

// dropUnsent drops the unsent part of a stream's body.
func (l *Link) dropUnsent(s *stream) {
	s.unsent = nil
	if !s.queued {
		return
	}
	s.queued = false
	i := slices.Index(l.output.queue, s)
	l.output.queue = append(l.output.queue[:i:i], l.output.queue[i+1:]...)
}

// putControl adds a frame other than Data to the output.
func (l *Link) putControl(f frame.Frame) {
	notify := !l.output.pulling && !l.HasOutput()
	l.output.control = frame.Append(l.output.control, f)
	if notify {
		l.handler.OutputReady()
	}
}

// putMessage adds a control frame with an encoded message to the output.
func (l *Link) putMessage(kind frame.Kind, stream uint32, m message.Message) error {
	encoded, err := message.Append(nil, m)
	if err != nil {
		return err
	}
	if len(encoded) > frame.MaxBodySize {
		return fmt.Errorf("site link: %v message of %d bytes exceeds the limit of %d", kind, len(encoded), frame.MaxBodySize)
	}
	l.putControl(frame.Frame{Kind: kind, Stream: stream, Body: encoded})
	return nil
}

// Request opens a stream with a request and returns its number. ok is false if the link accepts none,
// because the peer's Hello has not arrived or all stream numbers are used.
func (l *Link) Request(m message.Request, statement []byte) (id uint32, ok bool, err error) {
	if !l.greeted || l.nextStream > maxStreamID {
		return 0, false, nil
	}
	m.Size = len(statement)
	s := &stream{id: l.nextStream, local: true, sendCredit: l.config.Window, unsent: statement, window: l.config.Window}
	if err := l.putMessage(frame.Request, s.id, &m); err != nil {
		return 0, false, err
	}
	l.nextStream += 2
	l.streams[s.id] = s
	l.enqueue(s)
	return s.id, true, nil
}

// Cancel cancels a stream that Request opened. Frames that still arrive for it are counted in LateFrames
// and ignored.
func (l *Link) Cancel(id uint32) {
	s := l.streams[id]
	if s == nil || !s.local {
		return
	}
	l.close(s)
	l.putControl(frame.Frame{Kind: frame.Cancel, Stream: id})
}

// Respond sends the response on a stream that the peer opened. It does nothing if the stream is closed.
func (l *Link) Respond(id uint32, m message.Response, body []byte) error {
	s := l.streams[id]
	if s == nil || s.local {
		return nil
	}
	m.Size = len(body)
	if err := l.putMessage(frame.Response, id, &m); err != nil {
		return err
	}
	s.unsent = body
	if len(body) == 0 {
		l.close(s)
		return nil
	}
	l.enqueue(s)
	return nil
}

// reject responds that a request was rejected and has not run.
func (l *Link) reject(id uint32) error {
	return l.Respond(id, message.Response{Verdict: message.Rejected}, nil)
}

// RejectStale rejects incomplete requests for which no Data has arrived since the previous call. It
// protects against requests that never become complete.
func (l *Link) RejectStale() error {
	var stale []uint32
	for id, s := range l.streams {
		if s.local || s.request == nil {
			continue
		}
		if s.stalled {
			stale = append(stale, id)
		}
		s.stalled = true
	}
	slices.Sort(stale)
	for _, id := range stale {
		if err := l.reject(id); err != nil {
			return err
		}
	}
	return nil
}

// Ping sends a ping, which the peer answers with a pong of the same number.
func (l *Link) Ping(number uint32) { l.putControl(frame.Frame{Kind: frame.Ping, Value: number}) }

// SendLoadReport sends a load report with its number.
func (l *Link) SendLoadReport(number uint32, m message.LoadReport) error {
	encoded, err := message.Append(nil, &m)
	if err != nil {
		return err
	}
	l.putControl(frame.Frame{Kind: frame.LoadReport, Value: number, Body: encoded})
	return nil
}

// SendKeys sends the idempotency keys that were sent to engines.
func (l *Link) SendKeys(m message.SentKeys) error { return l.putMessage(frame.SentKeys, 0, &m) }

// GoAway tells the peer that this side wants new streams on another link.
func (l *Link) GoAway() { l.putControl(frame.Frame{Kind: frame.GoAway}) }
