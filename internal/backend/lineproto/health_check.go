package lineproto

import (
	"fmt"
	"strconv"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// healthCheckTagPrefix distinguishes tags from request IDs, which are 16 hex digits.
const healthCheckTagPrefix = "p"

// healthCheck is one request for an engine's health and load. It shares a connection with attempts; a
// connection carries one health check at a time.
type healthCheck struct {
	connection *connection
	tag        string            // identifies the answer
	timer      *timerqueue.Timer // ends the check after the connect timeout
}

// RequestLoadReport starts a health check of an engine, on an open connection if there is one. An engine
// with a health check in flight is not asked again, as both answers would be the same.
func (b *Backend) RequestLoadReport(id string) {
	engine := b.engines.Get(id)
	if engine == nil {
		b.core.EndLoadReport(id, core.OutcomeNoAddress, policy.LoadReport{})
		return
	}
	if hasHealthCheck(engine) {
		b.core.EndLoadReport(id, core.OutcomeNotSent, policy.LoadReport{})
		return
	}
	c := healthCheckConnection(engine)
	if c == nil {
		c = b.dial(engine)
	}
	b.healthChecks++
	h := &healthCheck{connection: c, tag: healthCheckTagPrefix + strconv.FormatUint(b.healthChecks, 10)}
	c.healthCheck = h
	h.restartTimer()
	if c.socket != nil {
		h.write()
	}
}

// hasHealthCheck reports whether a health check of the engine is in flight.
func hasHealthCheck(engine *backend.Engine[*connection]) bool {
	for _, c := range engine.Connections {
		if c.healthCheck != nil {
			return true
		}
	}
	return false
}

// healthCheckConnection returns the first open connection, otherwise the first that is being dialed,
// or nil if there is neither. Retired connections are skipped.
func healthCheckConnection(engine *backend.Engine[*connection]) (dialing *connection) {
	for _, c := range engine.Connections {
		switch {
		case c.retired:
		case c.socket != nil:
			return c
		case dialing == nil:
			dialing = c
		}
	}
	return dialing
}

// restartTimer gives the health check another connect timeout to complete, as a late report would be
// outdated. The settings have no timeout for health checks; an engine that is up answers within the
// connect timeout however long its queue is.
func (h *healthCheck) restartTimer() {
	b := h.connection.backend
	h.timer.Stop()
	h.timer = b.loop.Timers.Add(b.core.Now()+b.site.ConnectTimeout, func() {
		h.finish(core.OutcomeTimeout, policy.LoadReport{})
	})
}

// write sends the command for the load if the site's engines report it, otherwise the command that only
// asks whether the engine is healthy.
func (h *healthCheck) write() {
	h.restartTimer()
	command := newCommand()
	if h.connection.backend.site.Policy.ReportsLoad {
		command = appendLoadReportCommand(command, h.tag)
	} else {
		command = appendHealthCheckCommand(command, h.tag)
	}
	h.connection.socket.Write(command)
}

// handleAnswer ends the health check with the engine's answer. An unhealthy engine also reports its load.
func (h *healthCheck) handleAnswer(a answer) error {
	switch a.kind {
	case answerHealthy:
		h.finish(core.OutcomeServed, parseLoadReport(a.fields))
	case answerUnhealthy:
		h.finish(core.OutcomeEngineError, parseLoadReport(a.fields))
	default:
		return fmt.Errorf("%w to a health check: %.20q", errUnknownAnswer, a.kind)
	}
	return nil
}

// finish reports the result of the health check to the core. A later answer has an unknown ID and is
// ignored.
func (h *healthCheck) finish(outcome core.Outcome, load policy.LoadReport) {
	c := h.connection
	h.timer.Stop()
	c.healthCheck = nil
	c.lastUsed = c.backend.core.Now()
	c.backend.core.EndLoadReport(c.engine.ID, outcome, load)
	c.closeIfDone()
}
