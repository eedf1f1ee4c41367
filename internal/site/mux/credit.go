package mux

import "gannetspur/internal/site/frame"

// receiveBudget limits the memory for incomplete bodies of one link. The first window of a response is
// counted but not limited, because the peer may send it without further credit.
type receiveBudget struct {
	held    int       // bytes received or covered by granted credit
	starved []*stream // streams that wait for credit until others are complete
	// exempt may exceed the limit, so that at least one stream always completes and frees its memory.
	// nil: none.
	exempt *stream
}

// reserve adds n bytes that may arrive on a stream to the budget.
func (l *Link) reserve(s *stream, n int) {
	s.reserved += n
	l.budget.held += n
}

// releaseReceived drops the received part of a body and returns its bytes to the budget.
func (l *Link) releaseReceived(s *stream) {
	l.budget.held -= s.reserved
	s.reserved = 0
	s.received = nil
	if l.budget.exempt == s {
		l.budget.exempt = nil
	}
	l.grantStarved()
}

// grantCredit grants a stream credit of up to one window once half of its window is used, if the budget
// allows it. Otherwise the stream becomes the exempt one or waits.
func (l *Link) grantCredit(s *stream) {
	uncovered := s.bodySize - len(s.received) - s.window
	if s.window > l.config.Window/2 || uncovered <= 0 || s.starved {
		return
	}
	n := min(l.config.Window, uncovered)
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

// grantStarved grants credit to waiting streams, in order, while the budget allows it.
func (l *Link) grantStarved() {
	for len(l.budget.starved) > 0 {
		s := l.budget.starved[0]
		isOpen := l.streams[s.id] == s
		if isOpen && l.budget.exempt != nil && l.budget.held+l.config.Window > l.config.MaxHeldBytes {
			return
		}
		l.budget.starved = l.budget.starved[1:]
		s.starved = false
		if isOpen {
			l.grantCredit(s)
		}
	}
}
