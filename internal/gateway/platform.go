package gateway

import (
	"errors"
	"os"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/config"
	"gannetspur/internal/discovery/eventbus"
	"gannetspur/internal/frontend/httpapi"
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// platformProtocol implements protocol for the platform: HTTP for clients, the line protocol for engines, and the event bus
// for the endpoint list.
type platformProtocol struct {
	process          *process
	path             string // of the configuration
	config           *config.Config
	endpointChecksum uint64          // of the endpoint events in the configuration and the number of the last of them
	socket           *netio.Listener // clients' socket held by the platform; nil: this process opens its own
	front            *httpapi.Frontend
	watch            *eventbus.Watcher // nil: no event bus is configured, or it is not watched yet
}

// assemblePlatform creates the gateway from the platform configuration.
func (p *process) assemblePlatform(path, shapesPath, sitesPath string) error {
	cfg, err := loadPlatform(path)
	if err != nil {
		return err
	}
	platform := &platformProtocol{process: p, path: path, config: cfg}
	p.control = cfg.Control
	platform.socket, err = platformSocket()
	if err != nil {
		return err
	}
	platform.endpointChecksum, err = cfg.EventChecksum()
	if err != nil {
		return err
	}
	limits := limits{memoryMB: cfg.MemoryMB, maxDescriptors: cfg.MaxDescriptors, maxClients: maxClientsFor(cfg.MaxDescriptors)}
	if err := p.assembleCore(cfg.Site.Policy, cfg.Seed, limits); err != nil {
		return err
	}
	p.core.SetBackend(lineproto.New(p.loop, p.core, cfg.Site, p.counters, p.log))
	if err := p.assembleSites(sitesPath, lineproto.Codec{}, cfg.Site.Policy); err != nil {
		return err
	}
	if shapesPath != "" {
		shapes, err := config.LoadShapes(shapesPath)
		if err != nil {
			return err
		}
		if err := p.assembleCostModel(shapes, &cfg.Site, cfg.Site.Policy.ReportsCost); err != nil {
			return err
		}
	}
	platform.front = httpapi.New(p.loop, p.core, httpapi.Options{
		MaxClients:   limits.maxClients,
		MaxHeldBytes: limits.memoryFraction(8),
		Shapes:       p.shapes,
	}, p.counters)
	p.protocol = platform
	return nil
}

// loadPlatform reads the configuration. Addresses in environment variables override those in the file.
func loadPlatform(path string) (*config.Config, error) {
	cfg, err := config.Load(path)
	if err != nil {
		return nil, err
	}
	if address := os.Getenv("LB_LISTEN"); address != "" {
		cfg.Listen = address
	}
	if address := os.Getenv("LB_CONTROL"); address != "" {
		cfg.Control = address
	}
	if cfg.Listen == "" {
		return nil, errors.New("configuration: listen: missing")
	}
	return cfg, nil
}

func (p *platformProtocol) frontend() frontend { return p.front }

func (p *platformProtocol) listen() error {
	if p.socket == nil {
		return p.front.Listen(p.config.Listen)
	}
	p.front.ListenOn(p.socket)
	p.socket.Resume()
	return nil
}

func (p *platformProtocol) watchEndpoints(known *handover.ProcessState) {
	last := p.config.LastEvent
	if known != nil { // the core already has the endpoint list of the other process
		last = max(last, known.LastEvent)
	} else {
		p.applyKnownEvents()
	}
	if p.config.BusAddress == "" {
		return
	}
	g := p.process
	p.watch = eventbus.New(g.loop, eventbus.Options{
		Address: p.config.BusAddress, LastEvent: last, Zones: p.config.Site.Zones, Kinds: p.config.Site.Kinds,
	}, g.core, g.counters, g.log)
	p.watch.Start()
}

// applyKnownEvents passes the endpoint events of the configuration to the core.
func (p *platformProtocol) applyKnownEvents() {
	for _, event := range p.config.KnownEvents {
		mode := policy.ListChanges
		if event.Complete {
			mode = policy.ListFull
		}
		p.process.core.UpdateEndpoints(mode, event.Engines)
	}
}

func (p *platformProtocol) lastEvent() uint64 {
	if p.watch == nil {
		return 0
	}
	return p.watch.LastEvent()
}

func (p *platformProtocol) reloadable() bool { return p.config.BusAddress != "" }

// reload switches to the event bus in the current configuration file. Other changes need a restart.
func (p *platformProtocol) reload() error {
	next, err := config.Load(p.path)
	if err != nil {
		return err
	}
	if next.BusAddress == "" {
		return errors.New("configuration: bus: missing")
	}
	p.config.BusAddress = next.BusAddress
	if p.watch != nil {
		p.watch.SwitchTo(next.BusAddress)
	}
	return nil
}
