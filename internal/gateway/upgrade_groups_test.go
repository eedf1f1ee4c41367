package gateway

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/load"
)

// The zones of the engines in these tests, and the number of engines in each.
const (
	firstZone      = "hall-a"
	secondZone     = "hall-b"
	enginesPerZone = 3
)

// openLoads is the number of loads at engines when the new process dies. A gateway that sends them to engines of any
// zone keeps all of them in theirs once in some hundred runs.
const openLoads = 8

// The text of the settings that names the engines which drop repeats of a load.
const (
	groupAll  = `"group": "all"`
	groupZone = `"group": "zone"`
)

// forEachFrontend runs a test with a gateway of either frontend, whose engines are in two zones. change is as in
// gatewayOptions.
func forEachFrontend(t *testing.T, change []string, test func(g *testGateway)) {
	t.Helper()
	for _, name := range []string{"postgres", "platform"} {
		t.Run(name, func(t *testing.T) {
			test(startTestGateway(t, gatewayOptions{
				platform: name == "platform", engines: 2 * enginesPerZone, zones: []string{firstZone, secondZone}, change: change,
			}))
		})
	}
}

// fleet returns the engines of the gateway's frontend.
func (g *testGateway) fleet() *emulator.Fleet {
	if g.platform {
		return g.cluster.Lines
	}
	return g.cluster.Postgres
}

// doubt is the verdict on a load that may have run and is not sent again.
func (g *testGateway) doubt() load.Verdict {
	if g.platform {
		return load.Failed
	}
	return load.Ambiguous
}

// openLoad is a load that is at an engine.
type openLoad struct {
	mark   string
	client load.Client
	result <-chan outcome
}

// sendLoad sends the load of a mark.
func sendLoad(c load.Client, mark string) openLoad { return openLoad{mark, c, sendAsync(c, mark)} }

// sendLoads sends loads, each on a connection of its own, and waits until an engine executes each of them.
func (g *testGateway) sendLoads(clients []load.Client) (loads []openLoad) {
	g.t.Helper()
	for i, c := range clients {
		mark := fmt.Sprintf("k-1-%d", i+1)
		g.hold(mark)
		loads = append(loads, sendLoad(c, mark))
		g.awaitRuns(mark, 1)
	}
	return loads
}

// sendPastRefusals sends a load until an engine executes it. While engines are gone, the gateway may refuse it, which
// promises that it did not run.
func (g *testGateway) sendPastRefusals(c load.Client, mark string) openLoad {
	g.t.Helper()
	const tries = 50
	g.hold(mark)
	for range tries {
		result := sendAsync(c, mark)
		for len(result) == 0 {
			if g.runCount(mark) > 0 {
				return openLoad{mark, c, result}
			}
			time.Sleep(time.Millisecond)
		}
		if got := <-result; got.verdict != load.Refused {
			g.t.Fatalf("load %s: %s (%s), want it at an engine or %s", mark, got.verdict, got.detail, load.Refused)
		}
	}
	g.t.Fatalf("load %s was refused %d times, want it at an engine", mark, tries)
	return openLoad{}
}

// runCount returns how often engines have received the statement of a mark.
func (g *testGateway) runCount(mark string) (count int) {
	for _, run := range g.ledger.Runs() {
		if run.Mark == mark {
			count++
		}
	}
	return count
}

// connectAll connects one client for each load. They must be connected before the probation, so that the new process
// gets their connections.
func (g *testGateway) connectAll() (clients []load.Client) {
	g.t.Helper()
	for range openLoads {
		clients = append(clients, g.connect())
	}
	return clients
}

// sendInProbation begins an upgrade, and sends loads to its new process.
func (g *testGateway) sendInProbation() (pid int, loads []openLoad) {
	g.t.Helper()
	clients := g.connectAll()
	pid, _ = g.startProbation()
	return pid, g.sendLoads(clients)
}

// sendInFirstZone is sendInProbation, after which discovery reports the engines of the second zone alone as ready.
func (g *testGateway) sendInFirstZone() (pid int, loads []openLoad) {
	g.t.Helper()
	g.drainZone(secondZone, 1)
	pid, loads = g.sendInProbation()
	g.undrainZone(secondZone, 2)
	g.drainZone(firstZone, 2)
	return pid, loads
}

// kill kills the new process of an upgrade, and waits until the old one has taken everything back.
func (g *testGateway) kill(pid int) {
	g.t.Helper()
	_ = syscall.Kill(pid, syscall.SIGKILL)
	g.awaitEvent("upgrade.phase", "idle")
}

// expectOneEffect checks that each load had its effect once, whichever engines got it, and the verdict of its client.
func (g *testGateway) expectOneEffect(loads []openLoad, want load.Verdict) {
	g.t.Helper()
	for _, l := range loads {
		g.expect("load "+l.mark, l.result, want)
	}
	effects := map[string][]string{}
	for _, run := range g.ledger.Runs() {
		if run.Key != "" && !run.Dropped {
			effects[run.Key] = append(effects[run.Key], run.Engine)
		}
	}
	for _, l := range loads {
		if len(effects[l.mark]) != 1 {
			g.t.Errorf("load %s had its effect at %v, want at one engine", l.mark, effects[l.mark])
		}
	}
}

