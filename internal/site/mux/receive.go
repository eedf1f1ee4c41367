package mux

import (
	"fmt"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

// maxControlForPong is how much may wait to go out while pings are answered.
// Guards against a peer that pings and does not read.
const maxControlForPong = 1 << 20

// Input takes what has come, and returns how much of it was complete frames: the rest is to be
// given again with what follows it.
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

func (l *Link) handle(f frame.Frame) error {
	if !l.greeted {
		return l.handleHello(f)
	}
	switch f.Kind {
	case frame.Hello:
		return fmt.Errorf("%w: a second hello", ErrOrder)
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

func (l *Link) handleHello(f frame.Frame) error {
	switch {
	case f.Kind != frame.Hello:
		return fmt.Errorf("%w: %v before a hello", ErrOrder, f.Kind)
	case f.Value != frame.Version:
		return fmt.Errorf("%w: %d, and this side speaks %d", ErrVersion, f.Value, frame.Version)
	}
	var m message.Hello
	if err := message.Decode(f.Body, &m); err != nil {
		return err
	}
	l.greeted = true
	return l.handler.HandleHello(m)
}

func (l *Link) handleRequest(f frame.Frame) error {
	var m message.Request
	if err := message.Decode(f.Body, &m); err != nil {
		return err
	}
	if l.isLocal(f.Stream) || l.wasOpened(f.Stream) {
		return fmt.Errorf("%w: stream %d is opened", ErrOrder, f.Stream)
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

func (l *Link) handleResponse(f frame.Frame) error {
	var m message.Response
	if err := message.Decode(f.Body, &m); err != nil {
		return err
	}
	s := l.streams[f.Stream]
	switch {
	case !l.isLocal(f.Stream) || !l.wasOpened(f.Stream):
		return fmt.Errorf("%w: a response on stream %d", ErrOrder, f.Stream)
	case s == nil:
		l.LateFrames++
		return nil
	case s.response != nil:
		return fmt.Errorf("%w: a second response on stream %d", ErrOrder, f.Stream)
	}
	s.response = &m
	s.bodySize = m.Size
	l.reserve(s, min(m.Size, l.config.Window))
	l.dropUnsent(s) // the peer does not need the rest of the statement any more
	if m.Size == 0 {
		l.complete(s)
	}
	return nil
}

func (l *Link) handleData(f frame.Frame) error {
	s := l.streams[f.Stream]
	if s == nil && l.wasOpened(f.Stream) {
		l.LateFrames++
		return nil
	}
	if s == nil || !s.expectsData() {
		return fmt.Errorf("%w: data on stream %d", ErrOrder, f.Stream)
	}
	size := len(f.Body)
	received := len(s.received) + size
	isLast := f.Value == frame.LastData
	switch {
	case size > s.window:
		return fmt.Errorf("%w: %d bytes on stream %d", ErrCredit, size, f.Stream)
	case received > s.bodySize || isLast != (received == s.bodySize):
		return fmt.Errorf("%w: %d bytes in place of %d on stream %d", ErrOrder, received, s.bodySize, f.Stream)
	}
	s.window -= size
	s.stalled = false
	s.received = append(s.received, f.Body...)
	if isLast {
		l.complete(s)
		return nil
	}
	l.giveCredit(s)
	return nil
}

// expectsData tells whether the message that the Data belongs to has come.
func (s *stream) expectsData() bool {
	if s.local {
		return s.response != nil
	}
	return s.request != nil
}

func (l *Link) handleCancel(f frame.Frame) error {
	if l.isLocal(f.Stream) {
		return fmt.Errorf("%w: it cancels a request of this side", ErrOrder)
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

func (l *Link) handleCredit(f frame.Frame) error {
	s := l.streams[f.Stream]
	if s == nil {
		return nil
	}
	s.sendCredit += int(f.Value)
	if s.sendCredit > message.MaxBodySize+l.config.Window {
		return fmt.Errorf("%w: credit of %d bytes", ErrCredit, s.sendCredit)
	}
	l.enqueue(s)
	return nil
}

// complete hands over a message whose body is complete.
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
