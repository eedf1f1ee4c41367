package core

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A request at another site, in each way that it can end: one final answer, what is out on
// either side is dropped, and what may have run is in doubt.
func TestForwarded(t *testing.T) {
	forward := func(f *fixture) func(*Request, bool) bool {
		return func(r *Request, rejected bool) bool {
			f.record("forward rejected=%v", rejected)
			f.core.Forwarded(r, r.Deadline-f.core.callInterval)
			return true
		}
	}
	once := func(f *fixture, when bool) func(*Request, bool) bool {
		return func(r *Request, rejected bool) bool { return rejected == when && forward(f)(r, rejected) }
	}
	for name, tt := range map[string]struct {
		engines int
		play    func(f *fixture)
		want    []string
	}{
		"served there": {1, func(f *fixture) {
			f.forward = forward(f)
			f.core.CompleteForwarded(f.accept("read"), Answer{Verdict: Served})
		}, []string{"forward rejected=false", "served doubt=false late=false"}},
		"rejected here, served there": {0, func(f *fixture) {
			f.forward = once(f, true)
			f.core.CompleteForwarded(f.accept("read"), Answer{Verdict: Served})
		}, []string{"forward rejected=true", "served doubt=false late=false"}},
		"rejected at both": {0, func(f *fixture) {
			f.forward = once(f, true)
			f.core.CompleteForwarded(f.accept("read"), Answer{Verdict: Rejected})
		}, []string{"forward rejected=true", "refused doubt=false late=false"}},
		"never ran there, served here": {1, func(f *fixture) {
			f.forward = once(f, false)
			f.core.ReturnForwarded(f.accept("write"))
			f.core.EndAttempt(f.sent[0], OutcomeServed, Report{})
		}, []string{"forward rejected=false", "send", "ended served", "served doubt=true late=false"}},
		"may have run there, rejected here": {0, func(f *fixture) {
			f.forward = once(f, false)
			r := f.accept("load")
			f.core.RecordRemoteSend(r, f.now)
			f.advance(11 * time.Second / 10)
			f.core.ReturnForwarded(r)
		}, []string{"forward rejected=false", "refused doubt=true late=false"}},
		"the same at the end of its window": {0, func(f *fixture) {
			f.forward = once(f, false)
			r := &Request{ID: "r", Class: "load", IdempotencyKey: "key", Deadline: f.now + time.Minute, Client: f}
			f.core.Accept(r)
			f.core.RecordRemoteSend(r, f.now)
			f.advance(11 * time.Second)
			f.core.ReturnForwarded(r)
		}, []string{"forward rejected=false", "failed doubt=true late=false"}},
		"its time ends there": {1, func(f *fixture) {
			f.forward = once(f, false)
			f.accept("write")
			f.advance(5 * time.Second)
		}, []string{"forward rejected=false", "drop forwarded", "failed doubt=true late=true"}},
		"its client disconnects": {1, func(f *fixture) {
			f.forward = once(f, false)
			f.core.ClientDisconnected(f.accept("read"))
		}, []string{"forward rejected=false", "drop forwarded"}},
		"hedged, served here": {1, func(f *fixture) {
			f.forward = once(f, false)
			f.core.Hedge(f.accept("read"))
			f.core.EndAttempt(f.sent[0], OutcomeServed, Report{})
		}, []string{"forward rejected=false", "send", "ended served", "drop forwarded", "served doubt=false late=false"}},
		"hedged, served there": {1, func(f *fixture) {
			f.forward = once(f, false)
			r := f.accept("read")
			f.core.Hedge(r)
			f.core.CompleteForwarded(r, Answer{Verdict: Served})
		}, []string{"forward rejected=false", "send", "served doubt=false late=false", "cancel attempt", "ended cancelled"}},
		"hedged, rejected here, then lost there": {0, func(f *fixture) {
			f.forward = once(f, false)
			r := f.accept("read")
			f.core.Hedge(r)
			f.core.RecordRemoteSend(r, f.now)
			f.core.ReturnForwarded(r)
		}, []string{"forward rejected=false", "refused doubt=false late=false"}},
		"no more sends are granted": {2, func(f *fixture) {
			r := &Request{ID: "r", Class: "read", Deadline: f.now + 5*time.Second, Client: f, FromOtherSite: true, MaxSends: 1}
			f.core.Accept(r)
			f.core.EndAttempt(f.sent[0], OutcomeConnectionRefused, Report{})
		}, []string{"send", "ended refused", "refused doubt=false late=false"}},
		"the end of the process": {1, func(f *fixture) {
			f.forward = once(f, false)
			f.accept("write")
			f.core.Shutdown()
		}, []string{"forward rejected=false", "drop forwarded", "failed doubt=true late=false"}},
		"the end while a retry is harmless, and what comes behind it": {1, func(f *fixture) {
			f.accept("load")
			f.core.Shutdown()
			f.accept("write")
		}, []string{"send", "refused doubt=true late=false", "cancel attempt", "ended cancelled", "refused doubt=false late=false"}},
		"its client has disconnected, and the core hears of it last": {2, func(f *fixture) {
			r := f.accept("read")
			f.disconnected = true
			f.core.EndAttempt(f.sent[0], OutcomeConnectionReset, Report{})
			f.core.ClientDisconnected(r)
		}, []string{"send", "ended reset", "ended not-sent", "ended not-sent", "refused doubt=false late=false"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tt.engines)
			tt.play(f)
			if diff := cmp.Diff(tt.want, f.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			f.advance(time.Minute)
			if n := f.core.Unanswered(); n != 0 || len(f.core.requests.byQuery) != 0 {
				t.Errorf("%d requests unanswered, %d kept, want none", n, len(f.core.requests.byQuery))
			}
		})
	}
}

// A retry of a request with an idempotency key is chosen within the key's window, and its connection
// is up only as the window is about to close: it is not written any more.
func TestRetryWaitsPastKeyWindow(t *testing.T) {
	f := newFixture(t, 2)
	f.core.Accept(&Request{ID: "r", Class: "load", IdempotencyKey: "key", Deadline: f.now + 30*time.Second, Client: f})
	f.advance(12*time.Second - keyWindowMargin - 10*time.Millisecond)
	f.core.EndAttempt(f.sent[0], OutcomeConnectionReset, Report{})
	if len(f.sent) != 2 || !f.core.BeginWrite(f.sent[1]) {
		t.Fatalf("%d attempts sent, want a second one that may be written", len(f.sent))
	}
	f.advance(20 * time.Millisecond)
	if f.core.BeginWrite(f.sent[1]) {
		t.Error("BeginWrite(retry past its window) = true, want false")
	}
}
