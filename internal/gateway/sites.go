package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/site/link"
	"gannetspur/policy"
)

// otherSites is what a gateway has of other sites.
type otherSites struct {
	path    string
	own     forwarding.Name
	service *forwarding.Service
	runner  *link.Runner
	listen  string
	admin   string
}

// openSites reads the file of other sites, if there is one, and has the core use them. Links
// are made later.
func (g *gateway) openSites(path string, codec forwarding.Codec, set policy.Settings, memoryMB int) error {
	if path == "" {
		return nil
	}
	s, err := config.LoadSites(path)
	if err != nil {
		return err
	}
	own, peers := namesOf(s)
	keys, err := link.LoadKeys(link.Files(s.Keys), own)
	if err != nil {
		return config.Fault{File: path, Field: "keys", Want: err.Error()}
	}
	service, err := forwarding.New(g.core, g.loop.Timers, forwarding.Options{
		Name: own, Start: rand.Uint64(), Config: s.Decide(set.Limits.MaxAttempts), Settings: set, Codec: codec, Pack: s.Pack,
		Held: part(memoryMB, 8) / max(len(peers), 1),
	}, g.counters, g.log)
	if err != nil {
		return err
	}
	g.core.SetRemoteSites(service)
	g.sites = &otherSites{path: path, own: own, service: service, runner: link.New(g.loop, g.loop.Timers, service, keys, own, peers, g.counters, g.log), listen: s.Listen, admin: s.Admin}
	return nil
}

// linkSites accepts other sites' gateways and dials them.
func (g *gateway) linkSites() error {
	if g.sites == nil {
		return nil
	}
	if err := g.sites.runner.Start(g.sites.listen); err != nil {
		return err
	}
	g.log.Info("sites", "addr", g.sites.runner.Addr())
	return nil
}

// leaveSites says that this process takes nothing new of other sites and asks nothing new.
func (g *gateway) leaveSites() {
	if g.sites != nil {
		g.sites.runner.Leave()
	}
}

// sitesIdle tells whether nothing is on its way to or from other sites.
func (g *gateway) sitesIdle() bool { return g.sites == nil || g.sites.service.Idle() }

// takenOver ends what can't be handed to the process that is the owner now.
func (g *gateway) takenOver() {
	g.leaveSites()
	g.handOnFleet()
	if f, ok := g.front.(interface{ CloseUnmovable() }); ok {
		f.CloseUnmovable()
	}
}

// exitPoll is how often a process that was taken over from looks whether it may end.
const exitPoll = 20 * time.Millisecond

// exit ends a process that was taken over from, once other sites have their answers.
func (g *gateway) exit() {
	by := g.loop.Now() + g.core.LongestDeadline()
	var poll func()
	poll = func() {
		if now := g.loop.Now(); !g.sitesIdle() && now < by {
			g.loop.Timers.Add(now+exitPoll, poll)
			return
		}
		g.loop.Stop()
	}
	poll()
}

// adminSite answers an operator on other sites. It runs on a goroutine of its own.
func (g *gateway) adminSite(r admin.Request) admin.Reply {
	if g.sites == nil {
		return admin.Reply{Why: "this gateway works with no other site", Done: true}
	}
	done := make(chan admin.Reply, 1)
	g.loop.Post(func() {
		s := g.sites.service
		reply := admin.Reply{Done: true}
		if r.Do != "site-status" {
			if !s.Drain(r.Site, r.Do == "site-undrain") {
				reply.Why = fmt.Sprintf("there is no site or gateway %q", r.Site)
			}
			g.log.Info(r.Do, "site", r.Site)
		}
		raw, err := json.Marshal(s.Overview())
		if err != nil {
			reply.Why = err.Error()
		}
		reply.Sites = raw
		done <- reply
	})
	return <-done
}

// reloadSites takes the peers and the keys of links anew. All else holds from the start on.
func (g *gateway) reloadSites() error {
	if g.sites == nil {
		return nil
	}
	s, err := config.LoadSites(g.sites.path)
	if err != nil {
		return err
	}
	own, peers := namesOf(s)
	if own != g.sites.own {
		return fmt.Errorf("sites: this gateway was started as %s, and the file names %s", g.sites.own, own)
	}
	if err := g.sites.runner.Reload(); err != nil {
		return err
	}
	g.sites.runner.SetPeers(peers)
	return nil
}

// namesOf are the names that a file of sites gives.
func namesOf(s *config.Sites) (own forwarding.Name, peers []link.Peer) {
	for _, p := range s.Peers {
		peers = append(peers, link.Peer{Name: forwarding.Name{Site: p.Site, Gateway: p.Gateway}, Addr: p.Address})
	}
	return forwarding.Name{Site: s.Site, Gateway: s.Gateway}, peers
}
