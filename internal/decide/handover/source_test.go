package handover

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Whatever comes in whatever order: a connection is transferred only while it is here and idle, is
// reclaimed only after it was transferred and only once the target is dead, nothing is transferred
// while the target is being killed, the listener goes on unless the target is the owner, each
// upgrade has one outcome, and the source exits only when no connection is left here.
func TestSourceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		source := NewSource(cfg, Version{1, 0})
		now := time.Duration(0)
		type where byte
		const (
			here where = iota
			busy
			transferred
		)
		conns := map[ConnID]where{}
		next, reports, upgrades, accepting, dead, gone := ConnID(1), 0, 0, true, true, false
		step := func(event SourceEvent) {
			_, died := event.(TargetExited)
			for _, e := range source.Step(now, event) {
				if gone {
					t.Fatalf("%#v after the exit", e)
				}
				switch e := e.(type) {
				case StartTarget:
					dead = false
				case TransferConnection:
					if conns[e.Conn] != here {
						t.Fatalf("%d is transferred, and is %d", e.Conn, conns[e.Conn])
					}
					if dead {
						t.Fatalf("%d is transferred to nobody", e.Conn)
					}
					conns[e.Conn] = transferred
				case ReclaimConnection:
					if conns[e.Conn] != transferred || !died {
						t.Fatalf("%d is reclaimed, and is %d", e.Conn, conns[e.Conn])
					}
					if conns[e.Conn] = here; e.Request.InFlight {
						conns[e.Conn] = busy
					}
				case ReleaseDuplicate:
					if conns[e.Conn] != transferred {
						t.Fatalf("%d is released, and is %d", e.Conn, conns[e.Conn])
					}
					delete(conns, e.Conn)
				case StopAccepting:
					accepting = false
				case StartAccepting:
					accepting = true
				case ReportOutcome:
					reports++
				case Exit:
					for id, w := range conns {
						if w != transferred {
							t.Fatalf("it exits, and %d is here", id)
						}
					}
					gone = true
				}
			}
			if !accepting && source.Phase() != Finishing && source.Phase() != Exited {
				t.Fatalf("nobody accepts in %v", source.Phase())
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
				if source.Phase() == Idle {
					upgrades++
				}
				was := reports
				step(UpgradeRequested{})
				if source.Phase() != AwaitingHello && reports == was {
					t.Fatal("no outcome of an upgrade that did not begin")
				} else if reports > was {
					reports = was
				}
			},
			"accept": func(*rapid.T) {
				if accepting && !gone {
					conns[next] = here
					next++
					step(ConnectionAccepted{next - 1})
				}
			},
			"busy": func(*rapid.T) {
				if id, ok := some(here); ok {
					conns[id] = busy
					step(ConnectionBusy{id})
				}
			},
			"free": func(*rapid.T) {
				if id, ok := some(busy); ok {
					conns[id] = here
					step(ConnectionIdle{id})
				}
			},
			"close": func(*rapid.T) {
				if id, ok := some(here); ok {
					delete(conns, id)
					step(ConnectionClosed{id})
				}
			},
			"they close": func(*rapid.T) {
				if id, ok := some(transferred); ok && !dead {
					step(TargetClosedConnection{id})
				}
			},
			"record": func(t *rapid.T) {
				if id, ok := some(transferred); ok && !dead {
					step(RequestRecorded{id, Request{InFlight: rapid.Bool().Draw(t, "open")}})
				}
			},
			"hello": func(t *rapid.T) {
				if !dead {
					step(TargetHello{Version: Version{1, rapid.IntRange(0, 2).Draw(t, "minor")}})
				}
			},
			"ready": func(*rapid.T) {
				if !dead {
					step(TargetReady{})
				}
			},
			"alive": func(t *rapid.T) {
				if !dead {
					step(TargetHeartbeat{Successes: rapid.IntRange(0, 30).Draw(t, "good"), Failures: rapid.IntRange(0, 3).Draw(t, "bad")})
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
				step(Tick{})
			},
			"die": func(*rapid.T) {
				if !dead {
					dead = true
					step(TargetExited{})
					if !gone && source.Phase() != Idle {
						t.Fatalf("the target is dead, and the phase is %v", source.Phase())
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

// The target is judged by what is usual: where a fifth of all is rejected anyway, it may
// reject as much, and no more than that by far.
func TestBadAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		usual     float64
		good, bad int
		want      Phase
	}{
		"good":                    {0, 30, 1, Probation},
		"bad":                     {0, 20, 10, RollingBack},
		"as bad as usual":         {0.2, 20, 8, Probation},
		"worse than usual by far": {0.2, 10, 20, RollingBack},
		"too few to tell":         {0, 5, 5, Probation},
	} {
		source := NewSource(DefaultConfig(), Version{1, 0})
		var kinds []string
		for _, in := range []SourceEvent{UpgradeRequested{tt.usual}, TargetHello{Version: Version{1, 0}}, TargetReady{}, TargetHeartbeat{Successes: tt.good, Failures: tt.bad}} {
			for _, e := range source.Step(0, in) {
				kinds = append(kinds, reflect.TypeOf(e).Name())
			}
		}
		want := []string{"StartTarget", "SendState", "SendServe"}
		if tt.want == RollingBack {
			want = append(want, "KillTarget")
		}
		if diff := cmp.Diff(want, kinds); diff != "" || source.Phase() != tt.want {
			t.Errorf("%s: %v (-want +got):\n%s", name, source.Phase(), diff)
		}
	}
}

// A target that takes requests and answers none does not pass for one without work.
func TestTargetAnswersNothing(t *testing.T) {
	for open, want := range map[int]Phase{0: Finishing, 3: RollingBack} {
		source := NewSource(DefaultConfig(), Version{1, 0})
		source.Step(0, ConnectionAccepted{1})
		for _, in := range []SourceEvent{UpgradeRequested{}, TargetHello{Version: Version{1, 0}}, ConnectionBusy{1}, TargetReady{}} {
			source.Step(0, in)
		}
		source.Step(15*time.Second, TargetHeartbeat{InFlight: open})
		if source.Phase() != want {
			t.Errorf("with %d open: %v, want %v", open, source.Phase(), want)
		}
	}
}

// After a target that dies as the owner, the source serves again while it lives.
func TestOwnerDies(t *testing.T) {
	source := NewSource(DefaultConfig(), Version{1, 0})
	source.Step(0, ConnectionAccepted{1})
	source.Step(0, ConnectionAccepted{2})
	for _, in := range []SourceEvent{UpgradeRequested{}, TargetHello{Version: Version{1, 1}}, ConnectionBusy{1}, TargetReady{}} {
		source.Step(0, in)
	}
	source.Step(5*time.Second, TargetHeartbeat{Successes: 100})
	if source.Phase() != Finishing {
		t.Fatalf("it stands at %v", source.Phase())
	}
	want := []SourceEffect{StartAccepting{}, ReportOutcome{Failure{Reason: OwnerDied}}}
	if diff := cmp.Diff(want, source.Step(6*time.Second, TargetExited{})); diff != "" || source.Phase() != Idle {
		t.Errorf("%v (-want +got):\n%s", source.Phase(), diff)
	}
	if out := source.Step(7*time.Second, ConnectionIdle{1}); len(out) != 0 {
		t.Errorf("what is free stays here: %v", out)
	}
}
