package forwarding

import (
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/site/message"
	"slices"
	"time"
)

// tick runs ticksPerReport times per DigestInterval. It checks the peers' states, closes links that are
// silent or no longer needed, and sends idempotency keys. Every ticksPerReport ticks it also sends load
// reports, and every staleTicks ticks it rejects incomplete requests that make no progress.
func (s *Service) tick() {
	now := s.clock.Now()
	s.timers.Add(now+s.cfg.DigestInterval/ticksPerReport, s.tick)
	for _, p := range s.peers {
		s.checkPeer(p, now)
		for _, l := range slices.Clone(p.links) {
			switch {
			case p.SinceReply(now) > redialIntervals*s.cfg.UnreachableAfter && now-l.since > redialIntervals*s.cfg.UnreachableAfter:
				l.transport.Close(ErrSilent)
			case l.canClose(now):
				l.transport.Close(nil)
			}
		}
	}
	s.sendKeys(now)
	if s.ticks++; s.ticks%ticksPerReport == 0 {
		s.sendLoadReports()
	}
	if s.ticks%staleTicks == 0 {
		for _, p := range s.peers {
			for _, l := range p.links {
				if err := l.mux.RejectStale(); err != nil {
					l.transport.Close(err)
				}
			}
		}
	}
}

// checkPeer records a change of a peer's state. If the peer became unreachable, it ends the requests that
// were forwarded to it.
func (s *Service) checkPeer(p *peer, now time.Duration) {
	c, changed := p.StateChange(s.cfg, now)
	if !changed {
		return
	}
	s.recordEvent(Event{At: now, Peer: p.name, From: c.From.String(), To: c.To.String(), Why: c.Reason.String()})
	if c.To == decide.Unreachable {
		for _, l := range slices.Clone(p.links) {
			l.returnForwarded("silent")
		}
	}
}

// recordEvent counts, logs and stores a state change of a peer.
func (s *Service) recordEvent(e Event) {
	s.counters.Inc("site.state." + e.To)
	s.log.Info("site.state", "peer", e.Peer.String(), "from", e.From, "to", e.To, "why", e.Why)
	if s.events = append(s.events, e); len(s.events) > maxEvents {
		s.events = slices.Delete(s.events, 0, 1)
	}
}

// sendLoadReports sends each peer the free capacity of this site, the peer's share of the work that this
// site accepts, and a ping that measures the round trip.
func (s *Service) sendLoadReports() {
	if s.shuttingDown { // a new process may already send reports for this gateway
		return
	}
	now := s.clock.Now()
	var links []*Link
	var requested []float64
	for _, p := range s.peers {
		if l := p.openLink(); l != nil {
			links, requested = append(links, l), append(requested, p.requestedWork)
			p.requestedWork /= 2
		}
	}
	if len(links) == 0 {
		return
	}
	s.reports++
	d := s.meter.Digest(now, s.classNames)
	for i, work := range decide.DivideWork(d.AcceptableWork, requested) {
		if s.draining {
			work = 0
		}
		links[i].sendLoadReport(s.reports, message.LoadReport{FreeCapacity: d.FreeCapacity, WorkSeconds: work, Draining: s.draining})
		links[i].ping(now)
	}
}

// sendKeys tells all peers which idempotency keys were sent to engines since the previous call.
func (s *Service) sendKeys(now time.Duration) {
	for len(s.unsentKeys) > 0 {
		n := min(len(s.unsentKeys), message.MaxKeys)
		all := make([]message.SentKey, n)
		for i, k := range s.unsentKeys[:n] {
			all[i] = message.SentKey{Key: k.Key, AgoUS: max(int64(now/time.Microsecond)-k.AgoUS, 0)}
		}
		s.unsentKeys = s.unsentKeys[n:]
		for _, p := range s.peers {
			if l := p.openLink(); l != nil {
				l.sendKeys(message.SentKeys{Keys: all})
			}
		}
	}
	s.unsentKeys = nil
}
