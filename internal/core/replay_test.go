package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// TestReplay guards against changes of behaviour. It drives the core with seeded random events:
// requests that arrive, disconnect or continue a stream, attempts that end with every outcome,
// forwarding to another site, changes of the endpoint list and operators' overrides. Everything that
// the backend, the clients and the other site are told goes into a digest, which must equal the
// recorded one.
func TestReplay(t *testing.T) {
	const digestFile = "testdata/replay.sha256"
	want, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	digest := sha256.New()
	for seed := range uint64(40) {
		newReplay(t, digest, seed).run()
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of all calls = %s, want %s from %s", got, want, digestFile)
	}
}

// The core finds most of these interfaces by type assertions: if a fake stopped implementing one, the
// tests would otherwise still compile and skip that path.
var (
	_ StreamingClient    = (*replay)(nil)
	_ CostObserver       = (*replay)(nil)
	_ LoadReporter       = replayBackend{}
	_ StreamingBackend   = replayBackend{}
	_ DisconnectDetector = (*fixture)(nil)
)

// replay is one seeded run with fakes of all that the core uses. The digest covers the texts that it
// records, so they stay as they are when identifiers are renamed.
type replay struct {
	out            io.Writer // the digest
	random         *rand.Rand
	now            time.Duration
	timers         *timerqueue.Queue
	core           *Core
	counters       *metrics.Counters
	openRequests   []*Request        // not answered yet
	attempts       []*Attempt        // all that were written, also ended ones
	awaitingEngine []*Attempt        // cancelled attempts for which MustAwaitEngine returned true
	lastID         int               // number in the latest request's ID
	firstSent      map[*Request]bool // requests whose first send was recorded
}

// replayText implements Statement and Result.
type replayText string

func (t replayText) SQL() string { return string(t) }
func (t replayText) Size() int   { return len(t) }

// replayCost implements CostContext.
type replayCost int

func (c replayCost) Fingerprint() [2]uint64 { return [2]uint64{uint64(c)} }

