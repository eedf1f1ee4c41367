package mux

import (
	"fmt"
	"slices"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

const (
	// maxDataBody is how much of one body goes out before the next stream has its turn.
	maxDataBody = 16 << 10
	// maxIdleControl is the largest buffer for control frames that is kept for reuse.
	maxIdleControl = 1 << 20
	// maxStreamID is the largest number of a stream.
	maxStreamID = 1<<31 - 1
)

// output is what waits to go out.
type output struct {
	control []byte    // frames other than Data, which go first
	queue   []*stream // streams with Data to send, in turn
	pulling bool      // within Pull, where what OutputReady would pull would go out first
}

// HasOutput tells whether there is something to Pull.
func (l *Link) HasOutput() bool { return len(l.output.control) > 0 || len(l.output.queue) > 0 }

// Pull appends about so many bytes to go out: first all control frames, then bodies within their
// credit, a piece of each stream in turn.
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

// appendData writes one piece of a stream that has just left the queue.
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

// enqueue has a stream take its turn, if it has something to send and credit for it.
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

// dropUnsent forgets what is not sent of a stream's body.
func (l *Link) dropUnsent(s *stream) {
	s.unsent = nil
	if !s.queued {
		return
	}
	s.queued = false
	i := slices.Index(l.output.queue, s)
	l.output.queue = append(l.output.queue[:i:i], l.output.queue[i+1:]...)
}

// putControl has a frame other than Data go out.
func (l *Link) putControl(f frame.Frame) {
	notify := !l.output.pulling && !l.HasOutput()
	l.output.control = frame.Append(l.output.control, f)
	if notify {
		l.handler.OutputReady()
	}
}

// putMessage has a message go out, as the body of a control frame.
func (l *Link) putMessage(kind frame.Kind, stream uint32, m message.Message) error {
	encoded, err := message.Append(nil, m)
	if err != nil {
		return err
	}
	if len(encoded) > frame.MaxBodySize {
		return fmt.Errorf("site link: a message of %d bytes", len(encoded))
	}
	l.putControl(frame.Frame{Kind: kind, Stream: stream, Body: encoded})
	return nil
}

// Request opens a stream with a request. ok is false where the link takes none: its Hello has not
// come, or all numbers are used.
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

// Cancel cancels a stream that Request opened. What still comes for it is counted and ignored.
func (l *Link) Cancel(id uint32) {
	s := l.streams[id]
	if s == nil || !s.local {
		return
	}
	l.close(s)
	l.putControl(frame.Frame{Kind: frame.Cancel, Stream: id})
}

// Respond ends a stream that the peer opened. One that is closed is ignored.
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

// reject responds to a request of which nothing has run.
func (l *Link) reject(id uint32) error {
	return l.Respond(id, message.Response{Verdict: message.Rejected}, nil)
}

// RejectStale rejects requests that the peer has begun and not continued since RejectStale was
// called last. Guards against requests that never become complete.
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

// Ping asks for a Pong of the number.
func (l *Link) Ping(number uint32) { l.putControl(frame.Frame{Kind: frame.Ping, Value: number}) }

// SendLoadReport sends a load report of a number.
func (l *Link) SendLoadReport(number uint32, m message.LoadReport) error {
	encoded, err := message.Append(nil, &m)
	if err != nil {
		return err
	}
	l.putControl(frame.Frame{Kind: frame.LoadReport, Value: number, Body: encoded})
	return nil
}

// SendKeys reports keys that were sent to engines.
func (l *Link) SendKeys(m message.SentKeys) error { return l.putMessage(frame.SentKeys, 0, &m) }

// GoAway reports that this side wants new streams on another link.
func (l *Link) GoAway() { l.putControl(frame.Frame{Kind: frame.GoAway}) }
