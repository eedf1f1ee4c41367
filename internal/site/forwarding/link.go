package forwarding

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/site/message"
	"gannetspur/internal/site/mux"
	"gannetspur/policy"
)

// Transport is a link's socket, or what stands in for one.
type Transport interface {
	// Ready tells that there is something to Pull, where there was nothing.
	Ready()
	// Close ends it. Link.Closed follows, later.
	Close(why error)
}

// Link is one link to a peer whose name is proven.
type Link struct {
	s        *Service
	peer     *peer
	mux      *mux.Link
	t        Transport
	since    time.Duration
	dialled  bool
	greeted  bool
	closed   bool
	leftAt   time.Duration // this side wants new streams elsewhere since; 0: it does not
	theyLeft time.Duration // the other side does
	packs    bool          // the other side reads packed bodies
	mine     map[uint32]*crossed
	theirs   map[uint32]*foreign
	pings    [pingsOut]ping
	pinged   uint32
}

type ping struct {
	number uint32
	at     time.Duration
}

// crossed is a request of this site that is at another.
type crossed struct {
	r      *core.Request
	link   *Link
	stream uint32
	at     time.Duration
	grant  int // sends that the other side may make
	turned bool
	work   float64
}

// foreign is a request of another site that is here. It is its client.
type foreign struct {
	link   *Link
	stream uint32
	r      *core.Request
}

// ErrPeer is a peer that isn't one of the settings', or isn't who it says it is.
var ErrPeer = errors.New("site link: the other side is no peer")

// leftFor is how long a link that was left stays open at least.
const leftFor = 2 * time.Second

// ErrSilent ends a link on which no reply has come for long.
var ErrSilent = errors.New("site link: silent")

// Connect takes a link to a peer whose name was proven, from its first byte.
func (s *Service) Connect(t Transport, name Name, dialled bool) (*Link, error) {
	p := s.peer(name)
	if p == nil {
		return nil, fmt.Errorf("%w: %s is not among the settings' peers", ErrPeer, name)
	}
	l := &Link{s: s, peer: p, t: t, since: s.clock.Now(), dialled: dialled, mine: map[uint32]*crossed{}, theirs: map[uint32]*foreign{}}
	var err error
	l.mux, err = mux.New(mux.Config{Dialled: dialled, MaxHeldBytes: s.opts.Held, Hello: message.Hello{
		Site: s.opts.Name.Site, Gateway: s.opts.Name.Gateway, Incarnation: s.opts.Start, Format: s.opts.Codec.Form(), AcceptsZstd: s.packer.dec != nil,
	}}, l)
	if err != nil {
		return nil, err
	}
	p.links = append(p.links, l)
	return l, nil
}

// Input takes what has come; see mux.Link.Input. The transport ends the link on an error.
func (l *Link) Input(b []byte) (int, error) {
	late := l.mux.LateFrames
	n, err := l.mux.Input(b)
	for range l.mux.LateFrames - late {
		l.s.stats.Add("site.late")
	}
	return n, err
}

// Pull appends what is to go out; see mux.Link.Pull.
func (l *Link) Pull(b []byte, about int) []byte { return l.mux.Pull(b, about) }

// Waiting tells whether there is something to Pull.
func (l *Link) Waiting() bool { return l.mux.HasOutput() }

// Idle tells whether nothing is open on it.
func (l *Link) Idle() bool { return len(l.mine)+len(l.theirs) == 0 }

// OutputReady passes on that there is something to Pull.
func (l *Link) OutputReady() { l.t.Ready() }

// fresh tells whether neither side has left the link.
func (l *Link) fresh() bool { return l.greeted && !l.closed && l.leftAt == 0 && l.theyLeft == 0 }

// Renew has the peer dial another link for what comes next: this one was made with keys that
// were replaced.
func (l *Link) Renew() {
	if l.greeted {
		l.leave()
	}
}

func (l *Link) leave() {
	if l.leftAt == 0 {
		l.leftAt = max(l.s.clock.Now(), 1)
		l.mux.GoAway()
	}
}

// done tells whether the link is of no use any more: left, with nothing open for a while that
// covers what may be on its way.
func (l *Link) done(now time.Duration) bool {
	left := max(l.leftAt, l.theyLeft)
	return left > 0 && now-left > leftFor && l.Idle() && !l.s.leaving
}

// Closed tells that the link is no more. What is at the other side is in doubt; what is here
// for it has no client any more.
func (l *Link) Closed() {
	if l.closed {
		return
	}
	l.closed = true
	l.peer.links = slices.DeleteFunc(l.peer.links, func(o *Link) bool { return o == l })
	if l.peer.SetConnected(len(l.peer.links) > 0); l.theyLeft > 0 && len(l.peer.links) == 0 {
		l.peer.RecordDeparture()
	}
	l.takeBack("broken")
	for _, id := range sorted(l.theirs) {
		f := l.theirs[id]
		delete(l.theirs, id)
		l.s.core.ClientDisconnected(f.r)
	}
	l.s.watch(l.peer, l.s.clock.Now())
}