func newReplay(t *testing.T, out io.Writer, seed uint64) *replay {
	t.Helper()
	r := &replay{out: out, random: rand.New(rand.NewPCG(seed, 2)), now: time.Hour, timers: timerqueue.New(), counters: metrics.New(), firstSent: map[*Request]bool{}}
	settings := fixtureSettings()
	var err error
	if r.core, err = New(settings, seed, r, r.timers, r.counters, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r.core.SetBackend(replayBackend{r})
	r.core.SetCostObserver(r)
	r.core.OnAttemptsChanged(r.recordFirstSend)
	r.core.OnOverridesChanged(func() { r.record("bans changed") })
	if seed%2 == 0 {
		r.core.SetRemoteSites(replaySites{r})
	}
	return r
}

// recordFirstSend records the first send of a request to an engine of this site.
func (r *replay) recordFirstSend(q *Request) {
	if len(q.attempts) == 1 && !q.attempts[0].ended && !r.firstSent[q] {
		r.firstSent[q] = true
		r.record("first send %s %d", q.ID, q.attempts[0].SentAt)
	}
}

func (r *replay) record(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", args...) // a hash never fails
}

// Now implements Clock. The methods up to RequestDone implement StreamingClient and CostObserver.
func (r *replay) Now() time.Duration { return r.now }

func (r *replay) Answer(q *Request, a Answer) {
	r.record("answer %s %d %d %t %t %t %v %v", q.ID, int(a.Verdict), int64(a.RetryAfter), a.DeadlinePassed, a.Sent, a.InDoubt, a.Result, a.EngineError)
	r.removeOpen(q)
}

func (r *replay) PartialAnswer(q *Request, a Answer) {
	r.record("part %s %d %t %v %v", q.ID, int(a.Verdict), a.Sent, a.Result, a.EngineError)
}

func (r *replay) AttemptServed(q *Request, report Report, elapsed time.Duration) {
	r.record("served %s %d %d", q.ID, int64(report.Work), int64(elapsed))
}

func (r *replay) AttemptTimedOut(q *Request, elapsed time.Duration) {
	r.record("given up %s %d", q.ID, int64(elapsed))
}

func (r *replay) RequestDone(q *Request) { r.record("over %s", q.ID) }

// replayBackend is the fake backend.
type replayBackend struct{ *replay }

func (b replayBackend) Send(a *Attempt) {
	ok := b.core.BeginWrite(a)
	b.record("send %s %s %d %g %d %t", a.Request.ID, a.Engine, int64(a.Timeout), a.MemoryMB, a.Priority, ok)
	if !ok {
		b.core.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	b.attempts = append(b.attempts, a)
}

func (b replayBackend) Cancel(a *Attempt) bool {
	mustAwait := a.MustAwaitEngine()
	b.record("drop %s %s %t", a.Request.ID, a.Engine, mustAwait)
	if mustAwait {
		b.awaitingEngine = append(b.awaitingEngine, a)
	}
	return !mustAwait
}

func (b replayBackend) SetPriority(a *Attempt, priority int) {
	b.record("hurry %s %s %d", a.Request.ID, a.Engine, priority)
}

func (b replayBackend) UpdateEngine(e Engine) {
	if e.State != policy.EngineDeparted { // engines missing from a full list are reported in map order
		b.record("engine %s %s %d %d %t", e.ID, e.Addr, int(e.State), int64(e.Started), e.StartKnown)
	}
}

func (b replayBackend) RequestLoadReport(engine string) {
	b.record("probe %s", engine)
	if b.random.IntN(2) == 0 {
		b.core.EndLoadReport(engine, OutcomeServed, policy.LoadReport{})
		return
	}
	b.core.EndLoadReport(engine, OutcomeConnectTimeout, policy.LoadReport{})
}

func (b replayBackend) Continue(a *Attempt) {
	b.record("continue %s %s %v", a.Request.ID, a.Engine, a.Request.Statement)
}

// replaySites is the fake of the other sites.
type replaySites struct{ *replay }

func (s replaySites) ForwardOnArrival(q *Request) bool { return s.forward(q, false) }
func (s replaySites) SharesDeduplication() bool        { return true }
func (s replaySites) ForwardRejected(q *Request) bool  { return s.forward(q, true) }
func (s replaySites) forward(q *Request, rejected bool) bool {
	if s.random.IntN(3) > 0 {
		return false
	}
	s.record("cross %s %t", q.ID, rejected)
	s.core.Forwarded(q, q.Deadline-time.Millisecond)
	return true
}

func (s replaySites) Drop(q *Request)           { s.record("drop there %s", q.ID) }
func (s replaySites) AttemptStarted(a *Attempt) { s.record("sending %s %s", a.Request.ID, a.Engine) }
func (s replaySites) UpdateEngine(Engine)       {}
func (s replaySites) AttemptEnded(a *Attempt, outcome Outcome, _ Report) {
	s.record("ended %s %s %d", a.Request.ID, a.Engine, int(outcome))
}

// run makes 1500 random events happen, shuts the core down and records the totals.
func (r *replay) run() {
	r.updateEndpoints(policy.ListFull, 6)
	for range 1500 {
		r.step()
		r.now += time.Duration(r.random.IntN(20)) * time.Millisecond
		r.timers.RunDue(r.now)
	}
	for len(r.openRequests) > 1 { // Shutdown answers requests in map order
		r.disconnect(r.openRequests[0])
	}
	r.core.Shutdown()
	r.accept()
	for _, a := range append(r.attempts, r.awaitingEngine...) {
		r.core.EndAttempt(a, OutcomeConnectionReset, Report{})
	}
	stats := r.core.Stats()
	r.record("figures %d %d %d %d", stats.AttemptsWritten, stats.InFlight, stats.EnginesListed, stats.EnginesDown)
	for _, c := range stats.Classes {
		r.record("class %s %d %d %d", c.Class, c.Served, c.Rejected, c.Failed)
	}
	var counts strings.Builder
	r.counters.Print(&counts)
	r.record("%s", counts.String())
}

// step makes one random event happen.
func (r *replay) step() {
	switch r.random.IntN(16) {
	case 0, 1, 2, 3, 4:
		r.accept()
	case 5, 6, 7, 8, 9:
		r.endAttempt()
	case 10:
		if q := r.randomOpenRequest(); q != nil {
			r.disconnect(q)
		}
	case 11:
		if a := r.randomRecentAttempt(); a != nil {
			r.core.ReportProgress(a, policy.ProgressKind(r.random.IntN(3)), float64(r.random.IntN(50)))
		}
	case 12:
		r.updateEndpoints(policy.ListChanges, 1+r.random.IntN(2))
	case 13:
		r.changeOverride()
	case 14:
		r.remoteSiteEvent()
	default:
		r.continueStream()
	}
}

// accept passes a random request, in some cases an orphan, to the core.
func (r *replay) accept() {
	r.lastID++
	class := []string{"read", "load", "write", "unheard-of"}[min(r.random.IntN(10)/3, 3)]
	q := &Request{
		ID: fmt.Sprintf("r%d", r.lastID), Class: class, IdempotencyKey: "key", Deadline: r.now + time.Duration(1+r.random.IntN(5000))*time.Millisecond,
		Client: r, CostContext: replayCost(r.lastID), Statement: replayText("first"), Streaming: class == "write" && r.random.IntN(3) == 0,
	}
	if r.random.IntN(4) == 0 {
		q.SerialKey = fmt.Sprintf("key-%d", r.random.IntN(5))
	}
	if r.random.IntN(10) == 0 {
		q.MaxSends, q.PriorSends = 3, r.random.IntN(3)
	}
	var orphan *Orphan
	if r.random.IntN(15) == 0 {
		orphan = &Orphan{ReceivedAt: r.now, Attempts: []policy.PriorAttempt{{SentAt: r.now - time.Duration(r.random.IntN(2))*time.Second, Scope: policy.DedupAll, Window: time.Hour}}, MustFail: r.random.IntN(3) == 0}
		orphan.Idempotency = r.core.classes[class].Idempotency
	}
	r.record("arrive %s %s", q.ID, class)
	r.openRequests = append(r.openRequests, q)
	r.core.AcceptOrphan(q, orphan)
}

// endAttempt ends an attempt: a cancelled one that stayed in flight, or a recent one, in most cases as
// served and otherwise with a random outcome. It may choose one that has ended already, which the core
// has to ignore.
func (r *replay) endAttempt() {
	if len(r.awaitingEngine) > 0 && r.random.IntN(3) == 0 {
		a := r.awaitingEngine[0]
		r.awaitingEngine = r.awaitingEngine[1:]
		r.core.EndAttempt(a, OutcomeCancelled, Report{})
		return
	}
	a := r.randomRecentAttempt()
	if a == nil {
		return
	}
	outcome := OutcomeServed
	if r.random.IntN(3) == 0 {
		outcome = Outcome(r.random.IntN(int(outcomeCount)))
	}
	report := Report{Result: replayText("rows"), Work: time.Duration(r.random.IntN(100)) * time.Millisecond, MemoryMB: float64(r.random.IntN(20))}
	if outcome == OutcomeEngineError || outcome == OutcomeStatementRejected {
		report.Result, report.EngineError = nil, fmt.Errorf("error of %s", a.Engine)
	}
	r.record("end %s %s %d", a.Request.ID, a.Engine, int(outcome))
	r.core.EndAttempt(a, outcome, report)
}

// remoteSiteEvent makes the other site answer, return or hedge the first request that it has.
func (r *replay) remoteSiteEvent() {
	for _, q := range r.openRequests {
		if !r.core.isForwarded(q) {
			continue
		}
		event := r.random.IntN(5)
		r.record("there %s %d", q.ID, event)
		switch event {
		case 0:
			r.core.CompleteForwarded(q, Answer{Verdict: Served, Result: replayText("rows from there")})
		case 1:
			r.core.RecordRemoteSend(q, r.now)
			r.core.CompleteForwarded(q, Answer{Verdict: Failed})
		case 2:
			r.core.Hedge(q)
		case 3:
			r.core.RecordRemoteSend(q, r.now)
			r.core.ReturnForwarded(q)
		default:
			r.core.ReturnForwarded(q)
		}
		r.record("known %s %d %d %t %t", q.ID, q.SendCount(), int64(q.FirstSentAt()), q.MayHaveRunHere(), r.core.InDoubt(q))
		return
	}
}

// continueStream relays a part of the first streaming request that has an attempt in flight, and in
// half of the cases continues it with another statement.
func (r *replay) continueStream() {
	for _, a := range r.attempts {
		if a.Ended() || !a.Request.Streaming {
			continue
		}
		r.core.RelayPart(a, Report{Result: replayText("part")})
		if r.random.IntN(2) == 0 {
			r.record("goes on %t", r.core.Continue(a.Request, replayText("next"), 300*time.Millisecond))
		}
		return
	}
}

// changeOverride disables or enables a random engine, which may be an unknown one.
func (r *replay) changeOverride() {
	id := fmt.Sprintf("e%d", r.random.IntN(8))
	change := r.core.EnableEngine
	if r.random.IntN(2) == 0 {
		change = r.core.DisableEngine
	}
	err := change(id)
	r.record("call %t", err != nil)
}

// updateEndpoints reports n engines: all of them, or random changes to random ones.
func (r *replay) updateEndpoints(mode policy.ListMode, n int) {
	var list []Engine
	for i := range n {
		id := i
		if mode == policy.ListChanges {
			id = r.random.IntN(8)
		}
		state := policy.EngineLive
		if mode == policy.ListChanges {
			state = policy.EngineState(r.random.IntN(3))
		}
		list = append(list, Engine{Addr: fmt.Sprintf("127.0.0.1:%d", id), Engine: policy.Engine{ID: fmt.Sprintf("e%d", id), Kind: "k", State: state}})
	}
	r.core.UpdateEndpoints(mode, list)
}

func (r *replay) randomOpenRequest() *Request {
	if len(r.openRequests) == 0 {
		return nil
	}
	return r.openRequests[r.random.IntN(len(r.openRequests))]
}

func (r *replay) disconnect(q *Request) {
	r.record("leaves %s", q.ID)
	r.core.ClientDisconnected(q)
	r.removeOpen(q)
}

func (r *replay) removeOpen(q *Request) {
	for i, open := range r.openRequests {
		if open == q {
			r.openRequests = append(r.openRequests[:i], r.openRequests[i+1:]...)
			return
		}
	}
}

// randomRecentAttempt returns one of the latest 20 attempts, which may have ended already, or nil if
// there are none.
func (r *replay) randomRecentAttempt() *Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	recent := r.attempts[max(0, len(r.attempts)-20):]
	return recent[r.random.IntN(len(recent))]
}
