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

// remoteSites holds the parts of a gateway that exchanges requests with other sites.
type remoteSites struct {
	path    string          // of the sites file
	self    forwarding.Name // site and name of this gateway
	service *forwarding.Service
	runner  *link.Runner
	listen  string // address for links from other sites
	admin   string // path of the admin socket; "": none
}

// assembleSites reads the sites file if there is one, and connects the core to the forwarding service. startSites opens the
// links.
func (p *process) assembleSites(path string, codec forwarding.Codec, settings policy.Settings) error {
	if path == "" {
		return nil
	}
	s, err := config.LoadSites(path)
	if err != nil {
		return err
	}
	self, peers := siteNames(s)
	keys, err := link.LoadKeys(link.Files(s.Keys), self)
	if err != nil {
		return config.Fault{File: path, Field: "keys", Problem: err.Error()}
	}
	service, err := forwarding.New(p.core, p.loop.Timers, forwarding.Options{
		Name:     self,
		Start:    rand.Uint64(),
		Config:   s.ForwardingConfig(settings.Limits.MaxAttempts),
		Settings: settings,
		Codec:    codec,
		Pack:     s.Compress,
		Held:     p.limits.memoryFraction(8) / max(len(peers), 1),
	}, p.counters, p.log)
	if err != nil {
		return err
	}
	p.core.SetRemoteSites(service)
	p.sites = &remoteSites{
		path:    path,
		self:    self,
		service: service,
		runner:  link.New(p.loop, p.loop.Timers, service, keys, self, peers, p.counters, p.log),
		listen:  s.Listen,
		admin:   s.Admin,
	}
	return nil
}

// startSites accepts links from gateways of other sites and dials them.
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

// leaveSites tells other sites that this process neither forwards nor accepts new requests.
func (p *process) leaveSites() {
	if p.sites != nil {
		p.sites.runner.GoAway()
	}
}

// sitesIdle reports whether no request is on its way to or from other sites.
func (p *process) sitesIdle() bool { return p.sites == nil || p.sites.service.Idle() }

// handleSiteCommand handles the admin commands on sites. It must not be called on the loop's goroutine.
func (p *process) handleSiteCommand(request admin.Request) admin.Reply {
	if p.sites == nil {
		return admin.Reply{Problem: "this gateway was started without a sites file", Done: true}
	}
	return onLoop(p, func() admin.Reply { return p.runSiteCommand(request) })
}

// runSiteCommand carries out an admin command on sites and replies with the resulting state.
func (p *process) runSiteCommand(request admin.Request) admin.Reply {
	service := p.sites.service
	reply := admin.Reply{Done: true}
	if request.Command != "site-status" {
		setDrained := service.Drain
		if request.Command == "site-undrain" {
			setDrained = service.Undrain
		}
		if !setDrained(request.Site) {
			reply.Problem = fmt.Sprintf("no such site or gateway: %q", request.Site)
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

// reloadSites reloads the peers and the keys of links. Changes to other settings need a restart.
func (p *process) reloadSites() error {
	if p.sites == nil {
		return nil
	}
	s, err := config.LoadSites(p.sites.path)
	if err != nil {
		return err
	}
	self, peers := siteNames(s)
	if self != p.sites.self {
		return fmt.Errorf("sites: the gateway was started as %s, but the file names it %s", p.sites.self, self)
	}
	if err := p.sites.runner.Reload(); err != nil {
		return err
	}
	p.sites.runner.SetPeers(peers)
	return nil
}

// siteNames returns this gateway's name and its peers from a sites file.
func siteNames(s *config.Sites) (self forwarding.Name, peers []link.Peer) {
	for _, peer := range s.Peers {
		name := forwarding.Name{Site: peer.Site, Gateway: peer.Gateway}
		peers = append(peers, link.Peer{Name: name, Addr: peer.Address})
	}
	return forwarding.Name{Site: s.Site, Gateway: s.Gateway}, peers
}
