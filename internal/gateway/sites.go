package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/site/link"
	"gannetspur/policy"
)

// remoteSites is what a gateway that works with other sites has.
type remoteSites struct {
	path    string
	own     forwarding.Name
	service *forwarding.Service
	runner  *link.Runner
	listen  string
	admin   string
}

// assembleSites reads the file of other sites, if there is one, and has the core use them. Links are made later.
func (p *process) assembleSites(path string, codec forwarding.Codec, settings policy.Settings) error {
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
	service, err := forwarding.New(p.core, p.loop.Timers, forwarding.Options{
		Name:     own,
		Start:    rand.Uint64(),
		Config:   s.Decide(settings.Limits.MaxAttempts),
		Settings: settings,
		Codec:    codec,
		Pack:     s.Pack,
		Held:     p.limits.memoryFraction(8) / max(len(peers), 1),
	}, p.counters, p.log)
	if err != nil {
		return err
	}
	p.core.SetRemoteSites(service)
	p.sites = &remoteSites{
		path:    path,
		own:     own,
		service: service,
		runner:  link.New(p.loop, p.loop.Timers, service, keys, own, peers, p.counters, p.log),
		listen:  s.Listen,
		admin:   s.Admin,
	}
	return nil
}

// startSites accepts the gateways of other sites and dials them.
func (p *process) startSites() error {
	if p.sites == nil {
		return nil
	}
	if err := p.sites.runner.Start(p.sites.listen); err != nil {
		return err
	}
	p.log.Info("sites", "addr", p.sites.runner.Addr())
	return nil
}

// leaveSites tells other sites that this process forwards nothing and accepts nothing any more.
func (p *process) leaveSites() {
	if p.sites != nil {
		p.sites.runner.GoAway()
	}
}

// sitesIdle reports whether no request is on its way to or from other sites.
func (p *process) sitesIdle() bool { return p.sites == nil || p.sites.service.Idle() }

// adminSites answers an operator on other sites. It runs on a goroutine of its own.
func (p *process) adminSites(request admin.Request) admin.Reply {
	if p.sites == nil {
		return admin.Reply{Problem: "this gateway works with no other site", Done: true}
	}
	return onLoop(p, func() admin.Reply { return p.operateSites(request) })
}

func (p *process) operateSites(request admin.Request) admin.Reply {
	service := p.sites.service
	reply := admin.Reply{Done: true}
	if request.Command != "site-status" {
		setDrained := service.Drain
		if request.Command == "site-undrain" {
			setDrained = service.Undrain
		}
		if !setDrained(request.Site) {
			reply.Problem = fmt.Sprintf("there is no site or gateway %q", request.Site)
		}
		p.log.Info(request.Command, "site", request.Site)
	}
	overview, err := json.Marshal(service.Overview())
	if err != nil {
		reply.Problem = err.Error()
	}
	reply.Sites = overview
	return reply
}

// reloadSites reads the peers and the keys of links again. All else holds from the start on.
func (p *process) reloadSites() error {
	if p.sites == nil {
		return nil
	}
	s, err := config.LoadSites(p.sites.path)
	if err != nil {
		return err
	}
	own, peers := namesOf(s)
	if own != p.sites.own {
		return fmt.Errorf("sites: this gateway was started as %s, and the file names %s", p.sites.own, own)
	}
	if err := p.sites.runner.Reload(); err != nil {
		return err
	}
	p.sites.runner.SetPeers(peers)
	return nil
}

// namesOf returns this gateway's name and its peers, as a file of sites gives them.
func namesOf(s *config.Sites) (own forwarding.Name, peers []link.Peer) {
	for _, peer := range s.Peers {
		name := forwarding.Name{Site: peer.Site, Gateway: peer.Gateway}
		peers = append(peers, link.Peer{Name: name, Addr: peer.Address})
	}
	return forwarding.Name{Site: s.Site, Gateway: s.Gateway}, peers
}
