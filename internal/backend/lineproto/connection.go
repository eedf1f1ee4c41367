package lineproto

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

const (
	maxBufferBytes = 64 << 10 // of one connection; the rest waits in the socket
	// maxAnswerPause is how long an answer may stop in the middle: engines send one in one piece.
	maxAnswerPause = 500 * time.Millisecond
	// maxAnswerTime is how long an answer may take from its first byte to its last. Guards against one that
	// never ends and never stops: nothing else on its connection would come through.
	maxAnswerTime = 4 * maxAnswerPause
	// idleFraction of the engines' idle time-out is when an idle connection is closed from this side, so that no
	// request crosses a close by the engine.
	idleFraction = 0.8
)

var errAnswerStalled = errors.New("an answer stopped in the middle, or never ended")

// connection is one connection to an engine, from the start of its dial.
type connection struct {
	backend      *Backend
	engine       *backend.Engine[*connection]
	socket       *netio.Conn // nil until it is up, and once it has ended
	streams      map[string]*stream
	healthCheck  *healthCheck // in flight here, or waiting for the connection; nil: none
	cancelledIDs cancelledIDs
	incoming     incomingAnswer
	retired      bool // accepts no more streams
	lastUsed     time.Duration
	closeReason  core.Outcome // why it is being closed from this side
}

// incomingAnswer bounds the time of an answer that has come in part.
type incomingAnswer struct {
	startedAt time.Duration // 0: there is none
	timer     *timerqueue.Entry
}

func (b *Backend) dial(engine *backend.Engine[*connection]) *connection {
	c := &connection{backend: b, engine: engine, streams: map[string]*stream{}, cancelledIDs: newCancelledIDs()}
	engine.Connections = append(engine.Connections, c)
	b.counters.Add("links.dialed")
	b.loop.Dial(engine.Addr, b.site.ConnectTimeout, maxBufferBytes, c, c.dialed)
	return c
}

func (c *connection) dialed(socket *netio.Conn, err error) {
	if err != nil {
		outcome := backend.DialOutcome(err)
		if outcome != core.OutcomeConnectionRefused {
			c.backend.log.Warn("engine.unreachable", "engine", c.engine.ID, "error", err)
		}
		c.disconnected(outcome)
		return
	}
	c.socket = socket
	c.writeRequests()
	if c.healthCheck != nil {
		c.healthCheck.write()
	}
	c.closeIfDone()
	c.watchIdle()
}

// accepts reports whether a request with this ID can be sent on the connection.
func (c *connection) accepts(id string, now time.Duration) bool {
	switch {
	case c.retired, len(c.streams) >= c.backend.site.MaxStreams:
		return false
	case c.streams[id] != nil, c.cancelledIDs.contains(id, now):
		return false
	}
	return c.socket == nil || !c.socket.Disconnected()
}

// writeRequests writes the requests that wait for the connection to be up, or to have room.
func (c *connection) writeRequests() {
	for _, s := range c.streamsInOrder() {
		if c.holds(s) && !s.written {
			s.writeRequest()
		}
	}
}

// streamsInOrder lists the streams in the order in which they were sent.
func (c *connection) streamsInOrder() []*stream {
	streams := make([]*stream, 0, len(c.streams))
	for _, s := range c.streams {
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b *stream) int { return cmp.Compare(a.attempt.SentAt, b.attempt.SentAt) })
	return streams
}

// holds reports whether a stream is still on the connection. The end of one attempt may have another
// cancelled, so whoever ends several asks again before each.
func (c *connection) holds(s *stream) bool { return c.streams[s.attempt.Request.ID] == s }

// watchIdle closes the connection once nothing was open on it for most of the time
// after which the engine would.
func (c *connection) watchIdle() {
	idle := time.Duration(float64(c.backend.site.IdleTimeout) * idleFraction)
	if idle <= 0 {
		return
	}
	due := max(c.lastUsed, c.backend.core.Now()-idle) + idle
	c.backend.loop.Timers.Add(due, func() {
		switch {
		case c.socket == nil:
		case len(c.streams) == 0 && c.healthCheck == nil && c.backend.core.Now() >= c.lastUsed+idle:
			c.Retire()
		default:
			if len(c.streams) > 0 {
				c.lastUsed = c.backend.core.Now()
			}
			c.watchIdle()
		}
	})
}

