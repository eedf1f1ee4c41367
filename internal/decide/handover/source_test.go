package handover

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Checks the source with events in any order. A connection is transferred only while it is idle at the
// source and the target lives; it is reclaimed only after it was transferred, and only once the target
// is dead. The source accepts connections unless the target is the permanent owner. A rejected
// upgrade has an outcome, and the others have at most two each on average, as a second one is reported
// if the target dies as the owner. The source exits only when it has no connections left.
func TestSourceInvariantsForAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		source := NewSource(cfg, Version{1, 0})
		now := time.Duration(0)
		type connState byte
		const (
			idle connState = iota
			busy
			transferred
		)
		conns := map[ConnID]connState{}
		nextID, reports, upgrades, accepting, targetDead, exited := ConnID(1), 0, 0, true, true, false
		step := func(event SourceEvent) {
			_, targetDied := event.(TargetExited)
			for _, e := range source.Step(now, event) {
				if exited {
					t.Fatalf("got effect %#v after Exit, want none", e)
				}
				switch e := e.(type) {
				case StartTarget:
					targetDead = false
				case TransferConnection:
					if conns[e.Conn] != idle {
						t.Fatalf("connection %d is transferred in state %d, want state %d (idle)", e.Conn, conns[e.Conn], idle)
					}
					if targetDead {
						t.Fatalf("connection %d is transferred while no target lives, want no transfer", e.Conn)
					}
					conns[e.Conn] = transferred
				case ReclaimConnection:
					if conns[e.Conn] != transferred || !targetDied {
						t.Fatalf("connection %d is reclaimed in state %d (target exited: %v), want state %d (transferred) after the target's exit", e.Conn, conns[e.Conn], targetDied, transferred)
					}
					if conns[e.Conn] = idle; e.Request.InFlight {
						conns[e.Conn] = busy
					}
				case ReleaseDuplicate:
					if conns[e.Conn] != transferred {
						t.Fatalf("the duplicate of connection %d is released in state %d, want state %d (transferred)", e.Conn, conns[e.Conn], transferred)
					}
					delete(conns, e.Conn)
				case StopAccepting:
					accepting = false
				case StartAccepting:
					accepting = true
				case ReportOutcome:
					reports++
				case Exit:
					for id, state := range conns {
						if state != transferred {
							t.Fatalf("source exits with connection %d in state %d, want none at the source", id, state)
						}
					}
					exited = true
				}
			}
			if !accepting && source.Phase() != Finishing && source.Phase() != Exited {
				t.Fatalf("source does not accept connections in phase %v, want this only in %v and %v", source.Phase(), Finishing, Exited)
			}
		}
		drawConn := func(state connState) (id ConnID, ok bool) {
			for i := ConnID(1); i < nextID; i++ {
				if got, exists := conns[i]; exists && got == state && (!ok || rapid.Bool().Draw(t, "take a later one")) {
					id, ok = i, true
				}
			}
			return id, ok
		}
		t.Repeat(map[string]func(*rapid.T){
			"request upgrade": func(*rapid.T) {
				if source.Phase() == Idle {
					upgrades++
				}
				before := reports
				step(UpgradeRequested{})
				if source.Phase() != AwaitingHello && reports == before {
					t.Fatalf("source rejected an upgrade in phase %v with no outcome, want one", source.Phase())
				} else if reports > before {
					reports = before
				}
			},
			"accept connection": func(*rapid.T) {
				if accepting && !exited {
					conns[nextID] = idle
					nextID++
					step(ConnectionAccepted{nextID - 1})
				}
			},
			"connection becomes busy": func(*rapid.T) {
				if id, ok := drawConn(idle); ok {
					conns[id] = busy
					step(ConnectionBusy{id})
				}
			},
			"connection becomes idle": func(*rapid.T) {
				if id, ok := drawConn(busy); ok {
					conns[id] = idle
					step(ConnectionIdle{id})
				}
			},
			"close connection": func(*rapid.T) {
				if id, ok := drawConn(idle); ok {
					delete(conns, id)
					step(ConnectionClosed{id})
				}
			},
			"target closes connection": func(*rapid.T) {
				if id, ok := drawConn(transferred); ok && !targetDead {
					step(TargetClosedConnection{id})
				}
			},
			"target records request": func(t *rapid.T) {
				if id, ok := drawConn(transferred); ok && !targetDead {
					step(RequestRecorded{id, Request{InFlight: rapid.Bool().Draw(t, "in flight")}})
				}
			},
			"target sends hello": func(t *rapid.T) {
				if !targetDead {
					step(TargetHello{Version: Version{1, rapid.IntRange(0, 2).Draw(t, "minor")}})
				}
			},
			"target is ready": func(*rapid.T) {
				if !targetDead {
					step(TargetReady{})
				}
			},
			"target sends heartbeat": func(t *rapid.T) {
				if !targetDead {
					step(TargetHeartbeat{Successes: rapid.IntRange(0, 30).Draw(t, "successes"), Failures: rapid.IntRange(0, 3).Draw(t, "failures")})
				}
			},
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
				step(Tick{})
			},
			"target exits": func(*rapid.T) {
				if !targetDead {
					targetDead = true
					step(TargetExited{})
					if !exited && source.Phase() != Idle {
						t.Fatalf("after the target's exit: phase = %v, want %v", source.Phase(), Idle)
					}
				}
			},
			"": func(*rapid.T) {
				if reports > 2*upgrades { // one per upgrade, and one if its target dies as the owner
					t.Fatalf("got %d outcomes of %d upgrades, want at most %d", reports, upgrades, 2*upgrades)
				}
			},
		})
	})
}

