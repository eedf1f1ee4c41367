package gateway

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/transactions"
)

// upgradeSoakRounds is an environment variable with the number of upgrades of each seed, for a long run by hand.
const upgradeSoakRounds = "RINGWOOD_UPGRADE_SOAK_ROUNDS"

// TestUpgradeSoak guards against transactions that are split, doubled or reported wrongly, and against settings that
// leak, when upgrades succeed, and when a process dies at any moment, while an engine drains, dies and returns.
func TestUpgradeSoak(t *testing.T) {
	const clients = 6
	rounds := 12
	if n, err := strconv.Atoi(os.Getenv(upgradeSoakRounds)); err == nil {
		rounds = n
	}
	for seed, tt := range []struct {
		name    string
		change  []string // of the settings
		oldDies bool     // the old process may die, too
	}{
		{"new process dies", nil, false},
		// The old process must not die after the upgrade has returned for its errors: nobody would serve then.
		{"either process dies", []string{"bad_share = 0.1 ", "bad_share = 1 "}, true},
	} {
		seed := uint64(seed)
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t, tt.change...)
			victims := []func(newPID int) int{noVictim, newVictim, newVictim}
			if tt.oldDies {
				victims = append(victims, g.ownerVictim)
			}
			random := rand.New(rand.NewPCG(seed, 6))
			history := &transactions.History{}
			stop := make(chan struct{})
			var running sync.WaitGroup
			for i := range clients {
				running.Go(func() {
					client := transactions.NewClient(g.addr, i, seed, history)
					for {
						select {
						case <-stop:
							return
						default:
							client.Run(time.Now().Add(time.Second))
						}
					}
				})
			}
			running.Go(func() { g.disturbEngine(stop, seed) })
			for range rounds {
				g.upgradeOnce(random, victims[random.IntN(len(victims))])
			}
			close(stop)
			running.Wait()
			time.Sleep(200 * time.Millisecond)                                      // what is at the engines ends
			summary, problems := history.Verdict(g.store.Commits(), clients*rounds) // one for each client and upgrade
			t.Log(summary)
			for _, problem := range problems {
				t.Error(problem)
			}
		})
	}
}

// noVictim, newVictim and testGateway.ownerVictim return the id of the process that dies in an upgrade, 0 for none.
func noVictim(int) int         { return 0 }
func newVictim(newPID int) int { return newPID }

// ownerVictim returns the process that answers on the admin socket: during a probation, the old one.
func (g *testGateway) ownerVictim(int) int {
	if status := g.status(); status != nil {
		return status.PID
	}
	return 0
}

// upgradeOnce makes an upgrade, during whose probation the process that victim returns dies.
func (g *testGateway) upgradeOnce(random *rand.Rand, victim func(newPID int) int) {
	g.t.Helper()
	const maxLife = 280 * time.Millisecond // of a process that dies; the probation takes at least 300 ms
	newPID, result := g.startNextProbation()
	if pid := victim(newPID); pid > 0 {
		time.Sleep(time.Duration(random.Int64N(int64(maxLife))))
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	<-result
}

// startNextProbation is startProbation, again and again while the upgrade before is not through: its old process still
// completes what is open there.
func (g *testGateway) startNextProbation() (pid int, result <-chan admin.Reply) {
	g.t.Helper()
	const maxAttempts = 500
	for range maxAttempts {
		result = g.sendCommand("upgrade")
		if pid = g.awaitProbationOrReply(result); pid > 0 {
			return pid, result
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatalf("no upgrade was begun in %d attempts", maxAttempts)
	return 0, nil
}

// awaitProbationOrReply waits until the new process is on probation and returns its id, or 0 if the upgrade is answered
// before.
func (g *testGateway) awaitProbationOrReply(result <-chan admin.Reply) (pid int) {
	g.t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case e, ok := <-g.events:
			if !ok {
				g.t.Fatal("all processes exited")
			}
			if started, ok := e["pid"].(float64); ok && e["msg"] == "upgrade.started" {
				pid = int(started)
			}
			if pid > 0 && e["msg"] == "upgrade.phase" && e["phase"] == "probation" {
				return pid
			}
		case <-result:
			return 0
		case <-timeout:
			g.t.Fatal("neither a probation nor a reply to the upgrade within 30 s")
		}
	}
}

// disturbEngine lets the second engine drain, die and return until stop is closed.
func (g *testGateway) disturbEngine(stop <-chan struct{}, seed uint64) {
	const maxPause = 400 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 7))
	for {
		for _, kind := range []string{emulator.Drain, emulator.Die, emulator.Return} {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(random.Int64N(int64(maxPause)))):
			}
			if err := g.cluster.Apply(kind, 2); err != nil {
				g.t.Errorf("%s of engine 2: %v", kind, err)
				return
			}
		}
	}
}
