package core

import (
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// Guards against an attempt of another process that is recorded wrongly, or not at all: the observer is told before each
// send, and once an attempt is known to have run nothing, of exactly the attempts that may have run.
func TestAttemptsChanged(t *testing.T) {
	f := newFixture(t, 0)
	zoned := Engine{Engine: policy.Engine{ID: "e", Zone: "a", Cell: 3, Kind: "k", State: policy.EngineLive}}
	f.core.UpdateEndpoints(policy.ListFull, []Engine{zoned})
	var got [][]policy.PriorAttempt
	var sentBefore []int // sends at each report
	f.core.OnAttemptsChanged(func(r *Request) {
		got = append(got, f.core.AttemptsThatMayHaveRun(r))
		sentBefore = append(sentBefore, len(f.sent))
	})
	prior := policy.PriorAttempt{SentAt: f.now - time.Second, Placement: policy.Placement{Engine: "gone"}, Scope: policy.DedupAll, Window: time.Minute}
	r := &Request{ID: "r", Class: "load", IdempotencyKey: "key", Deadline: f.now + 5*time.Second, Client: f}
	f.core.AcceptOrphan(r, &Orphan{Attempts: []policy.PriorAttempt{prior}, Idempotency: policy.IdempotentWithKey})
	f.core.EndAttempt(f.sent[0], OutcomeConnectionRefused, Report{})
	own := policy.PriorAttempt{
		SentAt: f.now, Placement: policy.Placement{Engine: "e", Zone: "a", Cell: 3}, Scope: policy.DedupAll, Window: 12 * time.Second,
	}
	want := [][]policy.PriorAttempt{{prior, own}, {prior}, {prior, own}} // sent, refused, sent again
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reported attempts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 1, 1}, sentBefore); diff != "" {
		t.Errorf("sends before each report (-want +got):\n%s", diff)
	}
}

// Guards against a forwarded request that runs at this site too after its process died: the observer is told before
// the request may be written to the link, and again if it was not.
func TestForwardingIsReported(t *testing.T) {
	f := newFixture(t, 0)
	var got []int // number of attempts at each report
	f.core.OnAttemptsChanged(func(r *Request) { got = append(got, len(f.core.AttemptsThatMayHaveRun(r))) })
	f.forward = func(r *Request, rejected bool) bool {
		if rejected {
			return false
		}
		f.core.BeginForwarding(r)
		f.core.ForwardingFailed(r)
		f.core.BeginForwarding(r)
		f.core.Forwarded(r, r.Deadline)
		return true
	}
	f.core.ReturnForwarded(f.accept("write"))
	if diff := cmp.Diff([]int{1, 0, 1, 0}, got); diff != "" {
		t.Errorf("attempts at each report (-want +got):\n%s", diff)
	}
}

// Guards against a resend by settings under which the earlier attempt or the next one has no key.
func TestOrphanWithOtherIdempotency(t *testing.T) {
	attempts := []policy.PriorAttempt{{SentAt: time.Hour - time.Second, Placement: policy.Placement{Engine: "0"}, Scope: policy.DedupAll, Window: time.Minute}}
	for name, c := range map[string]struct {
		class  string
		orphan Orphan
		want   string
	}{
		"same":                   {"load", Orphan{Attempts: attempts, Idempotency: policy.IdempotentWithKey}, "send"},
		"was idempotent":         {"load", Orphan{Attempts: attempts, Idempotency: policy.Idempotent}, "failed doubt=true late=false"},
		"was not idempotent":     {"load", Orphan{Attempts: attempts, Idempotency: policy.NotIdempotent}, "failed doubt=true late=false"},
		"had a key":              {"read", Orphan{Attempts: attempts, Idempotency: policy.IdempotentWithKey}, "failed doubt=false late=false"},
		"never ran, other class": {"load", Orphan{Idempotency: policy.Idempotent}, "send"},
	} {
		f := newFixture(t, 1)
		r := &Request{ID: "r", Class: c.class, IdempotencyKey: "key", Deadline: f.now + 5*time.Second, Client: f}
		f.core.AcceptOrphan(r, &c.orphan)
		if diff := cmp.Diff([]string{c.want}, f.calls); diff != "" {
			t.Errorf("%s: calls (-want +got):\n%s", name, diff)
		}
	}
}
