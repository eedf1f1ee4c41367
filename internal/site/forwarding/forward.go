package forwarding

import (
	"slices"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/site/message"
	"gannetspur/policy"
)

// forwardedRequest is a request from a client of this gateway that was forwarded to another site
// and has not been answered yet.
type forwardedRequest struct {
	request         *core.Request
	link            *Link
	stream          uint32        // stream of the request on link
	sentAt          time.Duration // time of the core's clock at which it was forwarded
	grant           int           // number of sends to engines that the other site may make
	rejectedLocally bool          // this site rejected it before it was forwarded
	work            float64       // expected work in core-seconds
}

// query describes a request for the forwarding decisions. Where the request carries no work estimate,
// it uses the typical work of the class or, while that is unknown, a third of the class's latency
// objective on each of its threads.
func (s *Service) query(r *core.Request, rejectedLocally bool) decide.Query {
	class, now := s.classes[r.Class], s.clock.Now()
	q := decide.Query{
		Class: r.Class, Idempotency: decide.Idempotency(class.Idempotency), Work: r.Work.Seconds(), PriorityWeight: class.PriorityWeight, DataSet: r.DataSet, Remaining: r.Deadline - now,
		Forwarded: r.FromOtherSite, RejectedLocally: rejectedLocally, Attempts: r.SendCount(), DedupWindow: class.DedupWindow,
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

// ForwardOnArrival decides whether a request that has just arrived is forwarded. It returns true if it
// forwarded the request, or completed it as failed because a repeat of its idempotency key is not safe.
func (s *Service) ForwardOnArrival(r *core.Request) bool {
	s.meter.RecordArrival(s.clock.Now(), r.Class)
	if r.MaxSends == 0 {
		r.MaxSends = s.cfg.MaxAttempts
	}
	if s.failUnsafeRepeat(r) {
		return true
	}
	return s.forward(r, false)
}

// ForwardRejected decides whether a request that this site rejected is forwarded, and returns true if
// it was.
func (s *Service) ForwardRejected(r *core.Request) bool {
	s.meter.RecordRejection(s.clock.Now(), r.Class)
	return s.forward(r, true)
}

// forward chooses a destination for a request and sends the request there. It returns false if the
// request stays at this site. Requests with a serial key always stay, because only this gateway keeps
// the order of that key.
func (s *Service) forward(r *core.Request, rejected bool) bool {
	if r.FromOtherSite || r.Streaming || r.SerialKey != "" || len(s.peers) == 0 {
		return false
	}
	now := s.clock.Now()
	q := s.query(r, rejected)
	choose := s.opts.Choose
	if choose == nil {
		choose = func(now time.Duration, q *decide.Query, freeCapacity float64, peers []*decide.Peer) decide.Choice {
			return s.chooser.Choose(s.cfg, now, q, freeCapacity, peers)
		}
	}
	choice := choose(now, &q, s.meter.FreeCapacityFor(now, &q), s.peerStates)
	return choice.Destination == decide.Remote && s.send(r, &q, s.peers[choice.Peer])
}

// failUnsafeRepeat completes a request as failed, and returns true, if its idempotency key may already
// have run and a repeat is not safe: the key's deduplication window is over, or no engine of this site
// would recognize the repeat. This protects against a client that retries at another gateway with the
// same key.
func (s *Service) failUnsafeRepeat(r *core.Request) bool {
	if r.IdempotencyKey == "" {
		return false
	}
	first, origin, known := s.keys.FirstSend(s.clock.Now(), r.IdempotencyKey)
	switch {
	case !known:
	case origin == decide.OtherSite:
		s.core.RecordRemoteSend(r, first)
	case len(r.PriorAttempts) == 0: // the core does not know at which engine
		s.core.RecordLocalSend(r, first)
	}
	if len(r.PriorAttempts) == 0 {
		return false
	}
	q := s.query(r, false)
	q.Attempts = 0
	ranAtOtherSite := slices.ContainsFunc(r.PriorAttempts, func(a policy.PriorAttempt) bool { return a.OtherSite })
	q.DedupNotShared = q.DedupNotShared && ranAtOtherSite
	if decide.MayAttempt(s.cfg, &q, 0) {
		return false
	}
	s.counters.Inc("site.key-over")
	s.core.CompleteForwarded(r, core.Answer{Verdict: core.Failed, Sent: true})
	return true
}

// send forwards a request to a peer. It returns false if that is not possible: there is no link that
// accepts it, too little time remains, or the statement cannot be encoded or is too large.
func (s *Service) send(r *core.Request, q *decide.Query, p *peer) bool {
	l := p.openLink()
	if l == nil {
		return false
	}
	now := s.clock.Now()
	remaining, ok := decide.RemainingAfter(s.cfg, r.Deadline-now, p.OneWayDelay())
	statement, err := s.opts.Codec.Statement(r.Statement)
	if !ok || err != nil || len(statement) == 0 || len(statement) > message.MaxBodySize {
		return false
	}
	class := s.classes[r.Class]
	m := message.Request{
		ID: r.ID, Class: r.Class, Idempotency: uint8(class.Idempotency), IdempotencyKey: r.IdempotencyKey, DataSet: r.DataSet, RemainingUS: remaining.Microseconds(), WorkUS: r.Work.Microseconds(),
		MemoryMB: r.MemoryMB, ClientRetry: r.ClientRetry, MaxSends: min(decide.AttemptGrant(s.cfg, q), message.MaxSends),
	}
	if q.MayHaveRun {
		m.FirstSentAgoUS = q.SinceFirstAttempt.Microseconds() + 1
	}
	if l.compress {
		statement, m.UncompressedSize = s.packer.Pack(statement)
	}
	s.core.BeginForwarding(r)
	id, ok, err := l.mux.Request(m, statement)
	if err != nil || !ok {
		s.core.ForwardingFailed(r)
		return false
	}
	f := &forwardedRequest{request: r, link: l, stream: id, sentAt: now, grant: m.MaxSends, rejectedLocally: q.RejectedLocally, work: q.Work}
	l.forwarded[id], s.forwarded[r] = f, f
	r.PriorSends += f.grant // unused sends are subtracted when the response reports its send count
	if r.IdempotencyKey != "" {
		s.keys.Record(now, r.IdempotencyKey, now, decide.OtherSite)
	}
	s.counters.Inc("site.crossed." + r.Class)
	s.hedge.RecordForward(now)
	s.core.Forwarded(r, r.Deadline-s.opts.Settings.CallInterval)
	if delay, known := s.hedge.Delay(r.Class); known && class.Idempotency == policy.Idempotent && now+delay < r.Deadline {
		s.timers.Add(now+delay, func() { s.startHedge(f) })
	}
	return true
}

// startHedge runs a forwarded request at this site as well, if it takes much longer than usual and the
// hedging rules allow it.
func (s *Service) startHedge(f *forwardedRequest) {
	if s.forwarded[f.request] != f {
		return
	}
	now := s.clock.Now()
	q := s.query(f.request, false)
	if s.hedge.Allow(s.cfg, now, &q, s.meter.FreeCapacity(now, f.request.Class)) {
		s.counters.Inc("site.hedged." + f.request.Class)
		s.core.Hedge(f.request)
	}
}

// removeForwarded removes a forwarded request from the service and its link.
func (s *Service) removeForwarded(f *forwardedRequest) {
	delete(s.forwarded, f.request)
	delete(f.link.forwarded, f.stream)
}

// Drop cancels a request at the site that it was forwarded to, if any.
func (s *Service) Drop(r *core.Request) {
	f := s.forwarded[r]
	if f == nil {
		return
	}
	s.counters.Inc("site.given-up." + r.Class)
	s.removeForwarded(f)
	f.link.mux.Cancel(f.stream)
}

// handleFailure handles a forwarded request that ended without an answer for the client: it runs the
// request here, or reports it as rejected or failed. sends is the number of sends that the other site
// reported.
func (s *Service) handleFailure(f *forwardedRequest, failure decide.Failure, answer core.Answer, sends int) {
	now, r := s.clock.Now(), f.request
	s.removeForwarded(f)
	f.link.mux.Cancel(f.stream) // no effect if the stream was answered
	f.link.peer.RecordFailure(now)
	if failure == decide.NeverRan {
		r.PriorSends -= f.grant - min(sends, f.grant)
		s.keys.Retract(r.IdempotencyKey, f.sentAt)
		s.core.RecordRemoteNeverRan(r)
	} else {
		s.core.RecordRemoteSend(r, f.sentAt)
	}
	q := s.query(r, f.rejectedLocally)
	switch decide.AfterFailure(s.cfg, &q, failure) {
	case decide.RunLocally:
		s.counters.Inc("site.run-here." + r.Class)
		s.core.ReturnForwarded(r)
	case decide.ReportRejected:
		s.core.CompleteForwarded(r, core.Answer{Verdict: core.Rejected, RetryAfter: answer.RetryAfter})
	default:
		s.counters.Inc("site.doubt." + r.Class)
		s.core.CompleteForwarded(r, core.Answer{Verdict: core.Failed, Sent: true, EngineError: answer.EngineError})
	}
}

// HandleResponse handles the response to a forwarded request.
func (l *Link) HandleResponse(stream uint32, m message.Response, body []byte) {
	s, f := l.service, l.forwarded[stream]
	l.recordReply(0)
	if f == nil {
		s.counters.Inc("site.late")
		return
	}
	now := s.clock.Now()
	answer := core.Answer{RetryAfter: time.Duration(m.RetryAfterUS) * time.Microsecond, Sent: m.SendCount > 0}
	body, err := s.packer.Unpack(body, m.UncompressedSize)
	if err == nil && m.Verdict == message.Served {
		answer.Result, err = s.opts.Codec.ReadResult(body)
	} else if err == nil && m.IsError {
		answer.EngineError, err = s.opts.Codec.ReadDetail(body)
	}
	switch {
	case err != nil: // it may have run, but an undecodable body is not passed to the client
		s.counters.Inc("site.unreadable")
		s.log.Warn("site.unreadable", "peer", l.peer.name.String(), "error", err)
		s.handleFailure(f, decide.InDoubt, core.Answer{}, m.SendCount)
	case m.Verdict == message.Served:
		answer.Verdict = core.Served
		s.recordServed(f, now, m)
		s.core.CompleteForwarded(f.request, answer)
	case !m.MayHaveRun && (m.Verdict == message.Rejected || !m.IsError):
		s.counters.Inc("site.turned-away-there." + f.request.Class)
		s.handleFailure(f, decide.NeverRan, answer, m.SendCount)
	case m.IsError: // the engine rejected the statement; another engine would return the same error
		s.removeForwarded(f)
		if m.MayHaveRun {
			s.core.RecordRemoteSend(f.request, f.sentAt)
		}
		s.core.CompleteForwarded(f.request, answer)
	default:
		s.handleFailure(f, decide.InDoubt, answer, m.SendCount)
	}
}

// recordServed removes a forwarded request that was served, subtracts its unused sends, and updates the
// statistics of the peer and the hedger.
func (s *Service) recordServed(f *forwardedRequest, now time.Duration, m message.Response) {
	s.removeForwarded(f)
	f.request.PriorSends -= f.grant - min(m.SendCount, f.grant)
	f.link.peer.RecordSuccess(now)
	s.hedge.RecordLatency(f.request.Class, now-f.sentAt)
	s.counters.Inc("site.served-there." + f.request.Class)
}
