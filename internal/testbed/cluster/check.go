package cluster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/load"
)

// reportGrace is how long a report about a front end may still appear after the front end is back or reachable again:
// another member first has to receive from it, and that observation then has to spread.
const reportGrace = 5 * time.Second

// check checks the invariants on the observations. It does not depend on how members decide: it uses only the injected
// faults, the members' logs, and what clients and engines saw.
func (t *cluster) check(res *Result, records []load.Record, runs []emulator.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := func(format string, args ...any) { res.Broken = append(res.Broken, fmt.Sprintf(format, args...)) }
	res.Events = slices.Clone(t.events)
	slices.SortStableFunc(res.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	t.checkDeaths(res, broken)
	t.checkAnswers(res, records, runs, broken)
	for _, p := range t.frontEnds {
		if p.failed != nil {
			broken("crash: %v", p.failed)
		}
	}
	res.Passed, res.Lost = t.mesh.passed, t.mesh.dropped
}

// reachable reports whether a front end was running at a time and had two-way contact with more than half of the front ends.
func (t *cluster) reachable(who int, at time.Time) bool {
	unreachable := map[int]bool{}
	for _, s := range t.spans {
		if s.who != who || at.Before(s.from) || !s.to.IsZero() && at.After(s.to.Add(reportGrace)) {
			continue
		}
		if s.down {
			return false
		}
		for _, n := range s.unreachable {
			unreachable[n] = true
		}
	}
	return 2*(len(t.frontEnds)-len(unreachable)) > len(t.frontEnds)
}

// becameMember reports whether an event says that a process joined as a new member, instead of continuing the membership of
// its predecessor.
func becameMember(e Event) bool { return e.Name == "members" && e.Fields["carried"] != true }

// stopped reports whether a front end had been down at the given time or at any time before it.
func (t *cluster) stopped(who int, at time.Time) bool {
	return slices.ContainsFunc(t.spans, func(s span) bool { return s.who == who && s.down && !at.Before(s.from) })
}

// checkDeaths checks the members' reports about each other against the injected faults. A member that more than half can
// reach must not be reported dead. A member may not be reported lost if both it and the reporter are reachable by more than
// half. All running members must know of a front end that is down for good.
func (t *cluster) checkDeaths(res *Result, broken func(string, ...any)) {
	known := map[[2]int]time.Time{} // first report of the end of a member, by reporter and subject
	views := map[int]int{}
	for _, e := range res.Events {
		switch {
		case becameMember(e):
			for n := range t.frontEnds {
				delete(known, [2]int{e.From, n})
			}
		case e.Name == "members.view" && e.At.After(t.began):
			views[e.From]++
			res.Views = max(res.Views, views[e.From])
		case e.Name == "members.state":
			id, _ := e.Fields["member"].(float64)
			of, state := int(id)-1, fmt.Sprint(e.Fields["state"])
			ended := state == "dead" || state == "lost" || state == "left"
			switch {
			case !ended:
				delete(known, [2]int{e.From, of})
				continue
			case known[[2]int{e.From, of}].IsZero():
				known[[2]int{e.From, of}] = e.At
			}
			t.checkReport(e, of, state, broken)
		}
	}
	t.checkDeathsKnown(res, known, broken)
}

// checkReport checks one report of a member's end against the faults injected into the member.
func (t *cluster) checkReport(e Event, of int, state string, broken func(string, ...any)) {
	if state == "left" && !t.stopped(of, e.At) {
		broken("false leave report: %v after the start, front end %d reports that front end %d left, but it was not stopped", e.At.Sub(t.began).Round(time.Millisecond), e.From, of)
	}
	if state == "dead" && t.reachable(of, e.At) || state == "lost" && t.reachable(of, e.At) && t.reachable(e.From, e.At) {
		broken("%s: %v after the start, front end %d reports front end %d, which is reachable, as %s: reason %v, witnesses %v", "false death report", e.At.Sub(t.began).Round(time.Millisecond), e.From, of, state, e.Fields["why"], e.Fields["witnesses"])
	}
}

// checkDeathsKnown checks that all running front ends know of each front end that is down for good.
func (t *cluster) checkDeathsKnown(res *Result, known map[[2]int]time.Time, broken func(string, ...any)) {
	for _, s := range t.spans {
		if !s.down || !s.to.IsZero() {
			continue
		}
		var last time.Duration
		for n := range t.frontEnds {
			if !t.up[n] {
				continue
			}
			at, ok := known[[2]int{n, s.who}]
			if !ok {
				broken("undetected death: front end %d has no report that front end %d is down", n, s.who)
			}
			last = max(last, at.Sub(s.from))
		}
		res.Known = append(res.Known, last)
	}
}

// checkAnswers checks what clients received against what engines executed. A request to a process that was down meanwhile
// may stay without an answer.
func (t *cluster) checkAnswers(res *Result, records []load.Record, runs []emulator.Run, broken func(string, ...any)) {
	byMark, executed := map[string]load.Record{}, map[string]bool{}
	for _, r := range runs {
		executed[r.Mark] = true
	}
	for _, r := range records {
		byMark[r.Mark] = r
		res.Requests++
		res.Verdicts[r.Verdict]++
	}
	for _, f := range load.Check(records, runs, 12*time.Second) {
		r := byMark[f.Mark]
		if f.Rule == "no answer" || f.Rule == "not reached" {
			if parts := strings.Split(f.Mark, "-"); len(parts) == 3 {
				n, _ := strconv.Atoi(parts[1])
				if slices.ContainsFunc(t.spans, func(s span) bool {
					// A client finds out that a connection of an earlier process is closed only at its next use.
					return (s.down || s.disconnected || s.idleDisconnected && !executed[f.Mark]) && s.who == n && s.from.Add(-time.Second).Before(r.End) && (s.to.IsZero() || s.to.Add(reportGrace).After(r.Due))
				}) {
					continue
				}
			}
		}
		broken("%s", f)
	}
}