// takeBack ends all that is at the other side, in doubt.
func (l *Link) takeBack(why string) {
	for _, id := range sorted(l.mine) {
		if c := l.mine[id]; c != nil {
			l.s.stats.Add("site.taken-back." + why)
			l.s.end(c, decide.InDoubt, core.Answer{}, 0)
		}
	}
}

func sorted[V any](m map[uint32]V) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// HandleHello checks who the other side says that it is.
func (l *Link) HandleHello(g message.Hello) error {
	if n := (Name{g.Site, g.Gateway}); n != l.peer.name {
		return fmt.Errorf("%w: it says that it is %s, and has proven to be %s", ErrPeer, n, l.peer.name)
	}
	if form := l.s.opts.Codec.Form(); g.Format != form {
		return fmt.Errorf("%w: it speaks %s, and this side %s", ErrPeer, g.Format, form)
	}
	l.greeted, l.packs = true, g.AcceptsZstd && l.s.packer.enc != nil
	l.peer.SetConnected(true)
	l.s.log.Info("site.linked", "peer", l.peer.name.String(), "start", g.Incarnation)
	if l.s.leaving {
		l.leave()
	}
	for _, old := range l.peer.links {
		if old != l && old.greeted && old.dialled && l.dialled { // this one is in its place
			old.leave()
		}
	}
	l.ping(l.s.clock.Now())
	return nil
}

func (l *Link) heard(rtt time.Duration) { l.peer.RecordReply(l.s.cfg, l.s.clock.Now(), rtt) }

func (l *Link) ping(now time.Duration) {
	l.pinged++
	l.pings[l.pinged%pingsOut] = ping{l.pinged, now}
	l.mux.Ping(l.pinged)
}

// HandlePong measures a round trip. A number that is not out, or was already, measures nothing.
func (l *Link) HandlePong(number uint32) {
	p := &l.pings[number%pingsOut]
	if p.number != number || p.at == 0 {
		return
	}
	rtt := l.s.clock.Now() - p.at
	p.at = 0
	l.heard(max(rtt, 1))
}

func (l *Link) digest(number uint32, d message.LoadReport) {
	if err := l.mux.SendLoadReport(number, d); err != nil {
		l.t.Close(err)
	}
}

func (l *Link) tell(k message.SentKeys) {
	if err := l.mux.SendKeys(k); err != nil {
		l.t.Close(err)
	}
}

// HandleLoadReport takes what the peer says of itself.
func (l *Link) HandleLoadReport(d message.LoadReport) {
	l.peer.RecordDigest(l.s.cfg, l.s.clock.Now(), decide.Digest{FreeCapacity: d.FreeCapacity, AcceptableWork: d.WorkSeconds, Draining: d.Draining})
}

// HandleSentKeys takes that keys were sent to engines at the peer's site, the way here included.
func (l *Link) HandleSentKeys(k message.SentKeys) {
	now := l.s.clock.Now()
	for _, one := range k.Keys {
		l.s.keys.Record(now, one.Key, now-time.Duration(one.AgoUS)*time.Microsecond-l.peer.OneWayDelay(), decide.OtherSite)
	}
}

// HandleGoAway takes that the other side wants new streams on another link, which the side that dials
// makes. Where it closes this one and there is no other, it has left.
func (l *Link) HandleGoAway() { l.theyLeft = max(l.s.clock.Now(), 1) }

// send takes a request to a peer. It tells whether it is on its way.
func (s *Service) send(r *core.Request, q *decide.Query, p *peer) bool {
	l := p.link()
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
	c := &crossed{r: r, link: l, stream: id, at: now, grant: a.MaxSends, turned: q.RejectedLocally, work: q.Work}
	l.mine[id], s.away[r] = c, c
	r.PriorSends += c.grant // given back where the answer says that it took fewer
	if r.IdempotencyKey != "" {
		s.keys.Record(now, r.IdempotencyKey, now, decide.OtherSite)
	}
	s.stats.Add("site.crossed." + r.Class)
	s.hedge.RecordForward(now)
	s.core.Forwarded(r, r.Deadline-s.opts.Settings.CallInterval)
	if after, known := s.hedge.Delay(r.Class); known && class.Idempotency == policy.Idempotent && now+after < r.Deadline {
		s.timers.Add(now+after, func() { s.late(c) })
	}
	return true
}

