package core

import (
	"testing"
	"time"
)

// TestTimersEndWithTheirRequest guards against memory that grows with the wait that clients name: the policy's timer of
// a request stayed until the request's deadline, also when the request was answered or its client had gone.
func TestTimersEndWithTheirRequest(t *testing.T) {
	const wait = 10 * time.Minute
	for name, end := range map[string]func(*fixture, *Request){
		"served":       func(f *fixture, _ *Request) { f.core.EndAttempt(f.sent[len(f.sent)-1], OutcomeServed, Report{}) },
		"disconnected": func(f *fixture, r *Request) { f.core.ClientDisconnected(r) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			accept := func() *Request {
				r := &Request{ID: "r", Class: "read", Deadline: f.now + wait, Client: f}
				f.core.Accept(r)
				return r
			}
			end(f, accept())
			before := f.timers.Len()
			for range 100 {
				end(f, accept())
			}
			if got := f.timers.Len(); got != before {
				t.Errorf("timers after 100 further requests = %d, want %d", got, before)
			}
		})
	}
	t.Run("rejected", func(t *testing.T) {
		f := newFixture(t, 0)
		f.accept("read")
		before := f.timers.Len()
		for range 100 {
			f.accept("read")
		}
		if got := f.timers.Len(); got != before {
			t.Errorf("timers after 100 further requests = %d, want %d", got, before)
		}
	})
}
