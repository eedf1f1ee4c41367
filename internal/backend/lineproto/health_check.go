package lineproto

import (
	"fmt"
	"strconv"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// healthCheckTagPrefix keeps tags apart from the IDs of requests, which are 16 hex digits.
const healthCheckTagPrefix = "p"

// healthCheck is one request for an engine's load, on a connection that carries attempts as well. A
// connection carries one at a time.
type healthCheck struct {
	connection *connection
	tag        string
	timer      *timerqueue.Entry
}

// RequestLoadReport asks an engine for its load, on a connection that is up where there is one. An engine
// with a health check in flight is not asked again: two answers would say the same.
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

func hasHealthCheck(engine *backend.Engine[*connection]) bool {
	for _, c := range engine.Connections {
		if c.healthCheck != nil {
			return true
		}
	}
	return false
}

// healthCheckConnection returns the first connection that is up, otherwise the first that is being
// dialed, or nil.
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

// restartTimer bounds how long the health check takes: a report of the moment is wanted, not of some time ago.
// The settings have no time-out of its own for it; within that of a connect an engine that is up
// has answered, however long its queue is.
func (h *healthCheck) restartTimer() {
	b := h.connection.backend
	h.timer.Stop()
	h.timer = b.loop.Timers.Add(b.core.Now()+b.site.ConnectTimeout, func() {
		h.finish(core.OutcomeTimeout, policy.LoadReport{})
	})
}

// write asks for the load where the deployment's engines report it, otherwise whether the engine is up.
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

// handleAnswer takes the engine's answer. An unhealthy engine reports its load all the same.
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

// finish reports the result of the health check, once. A late answer is ignored as one with an unknown ID.
func (h *healthCheck) finish(outcome core.Outcome, load policy.LoadReport) {
	c := h.connection
	h.timer.Stop()
	c.healthCheck = nil
	c.lastUsed = c.backend.core.Now()
	c.backend.core.EndLoadReport(c.engine.ID, outcome, load)
	c.closeIfDone()
}
