package mux

import "gannetspur/internal/site/frame"

// receiveBudget bounds what is held of bodies that are not complete.
type receiveBudget struct {
	held    int       // bytes that have come, or may without more credit
	starved []*stream // those that wait for credit until others are complete
	// exempt goes on past the bound, so that one stream always ends and frees what it holds.
	exempt *stream
}

// reserve counts bytes that may come on a stream.
func (l *Link) reserve(s *stream, n int) {
	s.reserved += n
	l.budget.held += n
}

// releaseReceived frees what has come of a body.
func (l *Link) releaseReceived(s *stream) {
	l.budget.held -= s.reserved
	s.reserved = 0
	s.received = nil
	if l.budget.exempt == s {
		l.budget.exempt = nil
	}
	l.feedStarved()
}

// giveCredit gives a stream credit for more, a window at a time, while the budget allows it.
func (l *Link) giveCredit(s *stream) {
	remaining := s.bodySize - len(s.received) - s.window
	if s.window > l.config.Window/2 || remaining <= 0 || s.starved {
		return
	}
	n := min(l.config.Window, remaining)
	if l.budget.held+n > l.config.MaxHeldBytes && l.budget.exempt != s {
		if l.budget.exempt != nil {
			s.starved = true
			l.budget.starved = append(l.budget.starved, s)
			return
		}
		l.budget.exempt = s
	}
	l.reserve(s, n)
	s.window += n
	l.putControl(frame.Frame{Kind: frame.Credit, Stream: s.id, Value: uint32(n)})
}

// feedStarved gives credit to streams that had to wait for it.
func (l *Link) feedStarved() {
	for len(l.budget.starved) > 0 {
		s := l.budget.starved[0]
		isOpen := l.streams[s.id] == s
		if isOpen && l.budget.exempt != nil && l.budget.held+l.config.Window > l.config.MaxHeldBytes {
			return
		}
		l.budget.starved = l.budget.starved[1:]
		s.starved = false
		if isOpen {
			l.giveCredit(s)
		}
	}
}