// TestUpgradeKeepsLoadsInTheirZone guards against loads that run in two zones when the new process of an upgrade dies
// (issue 57): engines drop repeats of their own zone only, so each load is sent again to an engine of the zone where
// it may have run, and none is refused.
func TestUpgradeKeepsLoadsInTheirZone(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		pid, loads := g.sendInProbation()
		g.kill(pid)
		g.expectOneEffect(loads, load.Served)
	})
}

// TestUpgradeFollowsTheAttemptThatMayHaveRun guards against a resend to the zone of an engine that refused the
// connection: the engines of one zone are gone when the loads are sent, and the others execute them.
func TestUpgradeFollowsTheAttemptThatMayHaveRun(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		clients := g.connectAll()
		pid, _ := g.startProbation()
		for _, engine := range g.enginesOf(firstZone) {
			g.fleet().Crash(engine)
		}
		var loads []openLoad
		for i, c := range clients {
			loads = append(loads, g.sendPastRefusals(c, fmt.Sprintf("k-1-%d", i+1)))
		}
		g.kill(pid)
		g.expectOneEffect(loads, load.Served)
	})
}

// TestUpgradeTellsADoubtWithoutTheZone guards against a resend to another zone where all engines of the load's own zone
// have left: its client is told that the load may have run.
func TestUpgradeTellsADoubtWithoutTheZone(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		pid, loads := g.sendInFirstZone()
		g.kill(pid)
		g.expectOneEffect(loads, g.doubt())
	})
}

// TestUpgradeResendsToAnyZoneWhereAllDropRepeats guards against a safe resend that is refused: with the group "all" an
// engine of any zone drops the repeat.
func TestUpgradeResendsToAnyZoneWhereAllDropRepeats(t *testing.T) {
	forEachFrontend(t, nil, func(g *testGateway) {
		for engine := 1; engine <= 2*enginesPerZone; engine++ {
			g.ledger.SetGroup(g.fleet().Members()[engine-1].ID, "")
		}
		pid, loads := g.sendInFirstZone()
		g.kill(pid)
		g.expectOneEffect(loads, load.Served)
	})
}

// TestUpgradeFollowsTheZoneOfTheSend guards against a resend to the zone that an engine was moved to after it got the
// load: the other engines of its former zone know the key.
func TestUpgradeFollowsTheZoneOfTheSend(t *testing.T) {
	forEachFrontend(t, []string{groupAll, groupZone}, func(g *testGateway) {
		pid, loads := g.sendInProbation()
		g.fleet().SetZone(1, emulator.Zone{Number: 1, Name: secondZone})
		g.fleet().SetZone(2, emulator.Zone{Number: 0, Name: firstZone})
		g.ledger.SetGroup(g.fleet().Members()[0].ID, secondZone)
		g.ledger.SetGroup(g.fleet().Members()[1].ID, firstZone)
		g.kill(pid)
		g.expectOneEffect(loads, load.Served)
	})
}

// TestUpgradeObeysTheStricterGroup guards against a resend by the looser of two settings, where the new process has
// other settings than the old one.
func TestUpgradeObeysTheStricterGroup(t *testing.T) {
	for name, groups := range map[string][2]string{"stricter before": {groupZone, groupAll}, "stricter after": {groupAll, groupZone}} {
		t.Run(name, func(t *testing.T) {
			forEachFrontend(t, []string{groupAll, groups[0]}, func(g *testGateway) {
				replaceInFile(g.t, g.settings, groups[0], groups[1])
				pid, loads := g.sendInProbation()
				g.kill(pid)
				g.expectOneEffect(loads, load.Served)
			})
		})
	}
}

// TestUpgradeObeysTheShorterWindow guards against a resend after the shorter of two windows, where the new process has
// another window than the old one.
func TestUpgradeObeysTheShorterWindow(t *testing.T) {
	const long, short = `"window-ms": 12000`, `"window-ms": 300`
	for name, windows := range map[string][2]string{"shorter before": {short, long}, "shorter after": {long, short}} {
		t.Run(name, func(t *testing.T) {
			forEachFrontend(t, []string{long, windows[0]}, func(g *testGateway) {
				replaceInFile(g.t, g.settings, windows[0], windows[1])
				pid, loads := g.sendInProbation()
				time.Sleep(300 * time.Millisecond) // the shorter window itself
				g.kill(pid)
				g.expectOneEffect(loads, g.doubt())
			})
		})
	}
}

// drainZone lets discovery report the engines of a zone as draining, and waits until all processes have learned of it.
func (g *testGateway) drainZone(zone string, processes int) {
	g.t.Helper()
	for _, engine := range g.enginesOf(zone) {
		if err := g.fleet().Apply(emulator.Drain, engine); err != nil {
			g.t.Fatal(err)
		}
	}
	g.awaitChanges(processes * enginesPerZone)
}

// undrainZone lets discovery report the engines of a zone as ready, and waits until all processes have learned of it.
func (g *testGateway) undrainZone(zone string, processes int) {
	g.t.Helper()
	g.fleet().Announce(g.enginesOf(zone)...)
	g.awaitChanges(processes * enginesPerZone)
}

// awaitChanges waits until processes have logged a number of changes of engines.
func (g *testGateway) awaitChanges(number int) {
	g.t.Helper()
	for range number {
		g.awaitEvent("endpoint.changed")
	}
}

// enginesOf returns the numbers of the engines of a zone.
func (g *testGateway) enginesOf(zone string) (engines []int) {
	for i, m := range g.fleet().Members() {
		if m.Zone.Name == zone {
			engines = append(engines, i+1)
		}
	}
	return engines
}
