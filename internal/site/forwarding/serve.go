package forwarding

import (
	"gannetspur/internal/core"
	"gannetspur/internal/site/message"
	"gannetspur/policy"
	"time"
)

// servedRequest is a request of another site that is here. It is its client.
type servedRequest struct {
	link   *Link
	stream uint32
	r      *core.Request
}

// HandleRequest takes a request of another site.
func (l *Link) HandleRequest(stream uint32, a message.Request, statement []byte) {
	s := l.service
	now := s.clock.Now()
	class, ok := s.core.Class(a.Class)
	refuse := func(why string) {
		s.stats.Inc("site.not-taken." + why)
		l.answer(stream, message.Response{Verdict: uint8(core.Rejected)}, nil)
	}
	raw, err := s.packer.Unpack(statement, a.UncompressedSize)
	var read core.Statement
	if err == nil {
		read, err = s.opts.Codec.ReadStatement(raw)
	}
	switch {
	case !ok || uint8(class.Idempotency) != a.Idempotency: // the sites' settings differ: nothing is known of what a repeat would do
		refuse("class")
		return
	case err != nil || class.Idempotency == policy.IdempotentWithKey && a.IdempotencyKey == "":
		refuse("unreadable")
		return
	case s.draining || s.leaving:
		refuse("draining")
		return
	}
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	r := &core.Request{
		ID: a.ID, Class: a.Class, IdempotencyKey: a.IdempotencyKey, Statement: read, DataSet: a.DataSet, Deadline: now + us(a.RemainingUS), Work: us(a.WorkUS), MemoryMB: a.MemoryMB,
		ClientRetry: a.ClientRetry, FromOtherSite: true, MaxSends: a.MaxSends,
	}
	if a.FirstSentAgoUS > 0 {
		r.PriorSentAt = max(now-us(a.FirstSentAgoUS-1)-l.peer.OneWayDelay(), 1)
	}
	q := s.query(r, false)
	l.peer.requestedWork += q.Work
	if s.opts.Choose == nil && !s.meter.Accepts(now, &q) {
		refuse("no-room")
		return
	}
	f := &servedRequest{link: l, stream: stream, r: r}
	r.Client = f
	l.served[stream] = f
	s.stats.Inc("site.taken." + a.Class)
	s.core.Accept(r)
}

// HandleCancel takes that the other site gave a request up.
func (l *Link) HandleCancel(stream uint32) {
	if f := l.served[stream]; f != nil {
		delete(l.served, stream)
		l.service.stats.Inc("site.cancelled." + f.r.Class)
		l.service.core.ClientDisconnected(f.r)
	}
}

// Answer gives the other site the final answer.
func (f *servedRequest) Answer(r *core.Request, a core.Answer) {
	l, s := f.link, f.link.service
	if l.served[f.stream] != f {
		return
	}
	delete(l.served, f.stream)
	h := message.Response{
		Verdict: uint8(a.Verdict), MayHaveRun: r.MayHaveRunHere(), SendCount: min(r.SendCount(), message.MaxSends), RetryAfterUS: a.RetryAfter.Microseconds(), DeadlinePassed: a.DeadlinePassed,
	}
	var body []byte
	if a.Verdict == core.Served {
		var err error
		if body, err = s.opts.Codec.Result(a.Result); err != nil || len(body) > message.MaxBodySize {
			s.stats.Inc("site.unwritable")
			h.Verdict, body = uint8(core.Failed), nil
		}
	} else if a.EngineError != nil {
		body = s.opts.Codec.Detail(a.EngineError)
		h.IsError = len(body) > 0
	}
	if l.packs {
		body, h.UncompressedSize = s.packer.Pack(body)
	}
	l.answer(f.stream, h, body)
}

func (l *Link) answer(stream uint32, h message.Response, body []byte) {
	if err := l.mux.Respond(stream, h, body); err != nil {
		l.transport.Close(err)
	}
}
