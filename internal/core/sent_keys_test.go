package core

import (
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// newZonedFixture returns a fixture with an engine in zone a and one in zone b, whose loads are dropped as repeats by the
// engines of a zone only.
func newZonedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, 0)
	load := f.core.classes["load"]
	load.DedupScope = policy.DedupZone
	f.core.classes["load"] = load
	f.listZones("a", "b")
	return f
}

// listZones lists one engine in each zone.
func (f *fixture) listZones(zones ...string) {
	var list []Engine
	for _, zone := range zones {
		list = append(list, Engine{Engine: policy.Engine{ID: "in-" + zone, Zone: zone, Kind: "k", State: policy.EngineLive}})
	}
	f.core.UpdateEndpoints(policy.ListFull, list)
}

// Guards against a repeated key that is forgotten, also by the core that takes over the state, and against a safe repeat
// that is refused because an earlier attempt, which ran nothing, is remembered.
func TestSentKeys(t *testing.T) {
	attemptIn := func(zone string, at time.Duration) []policy.PriorAttempt {
		return []policy.PriorAttempt{{
			SentAt: at, Placement: policy.Placement{Engine: "in-" + zone, Zone: zone}, Scope: policy.DedupZone, Window: 12 * time.Second,
			EarlierRequest: true,
		}}
	}
	for name, tt := range map[string]struct {
		first func(f *fixture) // sends a request
		want  func(at time.Duration) []policy.PriorAttempt
	}{
		"served":      {func(f *fixture) { f.accept("load"); f.core.EndAttempt(f.sent[0], OutcomeServed, Report{}) }, func(at time.Duration) []policy.PriorAttempt { return attemptIn("b", at) }},
		"client left": {func(f *fixture) { f.core.ClientDisconnected(f.accept("load")) }, func(at time.Duration) []policy.PriorAttempt { return attemptIn("b", at) }},
		"never ran": {func(f *fixture) {
			f.accept("load")
			ended := 0
			for ended < len(f.sent) { // each retry too
				f.core.EndAttempt(f.sent[ended], OutcomeEngineFull, Report{})
				ended++
			}
		}, func(time.Duration) []policy.PriorAttempt { return nil }},
		"other class": {func(f *fixture) { f.accept("read") }, func(time.Duration) []policy.PriorAttempt { return nil }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newZonedFixture(t)
			f.listZones("b")
			sentAt := f.now
			tt.first(f)
			f.listZones("a")
			successor := newZonedFixture(t)
			successor.listZones("a")
			successor.now = f.now
			successor.core.Restore(f.core.Snapshot())
			for process, g := range map[string]*fixture{"same core": f, "successor": successor} {
				g.advance(time.Second)
				if diff := cmp.Diff(tt.want(sentAt), g.accept("load").PriorAttempts); diff != "" {
					t.Errorf("%s: prior attempts of a repeat (-want +got):\n%s", process, diff)
				}
				g.advance(12 * time.Second)
				if got := g.accept("load").PriorAttempts; len(got) > 0 && got[0].SentAt == sentAt {
					t.Errorf("%s: prior attempts after the window = %+v, want none of the first request", process, got)
				}
			}
		})
	}
}

// Guards against a repeat at this site of a request that ran at another one, which does not share its keys, and against a
// safe repeat that is refused because the other site did not run it.
func TestSentKeysOfOtherSites(t *testing.T) {
	for name, neverRan := range map[string]bool{"may have run": false, "never ran": true} {
		f := newZonedFixture(t)
		f.forward = func(r *Request, rejected bool) bool {
			if rejected || len(f.calls) > 0 {
				return false
			}
			f.record("forward")
			f.core.Forwarded(r, r.Deadline)
			return true
		}
		r := f.accept("load")
		if neverRan {
			f.core.RecordRemoteNeverRan(r)
		}
		f.core.CompleteForwarded(r, Answer{Verdict: Rejected})
		repeat := f.accept("load")
		if isRestricted := len(repeat.PriorAttempts) > 0; isRestricted == neverRan {
			t.Errorf("%s: prior attempts of the repeat = %+v, want some %v", name, repeat.PriorAttempts, !neverRan)
		}
	}
}
