package gateway

import (
	"errors"
	"os"
	"path/filepath"

	"gannetspur/internal/handover"
	"gannetspur/internal/takeover"
)

// stateFolder lies in $TMPDIR, which the processes of one front end share.
const stateFolder = "ringwood-processes"

// beside takes the place of a process that serves at the platform's socket, where there is
// one; else it serves from its configuration.
func (g *gateway) beside() (err error) {
	g.succession, err = takeover.New(g.loop, g.core, filepath.Join(os.TempDir(), stateFolder), takeover.Options{
		EventSourceSum: g.events, ApplyState: g.succeed,
		State: func() *handover.ProcessState {
			k := g.know()
			k.Shared = g.front.SharedState()
			return k
		},
		StartAlone: func() { g.serveNow(nil) }, OnLimitShare: g.shareLimits,
		OnReplaced: func() {
			g.log.Info("replaced")
			g.front.CloseListener()
			g.part()
			g.handOnFleet()
		},
	}, g.log)
	if err != nil { // nobody can follow it, and it serves all the same
		g.log.Error("succession", "error", err)
		g.serveNow(nil)
		return g.failed
	}
	g.loop.Post(g.succession.Start)
	return nil
}

// succeed goes on from what another process knows.
func (g *gateway) succeed(k *handover.ProcessState) error {
	g.learn(k)
	if err := g.front.ApplySharedState(k.Shared); err != nil { // their clients ask again
		g.log.Warn("succession.results", "error", err)
	}
	if k.LastEvent == 0 {
		k = nil
	}
	g.serveNow(k)
	return nil
}

// serveNow follows the roster and accepts clients.
func (g *gateway) serveNow(k *handover.ProcessState) {
	g.follow(k)
	if err := errors.Join(g.listen(), g.linkSites(), g.admin()); err != nil {
		g.failed = err
		g.loop.Stop()
		return
	}
	g.ready = true
	g.joinBeside()
	g.log.Info("serving", "addr", g.front.Addr(), "took_over", k != nil)
	notify("READY=1\n")
}

// shareLimits leaves the rest of the limits to other processes of this front end.
func (g *gateway) shareLimits(share float64) {
	g.log.Info("limits.shared", "part", share)
	g.clientLimit(int(share * float64(g.mostClients)))
	g.whole(share < 1)
	g.loop.ShareFiles(share)
	g.loop.Budget = int64(share * float64(part(g.memoryMB, 6)))
	limitResources(int(share * float64(g.memoryMB)))
}
