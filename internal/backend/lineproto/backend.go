// Package lineproto runs attempts on engines that use the platform's line protocol. A connection
// carries many requests at once, and the engine answers them in any order.
package lineproto

import (
	"log/slog"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
)

// defaultConnectTimeout is used if the settings have no connect timeout.
const defaultConnectTimeout = 250 * time.Millisecond

var (
	_ core.Backend      = (*Backend)(nil)
	_ core.LoadReporter = (*Backend)(nil)
)

// Backend manages the connections to all engines and the attempts and health checks on them.
type Backend struct {
	loop         *netio.Loop
	core         *core.Core
	site         config.Site
	counters     *metrics.Counters
	log          *slog.Logger
	engines      *backend.EngineSet[*connection]
	healthChecks uint64 // number of health checks started; part of the next one's tag
}

// New returns a backend that reports to the core. A site without MaxStreams gets one stream per connection.
func New(loop *netio.Loop, c *core.Core, site config.Site, counters *metrics.Counters, log *slog.Logger) *Backend {
	site.MaxStreams = max(site.MaxStreams, 1)
	if site.ConnectTimeout <= 0 {
		site.ConnectTimeout = defaultConnectTimeout
	}
	return &Backend{
		loop: loop, core: c, site: site, counters: counters, log: log,
		engines: backend.NewEngineSet[*connection](),
	}
}

// UpdateEngine applies an entry of the endpoint list.
func (b *Backend) UpdateEngine(entry core.Engine) { b.engines.Update(entry) }

// Send starts an attempt on a connection that can take it, dialing a new one if there is none.
func (b *Backend) Send(a *core.Attempt) {
	engine := b.engines.Get(a.Engine)
	if engine == nil {
		b.core.EndAttempt(a, core.OutcomeNoAddress, core.Report{})
		return
	}
	c := b.connectionFor(engine, a.Request.ID)
	if c == nil {
		c = b.dial(engine)
	}
	s := &stream{attempt: a, connection: c}
	a.BackendState = s
	c.streams[a.Request.ID] = s
	c.lastUsed = b.core.Now()
	if c.socket != nil {
		s.writeRequest()
	}
}

// connectionFor returns a connection that can take a request with this ID, or nil.
func (b *Backend) connectionFor(engine *backend.Engine[*connection], id string) *connection {
	now := b.core.Now()
	for _, c := range engine.Connections {
		if c.accepts(id, now) {
			return c
		}
	}
	return nil
}

// SetPriority sends a changed priority to the engine. It does nothing if the attempt was not written
// yet (its request will carry the priority), if only further pages of its result are missing, or if the
// connection has closed.
func (b *Backend) SetPriority(a *core.Attempt, priority int) {
	s, ok := a.BackendState.(*stream)
	if !ok || !s.written || s.result.missing > 0 || s.connection.socket == nil {
		return
	}
	s.connection.socket.Write(appendPriorityCommand(newCommand(), a.Request.ID, priority))
}