// late has a crossing that takes far longer than usual run here as well, where that is permitted.
func (s *Service) late(c *crossed) {
	if s.away[c.r] != c {
		return
	}
	now := s.clock.Now()
	q := s.query(c.r, false)
	if s.hedge.Allow(s.cfg, now, &q, s.meter.FreeCapacity(now, c.r.Class)) {
		s.stats.Add("site.hedged." + c.r.Class)
		s.core.Hedge(c.r)
	}
}

// over takes a crossing out of the books.
func (s *Service) over(c *crossed) {
	delete(s.away, c.r)
	delete(c.link.mine, c.stream)
}

// Drop gives up what is at another site.
func (s *Service) Drop(r *core.Request) {
	c := s.away[r]
	if c == nil {
		return
	}
	s.stats.Add("site.given-up." + r.Class)
	s.over(c)
	c.link.mux.Cancel(c.stream)
}

// end takes the end of a crossing that has brought no answer for the client.
func (s *Service) end(c *crossed, end decide.Failure, a core.Answer, sends int) {
	now, r := s.clock.Now(), c.r
	s.over(c)
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
		s.stats.Add("site.run-here." + r.Class)
		s.core.ReturnForwarded(r)
	case decide.ReportRejected:
		s.core.CompleteForwarded(r, core.Answer{Verdict: core.Rejected, RetryAfter: a.RetryAfter})
	default:
		s.stats.Add("site.doubt." + r.Class)
		s.core.CompleteForwarded(r, core.Answer{Verdict: core.Failed, Sent: true, EngineError: a.EngineError})
	}
}

// HandleResponse takes what became of a request at the other side.
func (l *Link) HandleResponse(stream uint32, a message.Response, body []byte) {
	s, c := l.s, l.mine[stream]
	l.heard(0)
	if c == nil {
		s.stats.Add("site.late")
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
		s.stats.Add("site.unreadable")
		s.log.Warn("site.unreadable", "peer", l.peer.name.String(), "error", err)
		s.end(c, decide.InDoubt, core.Answer{}, a.SendCount)
	case a.Verdict == 2:
		answer.Verdict = core.Served
		s.served(c, now, a)
		s.core.CompleteForwarded(c.r, answer)
	case !a.MayHaveRun && (a.Verdict == 1 || !a.IsError):
		s.stats.Add("site.turned-away-there." + c.r.Class)
		s.end(c, decide.NeverRan, answer, a.SendCount)
	case a.IsError: // an engine's word on the statement: another would say the same
		s.over(c)
		if a.MayHaveRun {
			s.core.RecordRemoteSend(c.r, c.at)
		}
		s.core.CompleteForwarded(c.r, answer)
	default:
		s.end(c, decide.InDoubt, answer, a.SendCount)
	}
}

func (s *Service) served(c *crossed, now time.Duration, a message.Response) {
	s.over(c)
	c.r.PriorSends -= c.grant - min(a.SendCount, c.grant)
	c.link.peer.RecordSuccess(now)
	s.hedge.RecordLatency(c.r.Class, now-c.at)
	s.stats.Add("site.served-there." + c.r.Class)
}

// HandleRequest takes a request of another site.
func (l *Link) HandleRequest(stream uint32, a message.Request, statement []byte) {
	s := l.s
	now := s.clock.Now()
	class, ok := s.core.Class(a.Class)
	refuse := func(why string) {
		s.stats.Add("site.not-taken." + why)
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
	l.peer.asked += q.Work
	if s.opts.Choose == nil && !s.meter.Accepts(now, &q) {
		refuse("no-room")
		return
	}
	f := &foreign{link: l, stream: stream, r: r}
	r.Client = f
	l.theirs[stream] = f
	s.stats.Add("site.taken." + a.Class)
	s.core.Accept(r)
}

// HandleCancel takes that the other site gave a request up.
func (l *Link) HandleCancel(stream uint32) {
	if f := l.theirs[stream]; f != nil {
		delete(l.theirs, stream)
		l.s.stats.Add("site.cancelled." + f.r.Class)
		l.s.core.ClientDisconnected(f.r)
	}
}

// Answer gives the other site the final answer.
func (f *foreign) Answer(r *core.Request, a core.Answer) {
	l, s := f.link, f.link.s
	if l.theirs[f.stream] != f {
		return
	}
	delete(l.theirs, f.stream)
	h := message.Response{
		Verdict: uint8(a.Verdict), MayHaveRun: r.MayHaveRunHere(), SendCount: min(r.SendCount(), message.MaxSends), RetryAfterUS: a.RetryAfter.Microseconds(), DeadlinePassed: a.DeadlinePassed,
	}
	var body []byte
	if a.Verdict == core.Served {
		var err error
		if body, err = s.opts.Codec.Result(a.Result); err != nil || len(body) > message.MaxBodySize {
			s.stats.Add("site.unwritable")
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
		l.t.Close(err)
	}
}
