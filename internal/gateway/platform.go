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

// platformProtocol serves HTTP clients, speaks lines with engines and watches the event bus.
type platformProtocol struct {
	process  *process
	path     string
	config   *config.Config
	eventSum uint64            // checksum of the endpoint list in the configuration
	socket   *netio.Listener   // the clients', where the platform holds it; nil: this process opens its own
	front    *httpapi.Frontend // the clients' side
	watch    *eventbus.Watcher // nil: no event bus is named, or it is not watched yet
}

// assemblePlatform makes the gateway of the platform's configuration.
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
	platform.eventSum, err = cfg.EventSum()
	if err != nil {
		return err
	}
	limits := limits{memoryMB: cfg.MemoryMB, sockets: cfg.Sockets, maxClients: clientsOf(cfg.Sockets)}
	if err := p.assembleCore(cfg.Site.Policy, cfg.Seed, limits); err != nil {
		return err
	}
	p.core.SetLinks(lineproto.New(p.loop, p.core, cfg.Site, p.counters, p.log))
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

// loadPlatform reads the configuration. The environment goes before the file.
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
	last := p.config.Offset
	if known != nil { // the core has the list of the other process already
		last = max(last, known.LastEvent)
	} else {
		p.applyKnownEvents()
	}
	if p.config.Bus == "" {
		return
	}
	g := p.process
	p.watch = eventbus.New(g.loop, eventbus.Options{
		Address: p.config.Bus, LastEvent: last, Zones: p.config.Site.Zones, Kinds: p.config.Site.Kinds,
	}, g.core, g.counters, g.log)
	p.watch.Start()
}

// applyKnownEvents gives the core the endpoint list of the configuration.
func (p *platformProtocol) applyKnownEvents() {
	for _, event := range p.config.Known {
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

func (p *platformProtocol) reloadable() bool { return p.config.Bus != "" }

// reload moves to the event bus that the file names now.
func (p *platformProtocol) reload() error {
	next, err := config.Load(p.path)
	if err != nil {
		return err
	}
	if next.Bus == "" {
		return errors.New("configuration: bus: missing")
	}
	p.config.Bus = next.Bus
	if p.watch != nil {
		p.watch.SwitchTo(next.Bus)
	}
	return nil
}
