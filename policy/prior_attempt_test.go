package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestPriorAttemptsRestrictSends guards against a keyed query that another process sent and that runs in a
// second group here: it goes to an engine that drops the repeat by the settings of both processes, or its
// client is told that it may have run. There are engines in zone a, cells 1 and 2, and in zone b, cell 2.
func TestPriorAttemptsRestrictSends(t *testing.T) {
	const window = time.Second
	sentAt := time.Minute - window/2
	at := func(zone string, cell int64, scope DedupScope) PriorAttempt {
		return PriorAttempt{
			SentAt: sentAt, Placement: Placement{Engine: "gone", Zone: zone, Cell: cell}, Scope: scope, Window: window,
		}
	}
	unknown := PriorAttempt{SentAt: sentAt, Window: window}
	unknownOfAll := PriorAttempt{SentAt: sentAt, Window: window, Scope: DedupAll}
	otherSite := PriorAttempt{SentAt: sentAt, Window: window, OtherSite: true}
	allSites := PriorAttempt{SentAt: sentAt, Window: window, OtherSite: true, Scope: DedupAll}
	shortWindow := at("a", 1, DedupAll)
	shortWindow.Window = window / 2
	all := []string{"a1", "a2", "b2"}
	for name, c := range map[string]struct {
		scope DedupScope
		prior []PriorAttempt
		want  []string // engines that may get the query; empty: none, and the client gets a Fail
	}{
		"none":                          {DedupZone, nil, all},
		"all, all":                      {DedupAll, []PriorAttempt{at("c", 9, DedupAll)}, all},
		"zone":                          {DedupZone, []PriorAttempt{at("a", 9, DedupZone)}, []string{"a1", "a2"}},
		"cell":                          {DedupCell, []PriorAttempt{at("c", 2, DedupCell)}, []string{"a2", "b2"}},
		"sender's is stricter":          {DedupAll, []PriorAttempt{at("b", 9, DedupZone)}, []string{"b2"}},
		"own is stricter":               {DedupZone, []PriorAttempt{at("b", 9, DedupAll)}, []string{"b2"}},
		"zone here, cell there":         {DedupZone, []PriorAttempt{at("a", 2, DedupCell)}, []string{"a2"}},
		"zone without engines":          {DedupZone, []PriorAttempt{at("c", 1, DedupZone)}, nil},
		"two attempts in one group":     {DedupZone, []PriorAttempt{at("a", 1, DedupZone), at("a", 2, DedupZone)}, []string{"a1", "a2"}},
		"two attempts in two groups":    {DedupZone, []PriorAttempt{at("a", 1, DedupZone), at("b", 2, DedupZone)}, nil},
		"unknown engine":                {DedupZone, []PriorAttempt{unknown}, nil},
		"unknown engine, all here only": {DedupAll, []PriorAttempt{unknown}, nil},
		"unknown engine, all":           {DedupAll, []PriorAttempt{unknownOfAll}, all},
		"other site":                    {DedupAll, []PriorAttempt{otherSite}, nil},
		"other site, zone here":         {DedupZone, []PriorAttempt{allSites}, nil},
		"other site, shared by all":     {DedupAll, []PriorAttempt{allSites}, all},
		"window over by the sender's":   {DedupZone, []PriorAttempt{shortWindow}, nil},
		"first window over":             {DedupZone, []PriorAttempt{at("a", 1, DedupAll), shortWindow}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for seed := range uint64(40) { // the choice among suitable engines is random
				s := testSettings()
				s.Classes[3].DedupScope, s.Classes[3].DedupWindow = c.scope, window
				d := newDriver(t, s, liveEngine("a1", "a", 1), liveEngine("a2", "a", 2), liveEngine("b2", "b", 2))
				d.g.random = rand.New(rand.NewPCG(seed, 7))
				actions := d.handle(QueryArrived{Query: 1, Class: "keyed", Deadline: d.now + time.Second, PriorAttempts: c.prior})
				for _, send := range sendsIn(actions) {
					got = append(got, send.Engine)
				}
				if len(c.want) == 0 && !contains[Fail](actions) {
					t.Fatalf("actions = %+v, want a Fail", actions)
				}
			}
			for _, engine := range got {
				if !slices.Contains(c.want, engine) {
					t.Errorf("sent to %s, want one of %q", engine, c.want)
				}
			}
			if len(c.want) > 0 && len(got) != 40 {
				t.Errorf("sent %d of 40 times, want always", len(got))
			}
		})
	}
}

// TestEarlierRequestRestrictsButIsNotDoubted guards against a query that is failed where it may be refused: an
// earlier query with its key may have run where no engine is left, but the query itself has not.
func TestEarlierRequestRestrictsButIsNotDoubted(t *testing.T) {
	for isEarlier, want := range map[bool]string{true: "Reject", false: "Fail"} {
		d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
		prior := PriorAttempt{
			SentAt: d.now, Placement: Placement{Engine: "gone", Cell: 2}, Window: time.Second, EarlierRequest: isEarlier,
		}
		query := QueryArrived{Query: 1, Class: "keyed", Deadline: d.now + time.Second, PriorAttempts: []PriorAttempt{prior}}
		actions := d.handle(query)
		if len(sendsIn(actions)) > 0 || contains[Reject](actions) != isEarlier || contains[Fail](actions) == isEarlier {
			t.Errorf("earlier request %v: actions = %+v, want a %s", isEarlier, actions, want)
		}
	}
}

// TestPriorAttemptsOfOtherClasses checks that a query that is not idempotent is not sent after a prior
// attempt, and that an idempotent one is sent anywhere, at any time.
func TestPriorAttemptsOfOtherClasses(t *testing.T) {
	for class, wantSend := range map[string]bool{"non-idempotent": false, "idempotent": true} {
		d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
		prior := []PriorAttempt{{SentAt: time.Second, Placement: Placement{Engine: "f", Zone: "b", Cell: 2}}}
		actions := d.handle(QueryArrived{Query: 1, Class: class, Deadline: d.now + time.Second, PriorAttempts: prior})
		if isSent := len(sendsIn(actions)) > 0; isSent != wantSend || isSent == contains[Fail](actions) {
			t.Errorf("%s: actions = %+v, want sent %v or else a Fail", class, actions, wantSend)
		}
	}
}
