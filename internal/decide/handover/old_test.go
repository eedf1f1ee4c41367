package handover

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Whatever comes in whatever order: a connection is given only while it is here and free, is
// taken back only after it was given and only once the new process is dead, nothing is given
// while it is being ended, the listener goes on unless the new process has it for good, each
// upgrade has one report, and the old process leaves only when nothing is here.
func TestOldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Defaults()
		o := NewOld(cfg, Version{1, 0})
		now := time.Duration(0)
		type where byte
		const (
			here where = iota
			busy
			given
		)
		conns := map[ConnID]where{}
		next, reports, upgrades, accepting, dead, gone := ConnID(1), 0, 0, true, true, false
		step := func(in any) {
			_, died := in.(Died)
			for _, e := range o.Step(now, in) {
				if gone {
					t.Fatalf("%#v after the exit", e)
				}
				switch e := e.(type) {
				case Spawn:
					dead = false
				case Give:
					if conns[e.Conn] != here {
						t.Fatalf("%d is given, and is %d", e.Conn, conns[e.Conn])
					}
					if dead {
						t.Fatalf("%d is given to nobody", e.Conn)
					}
					conns[e.Conn] = given
				case TakeBack:
					if conns[e.Conn] != given || !died {
						t.Fatalf("%d is taken back, and is %d", e.Conn, conns[e.Conn])
					}
					if conns[e.Conn] = here; e.Request.Open {
						conns[e.Conn] = busy
					}
				case Forget:
					if conns[e.Conn] != given {
						t.Fatalf("%d is forgotten, and is %d", e.Conn, conns[e.Conn])
					}
					delete(conns, e.Conn)
				case StopAccepting:
					accepting = false
				case StartAccepting:
					accepting = true
				case Report:
					reports++
				case Exit:
					for id, w := range conns {
						if w != given {
							t.Fatalf("it leaves, and %d is here", id)
						}
					}
					gone = true
				}
			}
			if !accepting && o.Phase() != Finishing && o.Phase() != Gone {
				t.Fatalf("nobody accepts in %v", o.Phase())
			}
		}
		some := func(w where) (id ConnID, ok bool) {
			for i := ConnID(1); i < next; i++ {
				if got, held := conns[i]; held && got == w && (!ok || rapid.Bool().Draw(t, "another")) {
					id, ok = i, true
				}
			}
			return id, ok
		}
		t.Repeat(map[string]func(*rapid.T){
			"upgrade": func(*rapid.T) {
				if o.Phase() == Idle {
					upgrades++
				}
				was := reports
				step(Upgrade{})
				if o.Phase() != Greeting && reports == was {
					t.Fatal("no word on an upgrade that did not begin")
				} else if reports > was {
					reports = was
				}
			},
			"accept": func(*rapid.T) {
				if accepting && !gone {
					conns[next] = here
					next++
					step(Accepted{next - 1})
				}
			},
			"busy": func(*rapid.T) {
				if id, ok := some(here); ok {
					conns[id] = busy
					step(Busy{id})
				}
			},
			"free": func(*rapid.T) {
				if id, ok := some(busy); ok {
					conns[id] = here
					step(Free{id})
				}
			},
			"close": func(*rapid.T) {
				if id, ok := some(here); ok {
					delete(conns, id)
					step(Closed{id})
				}
			},
			"they close": func(*rapid.T) {
				if id, ok := some(given); ok && !dead {
					step(TheyClosed{id})
				}
			},
			"record": func(t *rapid.T) {
				if id, ok := some(given); ok && !dead {
					step(Recorded{id, Request{Open: rapid.Bool().Draw(t, "open")}})
				}
			},
			"hello": func(t *rapid.T) {
				if !dead {
					step(Hello{Version: Version{1, rapid.IntRange(0, 2).Draw(t, "minor")}})
				}
			},
			"ready": func(*rapid.T) {
				if !dead {
					step(Ready{})
				}
			},
			"alive": func(t *rapid.T) {
				if !dead {
					step(Alive{Good: rapid.IntRange(0, 30).Draw(t, "good"), Bad: rapid.IntRange(0, 3).Draw(t, "bad")})
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
				step(Tick{})
			},
			"die": func(*rapid.T) {
				if !dead {
					dead = true
					step(Died{})
					if !gone && o.Phase() != Idle {
						t.Fatalf("the new process is dead, and the upgrade stands at %v", o.Phase())
					}
				}
			},
			"": func(*rapid.T) {
				if reports > 2*upgrades { // one of each upgrade, and one of a death after it
					t.Fatalf("%d reports of %d upgrades", reports, upgrades)
				}
			},
		})
	})
}

