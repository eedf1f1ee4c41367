// Package lineproto runs attempts on engines that speak the platform's line
// protocol: many requests on one connection, answers in any order.
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

// defaultConnectTimeout applies where the settings have none.
const defaultConnectTimeout = 250 * time.Millisecond

var (
	_ core.Links        = (*Backend)(nil)
	_ core.LoadReporter = (*Backend)(nil)
)

// Backend holds the connections to all engines.
type Backend struct {
	loop         *netio.Loop
	core         *core.Core
	site         config.Site
	counters     *metrics.Counters
	log          *slog.Logger
	engines      *backend.EngineSet[*connection]
	healthChecks uint64 // started so far; numbers the next one
}

// New returns a backend that reports to the core.
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

// Send starts an attempt on a connection with capacity, or on a new one.
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
	a.LinkState = s
	c.streams[a.Request.ID] = s
	c.lastUsed = b.core.Now()
	if c.socket != nil {
		s.writeRequest()
	}
}

// connectionFor finds a connection that can take a request with this ID, or nil.
func (b *Backend) connectionFor(engine *backend.Engine[*connection], id string) *connection {
	now := b.core.Now()
	for _, c := range engine.Connections {
		if c.accepts(id, now) {
			return c
		}
	}
	return nil
}

// SetPriority changes the priority of an attempt that is in flight.
func (b *Backend) SetPriority(a *core.Attempt, priority int) {
	s, ok := a.LinkState.(*stream)
	if !ok || !s.written || s.result.missing > 0 || s.connection.socket == nil {
		return
	}
	s.connection.socket.Write(appendPriorityCommand(newCommand(), a.Request.ID, priority))
}