// Checks that the target's failure rate is judged relative to the usual one of the source: where a
// fifth of all requests is rejected anyway, the target may reject somewhat more than that, but not
// most of them.
func TestFailureRateIsJudgedByUsualRate(t *testing.T) {
	for name, tt := range map[string]struct {
		usualFailureRate    float64
		successes, failures int
		wantPhase           Phase
	}{
		"below the limit":                         {0, 30, 1, Probation},
		"above the limit":                         {0, 20, 10, RollingBack},
		"above the limit and near the usual rate": {0.2, 20, 8, Probation},
		"far above the usual rate":                {0.2, 10, 20, RollingBack},
		"too few responses to judge":              {0, 5, 5, Probation},
	} {
		source := NewSource(DefaultConfig(), Version{1, 0})
		var effects []string
		for _, event := range []SourceEvent{UpgradeRequested{tt.usualFailureRate}, TargetHello{Version: Version{1, 0}}, TargetReady{}, TargetHeartbeat{Successes: tt.successes, Failures: tt.failures}} {
			for _, e := range source.Step(0, event) {
				effects = append(effects, reflect.TypeOf(e).Name())
			}
		}
		want := []string{"StartTarget", "SendState", "SendServe"}
		if tt.wantPhase == RollingBack {
			want = append(want, "KillTarget")
		}
		if diff := cmp.Diff(want, effects); diff != "" || source.Phase() != tt.wantPhase {
			t.Errorf("%s: phase = %v, want %v; effects (-want +got):\n%s", name, source.Phase(), tt.wantPhase, diff)
		}
	}
}

// Guards against committing to a target that takes requests and never responds: it must not be
// mistaken for one that has no requests.
func TestTargetWithoutResponses(t *testing.T) {
	for inFlight, want := range map[int]Phase{0: Finishing, 3: RollingBack} {
		source := NewSource(DefaultConfig(), Version{1, 0})
		source.Step(0, ConnectionAccepted{1})
		for _, event := range []SourceEvent{UpgradeRequested{}, TargetHello{Version: Version{1, 0}}, ConnectionBusy{1}, TargetReady{}} {
			source.Step(0, event)
		}
		source.Step(15*time.Second, TargetHeartbeat{InFlight: inFlight})
		if source.Phase() != want {
			t.Errorf("with %d requests in flight: phase = %v, want %v", inFlight, source.Phase(), want)
		}
	}
}

// Checks that the source accepts connections again if the target dies after ownership was committed
// while the source still completes requests.
func TestTargetDiesAsOwner(t *testing.T) {
	source := NewSource(DefaultConfig(), Version{1, 0})
	source.Step(0, ConnectionAccepted{1})
	source.Step(0, ConnectionAccepted{2})
	for _, event := range []SourceEvent{UpgradeRequested{}, TargetHello{Version: Version{1, 1}}, ConnectionBusy{1}, TargetReady{}} {
		source.Step(0, event)
	}
	source.Step(5*time.Second, TargetHeartbeat{Successes: 100})
	if source.Phase() != Finishing {
		t.Fatalf("phase = %v, want %v", source.Phase(), Finishing)
	}
	want := []SourceEffect{StartAccepting{}, ReportOutcome{Failure{Reason: OwnerDied}}}
	if diff := cmp.Diff(want, source.Step(6*time.Second, TargetExited{})); diff != "" || source.Phase() != Idle {
		t.Errorf("phase = %v, want %v; effects (-want +got):\n%s", source.Phase(), Idle, diff)
	}
	if effects := source.Step(7*time.Second, ConnectionIdle{1}); len(effects) != 0 {
		t.Errorf("idle connection without an upgrade: effects = %v, want none", effects)
	}
}
