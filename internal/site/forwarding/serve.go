package forwarding

import (
	"gannetspur/internal/core"
	"gannetspur/internal/site/message"
	"gannetspur/policy"
	"time"
)

// servedRequest is a request from another site that this site serves. It is the request's core client
// and sends the answer back over the link.
type servedRequest struct {
	link    *Link
	stream  uint32
	request *core.Request
}

// HandleRequest starts a request from another site, or rejects it if the sites' settings for its class
// differ, it cannot be decoded, this site is draining, or it has no capacity.
func (l *Link) HandleRequest(stream uint32, m message.Request, statement []byte) {
	s := l.service
	now := s.clock.Now()
	class, ok := s.core.Class(m.Class)
	reject := func(reason string) {
		s.counters.Inc("site.not-taken." + reason)
		l.answer(stream, message.Response{Verdict: uint8(core.Rejected)}, nil)
	}
	raw, err := s.packer.Unpack(statement, m.UncompressedSize)
	var read core.Statement
	if err == nil {
		read, err = s.opts.Codec.ReadStatement(raw)
	}
	switch {
	case !ok || uint8(class.Idempotency) != m.Idempotency: // with different settings it is unknown whether a repeat is safe
		reject("class")
		return
	case err != nil || class.Idempotency == policy.IdempotentWithKey && m.IdempotencyKey == "":
		reject("unreadable")
		return
	case s.draining || s.shuttingDown:
		reject("draining")
		return
	}
	microseconds := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	r := &core.Request{
		ID: m.ID, Class: m.Class, IdempotencyKey: m.IdempotencyKey, Statement: read, DataSet: m.DataSet, Deadline: now + microseconds(m.RemainingUS), Work: microseconds(m.WorkUS), MemoryMB: m.MemoryMB,
		ClientRetry: m.ClientRetry, FromOtherSite: true, MaxSends: m.MaxSends,
	}
	if m.FirstSentAgoUS > 0 {
		s.core.RecordRemoteSend(r, max(now-microseconds(m.FirstSentAgoUS-1)-l.peer.OneWayDelay(), 1))
	}
	q := s.query(r, false)
	l.peer.requestedWork += q.Work
	if s.opts.Choose == nil && !s.meter.Accepts(now, &q) {
		reject("no-room")
		return
	}
	f := &servedRequest{link: l, stream: stream, request: r}
	r.Client = f
	l.served[stream] = f
	s.counters.Inc("site.taken." + m.Class)
	s.core.Accept(r)
}

// HandleCancel cancels a request that the other site no longer needs.
func (l *Link) HandleCancel(stream uint32) {
	if f := l.served[stream]; f != nil {
		delete(l.served, stream)
		l.service.counters.Inc("site.cancelled." + f.request.Class)
		l.service.core.ClientDisconnected(f.request)
	}
}

// Answer sends the final answer to the other site, as failed if a result cannot be encoded or is too
// large. It does nothing if the request was cancelled or its link is closed.
func (f *servedRequest) Answer(r *core.Request, a core.Answer) {
	l, s := f.link, f.link.service
	if l.served[f.stream] != f {
		return
	}
	delete(l.served, f.stream)
	m := message.Response{
		Verdict: uint8(a.Verdict), MayHaveRun: r.MayHaveRunHere(), SendCount: min(r.SendCount(), message.MaxSends), RetryAfterUS: a.RetryAfter.Microseconds(), DeadlinePassed: a.DeadlinePassed,
	}
	var body []byte
	if a.Verdict == core.Served {
		var err error
		if body, err = s.opts.Codec.Result(a.Result); err != nil || len(body) > message.MaxBodySize {
			s.counters.Inc("site.unwritable")
			m.Verdict, body = uint8(core.Failed), nil
		}
	} else if a.EngineError != nil {
		body = s.opts.Codec.Detail(a.EngineError)
		m.IsError = len(body) > 0
	}
	if l.compress {
		body, m.UncompressedSize = s.packer.Pack(body)
	}
	l.answer(f.stream, m, body)
}

// answer sends a response, and closes the link if the response cannot be encoded.
func (l *Link) answer(stream uint32, m message.Response, body []byte) {
	if err := l.mux.Respond(stream, m, body); err != nil {
		l.transport.Close(err)
	}
}
