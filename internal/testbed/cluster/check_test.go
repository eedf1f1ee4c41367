package cluster

import (
	"strings"
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/load"
)

// The checker tells what it is there for, and nothing where all is well: each case is a log with one thing put in.
func TestCheck(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	said := func(s float64, from, of int, state string) Event {
		return Event{At: at(s), From: from, Name: "members.state", Fields: map[string]any{"member": float64(of + 1), "state": state}}
	}
	died := []Event{said(12, 0, 2, "dead"), said(12.5, 1, 2, "dead")}
	gone := []span{{who: 2, from: at(10), down: true}}
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
		{name: "all is well", events: died, spans: gone, up: []bool{true, true, false}},
		{name: "a death that one does not know", events: died[:1], spans: gone, up: []bool{true, true, false}, want: "unknown death: 1"},
		{name: "and one that knew it before it started anew", events: append(died[:2:2], Event{At: at(13), From: 1, Name: "members"}), spans: gone, up: []bool{true, true, false}, want: "unknown death: 1"},
		{name: "one is called dead that serves", events: died[:1], up: []bool{true, true, true}, want: "wrong death"},
		{name: "one is called dead long after its pause", events: []Event{said(20, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), to: at(11), down: true}}, up: []bool{true, true, true}, want: "wrong death"},
		{name: "one is called dead in its pause", events: []Event{said(5, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), to: at(11), down: true}}, up: []bool{true, true, true}},
		{name: "one is called dead that one does not hear", events: []Event{said(5, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), unreachable: []int{0}}}, up: []bool{true, true, true}, want: "wrong death"},
		{name: "one is called dead that nobody hears", events: []Event{said(5, 0, 2, "dead")}, spans: []span{{who: 2, from: at(1), unreachable: []int{0, 1}}}, up: []bool{true, true, true}},
		{name: "one is lost to one that is cut off", events: []Event{said(5, 0, 2, "lost")}, spans: []span{{who: 0, from: at(1), unreachable: []int{1, 2}}, {who: 2, from: at(1), unreachable: []int{0}}}, up: []bool{true, true, true}},
		{name: "no answer", up: []bool{true, true, true}, records: []load.Record{request("q-1-1", 5, load.Reset)}, want: "no answer"},
		{name: "no answer of one that is gone", events: died, spans: gone, up: []bool{true, true, false}, records: []load.Record{request("q-2-1", 10, load.Reset)}},
		{name: "a kept connection that ended as another process took the place", spans: []span{{who: 1, from: at(4), to: at(6), idleDisconnected: true}}, up: []bool{true, true, true}, records: []load.Record{request("q-1-1", 5, load.Reset)}},
		{name: "no answer to what had been taken then", spans: []span{{who: 1, from: at(4), to: at(6), idleDisconnected: true}}, up: []bool{true, true, true}, records: []load.Record{request("q-1-1", 5, load.Reset)},
			runs: []emulator.Run{{Mark: "q-1-1", At: at(5)}}, want: "no answer"},
		{name: "one is said to have left that was only replaced", events: []Event{said(5, 0, 2, "left")}, spans: []span{{who: 2, from: at(4), to: at(6), idleDisconnected: true}}, up: []bool{true, true, true}, want: "wrong word"},
		{name: "one that goes on in another process still knows of a death", events: append(died[:2:2], Event{At: at(13), From: 1, Name: "members", Fields: map[string]any{"carried": true}}), spans: gone, up: []bool{true, true, false}},
		{name: "a load with two effects", up: []bool{true, true, true}, records: []load.Record{request("k-1-1", 5, load.Served)},
			runs: []emulator.Run{{Mark: "k-1-1", At: at(5)}, {Mark: "k-1-1", At: at(5.1)}}, want: "effect twice"},
	} {
		run := &cluster{procs: []*frontEnd{{n: 0}, {n: 1}, {n: 2}}, mesh: &mesh{}, began: began, events: c.events, spans: c.spans, up: c.up}
		res := &Result{Verdicts: map[load.Verdict]int{}}
		run.check(res, c.records, c.runs)
		if got := strings.Join(res.Broken, "; "); got == "" != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// The same seed gives the same troubles, another one others.
func TestDrawn(t *testing.T) {
	schedule := func(seed uint64) string {
		var b strings.Builder
		for _, f := range Drawn(seed, 7, 3, 30, time.Minute) {
			if f.At+f.For > time.Minute {
				t.Errorf("%+v is not over in time", f)
			}
			b.WriteString(string(f.Do) + f.At.String())
		}
		return b.String()
	}
	first, repeated, other := schedule(1), schedule(1), schedule(2)
	if first != repeated || first == other {
		t.Error("the seed does not decide")
	}
}