// Retire makes the connection accept no more. As far as anybody can tell, the process that it leads to has ended,
// and with it what was cancelled there.
func (c *connection) Retire() {
	c.retired = true
	for _, s := range c.streamsInOrder() {
		if s.settling() && c.holds(s) {
			c.settle(s, core.OutcomeCancelled)
		}
	}
	c.closeIfDone()
}

func (c *connection) closeIfDone() {
	if c.retired && c.socket != nil && len(c.streams) == 0 && c.healthCheck == nil {
		c.closeReason = core.OutcomeIdleClosed
		c.socket.Close()
	}
}

// Data handles the answers that are complete.
func (c *connection) Data(_ *netio.Conn, in *netio.Buffer) {
	for c.closeReason == core.OutcomeUnknown {
		a, n, err := parseAnswer(in.Bytes())
		if err == nil && n > 0 {
			err = c.handleAnswer(a)
			in.Consume(n)
			c.incoming.startedAt = 0
		}
		if err != nil {
			c.abort(err)
			return
		}
		if n == 0 {
			break
		}
	}
	c.incoming.timer.Stop()
	if in.Len() > 0 && c.closeReason == core.OutcomeUnknown {
		c.awaitRest()
	}
}

// awaitRest bounds the time until the rest of an answer is here.
func (c *connection) awaitRest() {
	now := c.backend.loop.Now()
	if c.incoming.startedAt == 0 {
		c.incoming.startedAt = now
	}
	due := min(now+maxAnswerPause, c.incoming.startedAt+maxAnswerTime)
	c.incoming.timer = c.backend.loop.Timers.Add(due, func() { c.abort(errAnswerStalled) })
}

// abort ends the connection, and with it all that is open on it: where one answer can't
// be read, nothing tells where the next begins.
func (c *connection) abort(err error) {
	if c.socket == nil || c.closeReason != core.OutcomeUnknown {
		return
	}
	c.backend.log.Warn("engine.unreadable", "engine", c.engine.ID, "error", err)
	c.closeReason = core.OutcomeUnreadable
	c.retired = true
	c.socket.Abort()
}

// handleAnswer passes an answer to the health check or the stream that it belongs to. One for a request that was
// cancelled is ignored.
func (c *connection) handleAnswer(a answer) error {
	if h := c.healthCheck; h != nil && a.id == h.tag {
		return h.handleAnswer(a)
	}
	s := c.streams[a.id]
	if s == nil {
		c.backend.counters.Add("links.late-answer")
		return nil
	}
	if s.settling() {
		return c.handleSettlingAnswer(s, a)
	}
	switch a.kind {
	case answerProgress:
		if kind, value, ok := parseProgress(a.fields); ok {
			c.backend.core.ReportProgress(s.attempt, kind, value)
		}
		return nil
	case answerDone:
		return c.handleFirstPage(s, a)
	case answerPage:
		return c.handlePage(s, a)
	case answerRejected, answerFailed, answerDeadlinePassed:
		outcome := failureOutcomes[a.kind]
		if s.result.missing > 0 {
			outcome = core.OutcomePagesLost
		}
		s.report.LoadReport = parseLoadReport(a.fields)
		c.finish(s, outcome)
		return nil
	}
	return fmt.Errorf("%w: %.20q", errUnknownAnswer, a.kind)
}

// Closed ends all that was open on the connection.
func (c *connection) Closed(*netio.Conn, error) {
	switch {
	case c.closeReason != core.OutcomeUnknown:
	case len(c.streams) == 0:
		c.closeReason = core.OutcomeIdleClosed
	default:
		c.closeReason = core.OutcomeConnectionReset
	}
	c.disconnected(c.closeReason)
}

// disconnected ends all that was open on the connection with one outcome.
func (c *connection) disconnected(outcome core.Outcome) {
	c.retired = true
	c.socket = nil
	c.incoming.timer.Stop()
	c.backend.counters.Add("links.ended." + outcome.String())
	c.engine.Remove(c)
	if c.healthCheck != nil {
		c.healthCheck.finish(outcome, policy.LoadReport{})
	}
	for _, s := range c.streamsInOrder() {
		switch {
		case !c.holds(s):
		case s.settling():
			c.settle(s, core.OutcomeCancelled)
		default:
			delete(c.streams, s.attempt.Request.ID)
			c.backend.core.EndAttempt(s.attempt, outcome, core.Report{})
		}
	}
}
