package core

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A forwarded request gets exactly one final answer, however it ends. Whatever is still in flight at
// either site is cancelled, and a request that may have run and is not idempotent is in doubt.
func TestForwarded(t *testing.T) {
	// forward returns an implementation of the remote sites that forwards every request.
	forward := func(f *fixture) func(*Request, bool) bool {
		return func(r *Request, rejected bool) bool {
			f.record("forward rejected=%v", rejected)
			f.core.Forwarded(r, r.Deadline-f.core.callInterval)
			return true
		}
	}
	// forwardIf is the same, but forwards only requests that the policy rejected, if wantRejected is
	// true, or only requests that the policy has not seen yet.
	forwardIf := func(f *fixture, wantRejected bool) func(*Request, bool) bool {
		return func(r *Request, rejected bool) bool {
			return rejected == wantRejected && forward(f)(r, rejected)
		}
	}
	for name, tt := range map[string]struct {
		engines int
		run     func(f *fixture)
		want    []string // calls of the core
	}{
		"served at the other site": {1, func(f *fixture) {
			f.forward = forward(f)
			f.core.CompleteForwarded(f.accept("read"), Answer{Verdict: Served})
		}, []string{"forward rejected=false", "served doubt=false late=false"}},
		"rejected here, served at the other site": {0, func(f *fixture) {
			f.forward = forwardIf(f, true)
			f.core.CompleteForwarded(f.accept("read"), Answer{Verdict: Served})
		}, []string{"forward rejected=true", "served doubt=false late=false"}},
		"rejected at both sites": {0, func(f *fixture) {
			f.forward = forwardIf(f, true)
			f.core.CompleteForwarded(f.accept("read"), Answer{Verdict: Rejected})
		}, []string{"forward rejected=true", "refused doubt=false late=false"}},
		"returned without having run, served here": {1, func(f *fixture) {
			f.forward = forwardIf(f, false)
			f.core.ReturnForwarded(f.accept("write"))
			f.core.EndAttempt(f.sent[0], OutcomeServed, Report{})
		}, []string{"forward rejected=false", "send", "ended served", "served doubt=true late=false"}},
		"may have run at the other site, rejected here": {0, func(f *fixture) {
			f.forward = forwardIf(f, false)
			r := f.accept("load")
			f.core.RecordRemoteSend(r, f.now)
			f.advance(11 * time.Second / 10)
			f.core.ReturnForwarded(r)
		}, []string{"forward rejected=false", "refused doubt=true late=false"}},
		"may have run at the other site, rejected here at the end of its key's window": {0, func(f *fixture) {
			f.forward = forwardIf(f, false)
			r := &Request{ID: "r", Class: "load", IdempotencyKey: "key", Deadline: f.now + time.Minute, Client: f}
			f.core.Accept(r)
			f.core.RecordRemoteSend(r, f.now)
			f.advance(11 * time.Second)
			f.core.ReturnForwarded(r)
		}, []string{"forward rejected=false", "failed doubt=true late=false"}},
		"timed out at the other site": {1, func(f *fixture) {
			f.forward = forwardIf(f, false)
			f.accept("write")
			f.advance(5 * time.Second)
		}, []string{"forward rejected=false", "drop forwarded", "failed doubt=true late=true"}},
		"client disconnects": {1, func(f *fixture) {
			f.forward = forwardIf(f, false)
			f.core.ClientDisconnected(f.accept("read"))
		}, []string{"forward rejected=false", "drop forwarded"}},
		"hedged, served here": {1, func(f *fixture) {
			f.forward = forwardIf(f, false)
			f.core.Hedge(f.accept("read"))
			f.core.EndAttempt(f.sent[0], OutcomeServed, Report{})
		}, []string{"forward rejected=false", "send", "ended served", "drop forwarded", "served doubt=false late=false"}},
		"hedged, served at the other site": {1, func(f *fixture) {
			f.forward = forwardIf(f, false)
			r := f.accept("read")
			f.core.Hedge(r)
			f.core.CompleteForwarded(r, Answer{Verdict: Served})
		}, []string{"forward rejected=false", "send", "served doubt=false late=false", "cancel attempt", "ended cancelled"}},
		"hedged, rejected here, then returned by the other site": {0, func(f *fixture) {
			f.forward = forwardIf(f, false)
			r := f.accept("read")
			f.core.Hedge(r)
			f.core.RecordRemoteSend(r, f.now)
			f.core.ReturnForwarded(r)
		}, []string{"forward rejected=false", "refused doubt=false late=false"}},
		"send limit reached": {2, func(f *fixture) {
			r := &Request{ID: "r", Class: "read", Deadline: f.now + 5*time.Second, Client: f, FromOtherSite: true, MaxSends: 1}
			f.core.Accept(r)
			f.core.EndAttempt(f.sent[0], OutcomeConnectionRefused, Report{})
		}, []string{"send", "ended refused", "refused doubt=false late=false"}},
		"shutdown while forwarded": {1, func(f *fixture) {
			f.forward = forwardIf(f, false)
			f.accept("write")
			f.core.Shutdown()
		}, []string{"forward rejected=false", "drop forwarded", "failed doubt=true late=false"}},
		"shutdown while a retry is safe, and a request after it": {1, func(f *fixture) {
			f.accept("load")
			f.core.Shutdown()
			f.accept("write")
		}, []string{"send", "refused doubt=true late=false", "cancel attempt", "ended cancelled", "refused doubt=false late=false"}},
		"client disconnects before the core is notified": {2, func(f *fixture) {
			r := f.accept("read")
			f.disconnected = true
			f.core.EndAttempt(f.sent[0], OutcomeConnectionReset, Report{})
			f.core.ClientDisconnected(r)
		}, []string{"send", "ended reset", "ended not-sent", "ended not-sent", "refused doubt=false late=false"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tt.engines)
			tt.run(f)
			if diff := cmp.Diff(tt.want, f.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			f.advance(time.Minute)
			if n := f.core.Unanswered(); n != 0 || len(f.core.requests.byNumber) != 0 {
				t.Errorf("after the end: %d requests unanswered and %d in the table, want 0 and 0", n, len(f.core.requests.byNumber))
			}
		})
	}
}

// A retry of a request with an idempotency key must not be written when the key's deduplication window
// is about to end. The policy chooses the retry earlier, but its connection is ready only then.
func TestRetryNotWrittenAfterKeyWindow(t *testing.T) {
	f := newFixture(t, 2)
	f.core.Accept(&Request{ID: "r", Class: "load", IdempotencyKey: "key", Deadline: f.now + 30*time.Second, Client: f})
	f.advance(12*time.Second - keyWindowMargin - 10*time.Millisecond)
	f.core.EndAttempt(f.sent[0], OutcomeConnectionReset, Report{})
	if len(f.sent) != 2 || !f.core.BeginWrite(f.sent[1]) {
		t.Fatalf("got %d attempts, want 2 of which BeginWrite permits the second", len(f.sent))
	}
	f.advance(20 * time.Millisecond)
	if f.core.BeginWrite(f.sent[1]) {
		t.Error("BeginWrite(retry at the end of the key's window) = true, want false")
	}
}
