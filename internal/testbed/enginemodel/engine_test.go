package enginemodel

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// lookup returns a query of one thread that needs little memory.
func lookup(id uint64, work time.Duration) Query {
	return Query{ID: id, Class: Class{Threads: 1, Waits: true}, Work: work, NeedMB: 10, Priority: 1}
}

// completions advances the engine and returns when each query completed, by id.
func completions(e *Engine, until time.Duration) map[uint64]time.Duration {
	at := map[uint64]time.Duration{}
	for _, d := range e.Advance(until) {
		at[d.ID] = d.At
	}
	return at
}

// checkNear verifies that a duration is within 2 % and 1 ms of the one wanted.
func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if math.Abs(float64(got-want)) > 0.02*float64(want)+float64(time.Millisecond) {
		t.Errorf("%s at %v, want about %v", what, got, want)
	}
}

// TestRules verifies each rule of the specification that the model follows.
func TestRules(t *testing.T) {
	cfg := Usual()
	t.Run("a single query takes the time of its work", func(t *testing.T) {
		e := New(cfg)
		e.Submit(0, lookup(1, 200*ms))
		checkNear(t, "completion", completions(e, time.Second)[1], 200*ms)
	})
	t.Run("threads share the cores", func(t *testing.T) {
		e := New(cfg)
		for id := range uint64(16) {
			e.Submit(0, lookup(id, 200*ms))
		}
		past := 16/cfg.Cores/cfg.Knee - 1
		checkNear(t, "completion", completions(e, 5*time.Second)[3], time.Duration(400*float64(ms)*(1+cfg.Thrash*past)))
	})
	t.Run("priorities share scarce cores", func(t *testing.T) {
		e := New(cfg)
		for id := range uint64(32) {
			q := lookup(id, 200*ms)
			q.Priority = int(id % 2 * 3)
			e.Submit(0, q)
		}
		at := completions(e, 20*time.Second)
		if at[1] >= at[0]*3/4 {
			t.Errorf("priority 3 completed at %v, want less than 3/4 of priority 0, which completed at %v", at[1], at[0])
		}
	})
	t.Run("queries wait for memory", func(t *testing.T) {
		e := New(cfg)
		for id := range uint64(3) {
			q := lookup(id, 100*ms)
			q.NeedMB, q.GrantMB = 6000, 6000
			e.Submit(0, q)
		}
		if got := e.Load().Waiting; got != 1 {
			t.Errorf("%d queries wait for memory, want 1", got)
		}
		checkNear(t, "completion of the query that waited", completions(e, time.Second)[2], 200*ms)
	})
	t.Run("too little memory spills", func(t *testing.T) {
		e := New(cfg)
		q := lookup(1, 100*ms)
		q.NeedMB, q.GrantMB = 100, 50
		e.Submit(0, q)
		checkNear(t, "completion", completions(e, time.Second)[1], time.Duration(float64(100*ms)*(1+cfg.Spill/2)))
	})
	t.Run("a bulk load locks its group", func(t *testing.T) {
		e := New(cfg)
		load := Query{ID: 1, Class: Class{Threads: 2, Load: true}, Work: time.Second, NeedMB: 10, Group: 7}
		e.Submit(0, load)
		q, other := lookup(2, 100*ms), lookup(3, 100*ms)
		q.Group, other.Group = 7, 8
		e.Submit(0, q)
		e.Submit(0, other)
		at := completions(e, 3*time.Second)
		checkNear(t, "completion of the load", at[1], 500*ms)
		checkNear(t, "completion of the query in the locked group", at[2], 600*ms)
		checkNear(t, "completion of the query in another group", at[3], 100*ms)
	})
	t.Run("a cold engine is slow and crashes from overload", func(t *testing.T) {
		e := New(cfg)
		e.Start(time.Second)
		if c := e.Capacity(); c != cfg.ColdStart {
			t.Errorf("capacity at the start is %g, want %g", c, cfg.ColdStart)
		}
		for id := range uint64(40) {
			e.Submit(time.Second+time.Duration(id)*10*ms, lookup(id, 200*ms))
		}
		if !e.Fallen() || e.Submit(2*time.Second, lookup(99, ms)) {
			t.Error("after 8 s of work sent within 0.4 s, the cold engine has not crashed or accepts a query, want a crash and no query accepted")
		}
	})
	t.Run("a full engine rejects queries", func(t *testing.T) {
		e := New(cfg)
		for id := range uint64(cfg.Sessions) {
			e.Submit(0, lookup(id, time.Second))
		}
		if e.Submit(0, lookup(999, ms)) {
			t.Error("a full engine accepted a query, want it rejected")
		}
		if !e.Cancel(0, 5) || !e.Submit(0, lookup(999, ms)) {
			t.Error("Cancel returned false or the next query was rejected, want true and the query accepted")
		}
	})
}

// TestAnyLoad submits and cancels random queries. It verifies that each accepted query completes exactly once
// unless canceled, and that the granted memory is that of the running queries.
func TestAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Usual()
		cfg.OverloadWindow = 0
		e := New(cfg)
		now, total := time.Duration(0), 0.0
		outstanding := map[uint64]bool{}
		id := uint64(0)
		take := func(done []Done) {
			for _, d := range done {
				if !outstanding[d.ID] {
					t.Fatalf("query %d completed, but is not outstanding", d.ID)
				}
				delete(outstanding, d.ID)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			take(e.Advance(now))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if len(outstanding) > 0 && outstanding[id] {
					if e.Cancel(now, id) != true {
						t.Fatalf("Cancel(%d) = false, want true for an outstanding query", id)
					}
					delete(outstanding, id)
				}
			default:
				id++
				q := Query{ID: id, Work: time.Duration(rapid.IntRange(1, 3000).Draw(t, "work")) * ms, NeedMB: rapid.Float64Range(1, 9000).Draw(t, "need"),
					Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Group: rapid.Int64Range(0, 3).Draw(t, "group"),
					Class: Class{Threads: float64(rapid.IntRange(1, 3).Draw(t, "threads")), IO: rapid.Float64Range(0, 0.7).Draw(t, "io"),
						Load: rapid.Bool().Draw(t, "load"), Waits: rapid.Bool().Draw(t, "waits")}}
				if e.Submit(now, q) {
					outstanding[id] = true
					total += q.Work.Seconds() * (1 + cfg.Spill)
				}
			}
			granted := 0.0
			for _, r := range e.running {
				granted += r.GrantMB
			}
			if math.Abs(granted-e.granted) > 1e-6*(1+granted) {
				t.Fatalf("granted memory is %g MB, want %g MB, the sum of the running queries", e.granted, granted)
			}
		}
		take(e.Advance(now + time.Duration(100*total*float64(time.Second)) + time.Hour))
		if len(outstanding) > 0 {
			t.Fatalf("%d queries never completed, want 0", len(outstanding))
		}
	})
}
