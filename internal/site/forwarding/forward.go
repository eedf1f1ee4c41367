package forwarding

import (
	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/site/message"
	"gannetspur/policy"
	"time"
)

// forwardedRequest is a request of this site that is at another.
type forwardedRequest struct {
	r      *core.Request
	link   *Link
	stream uint32
	at     time.Duration
	grant  int // sends that the other side may make
	turned bool
	work   float64
}

// query is what the decisions need of a request.
func (s *Service) query(r *core.Request, turned bool) decide.Query {
	class, now := s.classes[r.Class], s.clock.Now()
	q := decide.Query{
		Class: r.Class, Idempotency: decide.Idempotency(class.Idempotency), Work: r.Work.Seconds(), PriorityWeight: class.PriorityWeight, DataSet: r.DataSet, Remaining: r.Deadline - now,
		Forwarded: r.FromOtherSite, RejectedLocally: turned, Attempts: r.SendCount(), DedupWindow: class.DedupWindow,
		DedupNotShared: class.Idempotency == policy.IdempotentWithKey && (class.DedupScope != policy.DedupAll || !s.cfg.SharedDedup),
	}
	if q.Work <= 0 {
		if q.Work = s.meter.TypicalWork(r.Class); q.Work <= 0 {
			q.Work = class.LatencyObjective.Seconds() / 3 * max(class.Threads, 1)
		}
	}
	if first := r.FirstSentAt(); first > 0 {
		q.MayHaveRun, q.SinceFirstAttempt = true, now-first
	}
	return q
}

// ForwardOnArrival takes a request that has just come to another site, or settles it, where
// that is decided.
func (s *Service) ForwardOnArrival(r *core.Request) bool {
	s.meter.RecordArrival(s.clock.Now(), r.Class)
	if r.MaxSends == 0 {
		r.MaxSends = s.cfg.MaxAttempts
	}
	if s.isTooLate(r) {
		return true
	}
	return s.forward(r, false)
}

// ForwardRejected takes a request that was rejected here to another site, where that is decided.
func (s *Service) ForwardRejected(r *core.Request) bool {
	s.meter.RecordRejection(s.clock.Now(), r.Class)
	return s.forward(r, true)
}

func (s *Service) forward(r *core.Request, rejected bool) bool {
	if r.FromOtherSite || r.Streaming || r.SerialKey != "" || len(s.peers) == 0 { // the turns of a key are this gateway's to keep
		return false
	}
	now := s.clock.Now()
	q := s.query(r, rejected)
	choose := s.opts.Choose
	if choose == nil {
		choose = func(now time.Duration, q *decide.Query, room float64, peers []*decide.Peer) decide.Choice {
			return s.chooser.Choose(s.cfg, now, q, room, peers)
		}
	}
	choice := choose(now, &q, s.meter.FreeCapacityFor(now, &q), s.views)
	return choice.Destination == decide.Remote && s.send(r, &q, s.peers[choice.Peer])
}

// isTooLate settles a request whose key may have run, once its window is over, or where no engine
// of this site would drop its repeat. Guards against a client that turns to another gateway
// with the same key.
func (s *Service) isTooLate(r *core.Request) bool {
	if r.IdempotencyKey == "" {
		return false
	}
	first, origin, known := s.keys.FirstSend(s.clock.Now(), r.IdempotencyKey)
	if known {
		s.core.RecordRemoteSend(r, first)
	}
	if r.PriorSentAt == 0 {
		return false
	}
	q := s.query(r, false)
	q.Attempts = 0
	q.DedupNotShared = q.DedupNotShared && origin == decide.OtherSite
	if decide.MayAttempt(s.cfg, &q, 0) {
		return false
	}
	s.stats.Inc("site.key-over")
	s.core.CompleteForwarded(r, core.Answer{Verdict: core.Failed, Sent: true})
	return true
}

// send takes a request to a peer. It tells whether it is on its way.
func (s *Service) send(r *core.Request, q *decide.Query, p *peer) bool {
	l := p.openLink()
	if l == nil {
		return false
	}
	now := s.clock.Now()
	left, ok := decide.RemainingAfter(s.cfg, r.Deadline-now, p.OneWayDelay())
	statement, err := s.opts.Codec.Statement(r.Statement)
	if !ok || err != nil || len(statement) == 0 || len(statement) > message.MaxBodySize {
		return false
	}
	class := s.classes[r.Class]
	a := message.Request{
		ID: r.ID, Class: r.Class, Idempotency: uint8(class.Idempotency), IdempotencyKey: r.IdempotencyKey, DataSet: r.DataSet, RemainingUS: left.Microseconds(), WorkUS: r.Work.Microseconds(),
		MemoryMB: r.MemoryMB, ClientRetry: r.ClientRetry, MaxSends: min(decide.AttemptGrant(s.cfg, q), message.MaxSends),
	}
	if q.MayHaveRun {
		a.FirstSentAgoUS = q.SinceFirstAttempt.Microseconds() + 1
	}
	if l.packs {
		statement, a.UncompressedSize = s.packer.Pack(statement)
	}
	id, ok, err := l.mux.Request(a, statement)
	if err != nil || !ok {
		return false
	}
	c := &forwardedRequest{r: r, link: l, stream: id, at: now, grant: a.MaxSends, turned: q.RejectedLocally, work: q.Work}
	l.forwarded[id], s.forwarded[r] = c, c
	r.PriorSends += c.grant // given back where the answer says that it took fewer
	if r.IdempotencyKey != "" {
		s.keys.Record(now, r.IdempotencyKey, now, decide.OtherSite)
	}
	s.stats.Inc("site.crossed." + r.Class)
	s.hedge.RecordForward(now)
	s.core.Forwarded(r, r.Deadline-s.opts.Settings.CallInterval)
	if after, known := s.hedge.Delay(r.Class); known && class.Idempotency == policy.Idempotent && now+after < r.Deadline {
		s.timers.Add(now+after, func() { s.expire(c) })
	}
	return true
}

