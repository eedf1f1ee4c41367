package mux

import (
	"fmt"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

// maxControlForPong is the size in bytes of pending control frames above which pings are not answered. It
// protects against a peer that sends pings and does not read.
const maxControlForPong = 1 << 20

// Input processes the complete frames of b and returns their size in bytes. The caller must pass the rest
// again, followed by the bytes that arrive next. The link must be closed on an error.
func (l *Link) Input(b []byte) (n int, err error) {
	for {
		f, size, err := frame.Next(b[n:])
		if err != nil {
			return n, err
		}
		if size == 0 {
			return n, nil
		}
		n += size
		if err := l.handle(f); err != nil {
			return n, err
		}
	}
}

// handle processes one frame.
func (l *Link) handle(f frame.Frame) error {
	if !l.greeted {
		return l.handleHello(f)
	}
	switch f.Kind {
	case frame.Hello:
		return fmt.Errorf("%w: second hello", ErrOrder)
	case frame.Request:
		return l.handleRequest(f)
	case frame.Response:
		return l.handleResponse(f)
	case frame.Data:
		return l.handleData(f)
	case frame.Cancel:
		return l.handleCancel(f)
	case frame.Credit:
		return l.handleCredit(f)
	case frame.LoadReport:
		var m message.LoadReport
		if err := message.Decode(f.Body, &m); err != nil {
			return err
		}
		l.handler.HandleLoadReport(m)
	case frame.SentKeys:
		var m message.SentKeys
		if err := message.Decode(f.Body, &m); err != nil {
			return err
		}
		l.handler.HandleSentKeys(m)
	case frame.Ping:
		if len(l.output.control) < maxControlForPong {
			l.putControl(frame.Frame{Kind: frame.Pong, Value: f.Value})
		}
	case frame.Pong:
		l.handler.HandlePong(f.Value)
	case frame.GoAway:
		l.peerGoingAway = true
		l.handler.HandleGoAway()
	}
	return nil
}

// handleHello processes the first frame, which must be a Hello of the same version.
func (l *Link) handleHello(f frame.Frame) error {
	switch {
	case f.Kind != frame.Hello:
		return fmt.Errorf("%w: %v before a hello", ErrOrder, f.Kind)
	case f.Value != frame.Version:
		return fmt.Errorf("%w: peer uses %d, this side %d", ErrVersion, f.Value, frame.Version)
	}
	var m message.Hello
	if err := message.Decode(f.Body, &m); err != nil {
		return err
	}
	l.greeted = true
	return l.handler.HandleHello(m)
}

// handleRequest opens a stream for a request whose statement follows as Data. It rejects the request if
// too many streams are open or the budget for incomplete bodies is used up.
func (l *Link) handleRequest(f frame.Frame) error {
	var m message.Request
	if err := message.Decode(f.Body, &m); err != nil {
		return err
	}
	if l.isLocal(f.Stream) || l.wasOpened(f.Stream) {
		return fmt.Errorf("%w: request on stream %d, which belongs to this side or was used", ErrOrder, f.Stream)
	}
	l.lastPeerStream = f.Stream
	s := &stream{id: f.Stream, sendCredit: l.config.Window, request: &m, bodySize: m.Size, window: l.config.Window}
	l.streams[s.id] = s
	l.peerStreams++
	expected := min(m.Size, l.config.Window)
	if l.peerStreams > l.config.MaxStreams || l.budget.held+expected > l.config.MaxHeldBytes {
		return l.reject(s.id)
	}
	l.reserve(s, expected)
	return nil
}

// handleResponse processes the response to a request of this side; its body follows as Data.
func (l *Link) handleResponse(f frame.Frame) error {
	var m message.Response
	if err := message.Decode(f.Body, &m); err != nil {
		return err
	}
	s := l.streams[f.Stream]
	switch {
	case !l.isLocal(f.Stream) || !l.wasOpened(f.Stream):
		return fmt.Errorf("%w: response on stream %d, which this side has not opened", ErrOrder, f.Stream)
	case s == nil:
		l.LateFrames++
		return nil
	case s.response != nil:
		return fmt.Errorf("%w: second response on stream %d", ErrOrder, f.Stream)
	}
	s.response = &m
	s.bodySize = m.Size
	l.reserve(s, min(m.Size, l.config.Window))
	l.dropUnsent(s) // the peer no longer needs the rest of the statement
	if m.Size == 0 {
		l.complete(s)
	}
	return nil
}

// handleData adds a part of a body. The last part must complete the announced size exactly.
func (l *Link) handleData(f frame.Frame) error {
	s := l.streams[f.Stream]
	if s == nil && l.wasOpened(f.Stream) {
		l.LateFrames++
		return nil
	}
	if s == nil || !s.expectsData() {
		return fmt.Errorf("%w: data on stream %d, which expects none", ErrOrder, f.Stream)
	}
	size := len(f.Body)
	received := len(s.received) + size
	isLast := f.Value == frame.LastData
	switch {
	case size > s.window:
		return fmt.Errorf("%w: %d bytes on stream %d, window is %d", ErrCredit, size, f.Stream, s.window)
	case received > s.bodySize || isLast != (received == s.bodySize):
		return fmt.Errorf("%w: body of %d bytes, announced %d, on stream %d", ErrOrder, received, s.bodySize, f.Stream)
	}
	s.window -= size
	s.stalled = false
	s.received = append(s.received, f.Body...)
	if isLast {
		l.complete(s)
		return nil
	}
	l.grantCredit(s)
	return nil
}

// expectsData reports whether the message that precedes the Data was received.
func (s *stream) expectsData() bool {
	if s.local {
		return s.response != nil
	}
	return s.request != nil
}

// handleCancel closes a stream of the peer. The handler is told only if it received the request.
func (l *Link) handleCancel(f frame.Frame) error {
	if l.isLocal(f.Stream) {
		return fmt.Errorf("%w: cancel of stream %d, which belongs to this side", ErrOrder, f.Stream)
	}
	s := l.streams[f.Stream]
	if s == nil {
		return nil
	}
	wasHandled := s.request == nil
	l.close(s)
	if wasHandled {
		l.handler.HandleCancel(f.Stream)
	}
	return nil
}

// handleCredit adds to the bytes that may be sent on a stream.
func (l *Link) handleCredit(f frame.Frame) error {
	s := l.streams[f.Stream]
	if s == nil {
		return nil
	}
	s.sendCredit += int(f.Value)
	if s.sendCredit > message.MaxBodySize+l.config.Window {
		return fmt.Errorf("%w: total credit of %d bytes on stream %d", ErrCredit, s.sendCredit, f.Stream)
	}
	l.enqueue(s)
	return nil
}

// complete passes a message with its complete body to the handler.
func (l *Link) complete(s *stream) {
	body := s.received
	if s.local {
		m := *s.response
		l.close(s)
		l.handler.HandleResponse(s.id, m, body)
		return
	}
	m := *s.request
	s.request = nil
	l.releaseReceived(s)
	l.handler.HandleRequest(s.id, m, body)
}
