package cluster

import (
	"strings"
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/load"
)

// The checker reports each kind of violation, and nothing for a correct run. Each case is a log with at most one violation.
func TestCheck(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	report := func(s float64, from, of int, state string) Event {
		return Event{At: at(s), From: from, Name: "members.state", Fields: map[string]any{"member": float64(of + 1), "state": state}}
	}
	deathReports := []Event{report(12, 0, 2, "dead"), report(12.5, 1, 2, "dead")}
	down := []span{{who: 2, from: at(10), down: true}}
	request := func(mark string, s float64, v load.Verdict) load.Record {
		return load.Record{Mark: mark, Kind: load.Kind(mark[0]), Due: at(s), End: at(s + 0.1), Verdict: v}
	}
	for _, c := range []struct {
		name    string
		events  []Event
		spans   []span
		up      []bool
		records []load.Record
		runs    []emulator.Run
		want    string
	}{
		{name: "no violation", events: deathReports, spans: down, up: []bool{true, true, false}},
		{name: "a survivor does not know of a death", events: deathReports[:1], spans: down, up: []bool{true, true, false}, want: "undetected death: front end 1"},
		{name: "a survivor knew of a death only before it restarted", events: append(deathReports[:2:2], Event{At: at(13), From: 1, Name: "members"}), spans: down, up: []bool{true, true, false}, want: "undetected death: front end 1"},
		{name: "a serving front end is reported dead", events: deathReports[:1], up: []bool{true, true, true}, want: "false death report"},
		{name: "a front end is reported dead long after its pause", events: []Event{report(20, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), to: at(11), down: true}}, up: []bool{true, true, true}, want: "false death report"},
		{name: "a front end is reported dead during its pause", events: []Event{report(5, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), to: at(11), down: true}}, up: []bool{true, true, true}},
		{name: "a front end that one peer cannot reach is reported dead", events: []Event{report(5, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), unreachable: []int{0}}}, up: []bool{true, true, true}, want: "false death report"},
		{name: "a front end that no peer can reach is reported dead", events: []Event{report(5, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), unreachable: []int{0, 1}}}, up: []bool{true, true, true}},
		{name: "a partitioned front end reports another as lost", events: []Event{report(5, 0, 2, "lost")}, spans: []span{{who: 0, from: at(1), unreachable: []int{1, 2}}, {who: 2, from: at(1), unreachable: []int{0}}}, up: []bool{true, true, true}},
		{name: "no answer", up: []bool{true, true, true}, records: []load.Record{request("q-1-1", 5, load.Reset)}, want: "no answer"},
		{name: "no answer from a front end that is down", events: deathReports, spans: down, up: []bool{true, true, false}, records: []load.Record{request("q-2-1", 10, load.Reset)}},
		{name: "an idle connection closed by a replacement of the process", spans: []span{{who: 1, from: at(4), to: at(6), idleDisconnected: true}}, up: []bool{true, true, true}, records: []load.Record{request("q-1-1", 5, load.Reset)}},
		{name: "no answer to a request executed during a replacement", spans: []span{{who: 1, from: at(4), to: at(6), idleDisconnected: true}}, up: []bool{true, true, true}, records: []load.Record{request("q-1-1", 5, load.Reset)},
			runs: []emulator.Run{{Mark: "q-1-1", At: at(5)}}, want: "no answer"},
		{name: "a replaced front end is reported as having left", events: []Event{report(5, 0, 2, "left")}, spans: []span{{who: 2, from: at(4), to: at(6), idleDisconnected: true}}, up: []bool{true, true, true}, want: "false leave report"},
		{name: "a replaced front end still knows of a death", events: append(deathReports[:2:2], Event{At: at(13), From: 1, Name: "members", Fields: map[string]any{"carried": true}}), spans: down, up: []bool{true, true, false}},
		{name: "a load takes effect twice", up: []bool{true, true, true}, records: []load.Record{request("k-1-1", 5, load.Served)},
			runs: []emulator.Run{{Mark: "k-1-1", At: at(5)}, {Mark: "k-1-1", At: at(5.1)}}, want: "effect twice"},
	} {
		run := &cluster{frontEnds: []*frontEnd{{n: 0}, {n: 1}, {n: 2}}, mesh: &mesh{}, began: began, events: c.events, spans: c.spans, up: c.up}
		res := &Result{Verdicts: map[load.Verdict]int{}}
		run.check(res, c.records, c.runs)
		if got := strings.Join(res.Broken, "; "); got == "" != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got violations %q, want %q", c.name, got, c.want)
		}
	}
}

// The same seed draws the same schedule, and a different seed a different one.
func TestDrawn(t *testing.T) {
	schedule := func(seed uint64) string {
		var b strings.Builder
		for _, f := range Drawn(seed, 7, 3, 30, time.Minute) {
			if f.At+f.For > time.Minute {
				t.Errorf("fault %+v ends after the span of 1m0s", f)
			}
			b.WriteString(string(f.Do) + f.At.String())
		}
		return b.String()
	}
	first, repeated, other := schedule(1), schedule(1), schedule(2)
	if first != repeated || first == other {
		t.Errorf("got equal schedules for seed 1: %v, different ones for seeds 1 and 2: %v; want both true", first == repeated, first != other)
	}
}
