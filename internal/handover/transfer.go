package handover

import (
	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/netio"
)

// updateConnections tells the state machine which connections have ended, and which have become idle
// or busy.
func (s *Source) updateConnections() {
	for id, c := range s.connections.local {
		if c.Ended() {
			s.connections.removeLocal(id)
			s.step(decide.ConnectionClosed{Conn: id})
			continue
		}
		idle := canTransfer(c, transferableHandler(c))
		if idle != s.connections.busy[id] {
			continue // the state machine already knows whether c is idle
		}
		if idle {
			delete(s.connections.busy, id)
			s.step(decide.ConnectionIdle{Conn: id})
		} else {
			s.connections.busy[id] = true
			s.step(decide.ConnectionBusy{Conn: id})
		}
	}
}

// transfer sends a connection to the target and retains what is needed to reclaim it. If the
// connection has become busy, the transfer is cancelled.
func (s *Source) transfer(id decide.ConnID) {
	c := s.connections.local[id]
	if c == nil {
		return
	}
	handler := transferableHandler(c)
	if !c.Ended() && !canTransfer(c, handler) {
		s.connections.busy[id] = true
		s.effects.add(s.machine.Step(s.loop.Now(), decide.TransferCancelled{Conn: id}))
		return
	}
	s.connections.removeLocal(id)
	state := handler.EncodeState()
	fd, unread, err := c.Detach()
	if err != nil { // the connection has ended, which the loop reports to its handler
		s.effects.add(s.machine.Step(s.loop.Now(), decide.TargetClosedConnection{Conn: id}))
		return
	}
	handler.Transferred()
	s.connections.transferred[id] = newRetained(fd, state, unread)
	s.send(&ConnectionTransfer{Conn: uint32(id), Frontend: s.frontend.Name(), State: state, Unread: unread}, fd)
}

// reclaim takes a transferred connection back after the target has died. Output that the target had
// recorded and not written is written first. Input that it had read and not answered is handled
// again. A request that it had sent to an engine is sent again only if decide.Recover allows it.
func (s *Source) reclaim(id decide.ConnID) {
	r := s.connections.removeRetained(id)
	if r == nil {
		return
	}
	orphan, err := s.reattach(r)
	if err != nil {
		s.log.Warn("upgrade.lost-connection", "error", err)
		return
	}
	s.counters.Inc("upgrade.taken-back")
	s.logOrphan(id, orphan)
	if orphan.MustFail {
		s.counters.Inc("upgrade.in-doubt")
	}
}

// logOrphan logs what the target's records tell of a request that may have run.
func (s *Source) logOrphan(id decide.ConnID, orphan core.Orphan) {
	for _, a := range orphan.Attempts {
		s.log.Info("upgrade.request-taken-back", "conn", uint32(id), "in_doubt", orphan.MustFail, "engine", a.Placement.Engine, "zone", a.Placement.Zone,
			"cell", a.Placement.Cell, "group_known", a.GroupKnown(), "other_site", a.OtherSite, "sent_ago", s.loop.Now()-a.SentAt, "window", a.Window)
	}
}

// reattach adds a retained connection to the loop again. It takes ownership of the descriptor.
func (s *Source) reattach(r *retainedConnection) (core.Orphan, error) {
	position, err := netio.StreamPositionOf(r.fd)
	if err != nil {
		r.close()
		return core.Orphan{}, err
	}
	restore, err := s.frontend.RestoreConnection(r.state)
	if err != nil {
		r.close()
		return core.Orphan{}, err
	}
	unread := r.unansweredInput(position)
	orphan := r.orphanedRequest(s.loop.Now())
	c, err := s.loop.Attach(r.fd, s.frontend.ReadLimit(), unread, func(c *netio.Conn) netio.Handler {
		h := restore(c)
		if t, ok := h.(Transferable); ok && len(unread) > 0 {
			t.RecoverRequest(orphan)
		}
		return h
	})
	if err != nil {
		return core.Orphan{}, err
	}
	if remainder := r.unwrittenOutput(position); len(remainder) > 0 {
		s.counters.Inc("upgrade.answers-finished")
		c.Write(remainder)
	}
	if r.closing {
		c.Close()
	}
	return orphan, nil
}