// expire has a crossing that takes far longer than usual run here as well, where that is permitted.
func (s *Service) expire(c *forwardedRequest) {
	if s.forwarded[c.r] != c {
		return
	}
	now := s.clock.Now()
	q := s.query(c.r, false)
	if s.hedge.Allow(s.cfg, now, &q, s.meter.FreeCapacity(now, c.r.Class)) {
		s.stats.Inc("site.hedged." + c.r.Class)
		s.core.Hedge(c.r)
	}
}

// forget takes a crossing out of the books.
func (s *Service) forget(c *forwardedRequest) {
	delete(s.forwarded, c.r)
	delete(c.link.forwarded, c.stream)
}

// Drop gives up what is at another site.
func (s *Service) Drop(r *core.Request) {
	c := s.forwarded[r]
	if c == nil {
		return
	}
	s.stats.Inc("site.given-up." + r.Class)
	s.forget(c)
	c.link.mux.Cancel(c.stream)
}

// end takes the end of a crossing that has brought no answer for the client.
func (s *Service) end(c *forwardedRequest, end decide.Failure, a core.Answer, sends int) {
	now, r := s.clock.Now(), c.r
	s.forget(c)
	c.link.mux.Cancel(c.stream) // one that was answered is no more
	c.link.peer.RecordFailure(now)
	if end == decide.NeverRan {
		r.PriorSends -= c.grant - min(sends, c.grant)
		s.keys.Retract(r.IdempotencyKey, c.at)
	} else {
		s.core.RecordRemoteSend(r, c.at)
	}
	q := s.query(r, c.turned)
	switch decide.AfterFailure(s.cfg, &q, end) {
	case decide.RunLocally:
		s.stats.Inc("site.run-here." + r.Class)
		s.core.ReturnForwarded(r)
	case decide.ReportRejected:
		s.core.CompleteForwarded(r, core.Answer{Verdict: core.Rejected, RetryAfter: a.RetryAfter})
	default:
		s.stats.Inc("site.doubt." + r.Class)
		s.core.CompleteForwarded(r, core.Answer{Verdict: core.Failed, Sent: true, EngineError: a.EngineError})
	}
}

// HandleResponse takes what became of a request at the other side.
func (l *Link) HandleResponse(stream uint32, a message.Response, body []byte) {
	s, c := l.service, l.forwarded[stream]
	l.recordReply(0)
	if c == nil {
		s.stats.Inc("site.late")
		return
	}
	now := s.clock.Now()
	answer := core.Answer{RetryAfter: time.Duration(a.RetryAfterUS) * time.Microsecond, Sent: a.SendCount > 0}
	body, err := s.packer.Unpack(body, a.UncompressedSize)
	if err == nil && a.Verdict == 2 {
		answer.Result, err = s.opts.Codec.ReadResult(body)
	} else if err == nil && a.IsError {
		answer.EngineError, err = s.opts.Codec.ReadDetail(body)
	}
	switch {
	case err != nil: // it ran, and nothing spoilt is passed on
		s.stats.Inc("site.unreadable")
		s.log.Warn("site.unreadable", "peer", l.peer.name.String(), "error", err)
		s.end(c, decide.InDoubt, core.Answer{}, a.SendCount)
	case a.Verdict == 2:
		answer.Verdict = core.Served
		s.recordServed(c, now, a)
		s.core.CompleteForwarded(c.r, answer)
	case !a.MayHaveRun && (a.Verdict == 1 || !a.IsError):
		s.stats.Inc("site.turned-away-there." + c.r.Class)
		s.end(c, decide.NeverRan, answer, a.SendCount)
	case a.IsError: // an engine's word on the statement: another would say the same
		s.forget(c)
		if a.MayHaveRun {
			s.core.RecordRemoteSend(c.r, c.at)
		}
		s.core.CompleteForwarded(c.r, answer)
	default:
		s.end(c, decide.InDoubt, answer, a.SendCount)
	}
}

func (s *Service) recordServed(c *forwardedRequest, now time.Duration, a message.Response) {
	s.forget(c)
	c.r.PriorSends -= c.grant - min(a.SendCount, c.grant)
	c.link.peer.RecordSuccess(now)
	s.hedge.RecordLatency(c.r.Class, now-c.at)
	s.stats.Inc("site.served-there." + c.r.Class)
}