// One table for what becomes of a request whose process died.
func TestRecover(t *testing.T) {
	const s = time.Second
	for name, tt := range map[string]struct {
		r       Request
		written int
		now     time.Duration
		want    Recovery
	}{
		"none":                        {Request{}, 0, 0, Nothing},
		"never sent":                  {Request{Open: true, Deadline: s}, 0, 0, SendAgain},
		"never sent, its time over":   {Request{Open: true, Deadline: s}, 0, s, TellLate},
		"may run once, sent":          {Request{Open: true, Sent: true, Deadline: s}, 0, 0, TellDoubt},
		"safe, sent":                  {Request{Open: true, Sent: true, Effect: Safe, Deadline: s}, 0, 0, SendAgain},
		"keyed, in its window":        {Request{Open: true, Sent: true, Effect: Keyed, FirstSend: s, Window: 12 * s, Deadline: 60 * s}, 0, 12 * s, SendAgain},
		"keyed, at its window's end":  {Request{Open: true, Sent: true, Effect: Keyed, FirstSend: s, Window: 12 * s, Deadline: 60 * s}, 0, 13*s - margin, TellDoubt},
		"answer written":              {Request{Open: true, Sent: true, Answering: 10, Deadline: s}, 10, 0, Nothing},
		"answer known, half written":  {Request{Open: true, Sent: true, Answering: 10, Kept: true, Deadline: s}, 5, 0, SendRest},
		"answer known, none, late":    {Request{Open: true, Sent: true, Answering: 10, Kept: true, Deadline: s}, 0, 2 * s, SendRest},
		"answer lost, half written":   {Request{Open: true, Sent: true, Answering: 10, Deadline: s}, 5, 0, Break},
		"answer lost, safe, none yet": {Request{Open: true, Sent: true, Effect: Safe, Answering: 10, Deadline: s}, 0, 0, SendAgain},
	} {
		if got := Recover(tt.r, tt.written, tt.now); got != tt.want {
			t.Errorf("%s: %d, want %d", name, got, tt.want)
		}
	}
}

// The new process is held to what is usual: where a fifth of all is refused anyway, it may
// refuse as much, and no more than that by far.
func TestBadAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		usual     float64
		good, bad int
		want      Phase
	}{
		"good":                    {0, 30, 1, Probation},
		"bad":                     {0, 20, 10, Returning},
		"as bad as usual":         {0.2, 20, 8, Probation},
		"worse than usual by far": {0.2, 10, 20, Returning},
		"too few to tell":         {0, 5, 5, Probation},
	} {
		o := NewOld(Defaults(), Version{1, 0})
		var kinds []string
		for _, in := range []any{Upgrade{tt.usual}, Hello{Version: Version{1, 0}}, Ready{}, Alive{Good: tt.good, Bad: tt.bad}} {
			for _, e := range o.Step(0, in) {
				kinds = append(kinds, reflect.TypeOf(e).Name())
			}
		}
		want := []string{"Spawn", "SendState", "SendGo"}
		if tt.want == Returning {
			want = append(want, "Kill")
		}
		if diff := cmp.Diff(want, kinds); diff != "" || o.Phase() != tt.want {
			t.Errorf("%s: %v (-want +got):\n%s", name, o.Phase(), diff)
		}
	}
}

// A new process that takes requests and answers none does not pass for one without work.
func TestAnswersNothing(t *testing.T) {
	for open, want := range map[int]Phase{0: Finishing, 3: Returning} {
		o := NewOld(Defaults(), Version{1, 0})
		o.Step(0, Accepted{1})
		for _, in := range []any{Upgrade{}, Hello{Version: Version{1, 0}}, Busy{1}, Ready{}} {
			o.Step(0, in)
		}
		o.Step(15*time.Second, Alive{Open: open})
		if o.Phase() != want {
			t.Errorf("with %d open: %v, want %v", open, o.Phase(), want)
		}
	}
}

// A new process that dies after it was the owner leaves the old one, while it lives, serving.
func TestOwnerDies(t *testing.T) {
	o := NewOld(Defaults(), Version{1, 0})
	o.Step(0, Accepted{1})
	o.Step(0, Accepted{2})
	for _, in := range []any{Upgrade{}, Hello{Version: Version{1, 1}}, Busy{1}, Ready{}} {
		o.Step(0, in)
	}
	o.Step(5*time.Second, Alive{Good: 100})
	if o.Phase() != Finishing {
		t.Fatalf("it stands at %v", o.Phase())
	}
	want := []any{StartAccepting{}, Report{"it died after it was the owner; what it had was lost"}}
	if diff := cmp.Diff(want, o.Step(6*time.Second, Died{})); diff != "" || o.Phase() != Idle {
		t.Errorf("%v (-want +got):\n%s", o.Phase(), diff)
	}
	if out := o.Step(7*time.Second, Free{1}); len(out) != 0 {
		t.Errorf("what is free stays here: %v", out)
	}
}
