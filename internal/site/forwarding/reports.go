package forwarding

import (
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/site/message"
	"slices"
	"time"
)

// tick sees silences, tells of keys, and says now and then how much room there is.
func (s *Service) tick() {
	now := s.clock.Now()
	s.timers.Add(now+s.cfg.DigestInterval/ticksPerReport, s.tick)
	for _, p := range s.peers {
		s.checkPeer(p, now)
		for _, l := range slices.Clone(p.links) {
			switch {
			case p.SinceReply(now) > redialIntervals*s.cfg.UnreachableAfter && now-l.since > redialIntervals*s.cfg.UnreachableAfter:
				l.transport.Close(ErrSilent)
			case l.done(now):
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

// checkPeer takes back what is at a peer that has fallen silent.
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

func (s *Service) recordEvent(e Event) {
	s.stats.Inc("site.state." + e.To)
	s.log.Info("site.state", "peer", e.Peer.String(), "from", e.From, "to", e.To, "why", e.Why)
	if s.events = append(s.events, e); len(s.events) > maxEvents {
		s.events = slices.Delete(s.events, 0, 1)
	}
}

// sendLoadReports tells all peers how much room there is, and asks how long the way is.
func (s *Service) sendLoadReports() {
	if s.leaving { // a new version may speak for this gateway by now
		return
	}
	now := s.clock.Now()
	var to []*Link
	var asked []float64
	for _, p := range s.peers {
		if l := p.openLink(); l != nil {
			to, asked = append(to, l), append(asked, p.requestedWork)
			p.requestedWork /= 2
		}
	}
	if len(to) == 0 {
		return
	}
	s.reports++
	d := s.meter.Digest(now, s.names)
	for i, takes := range decide.DivideWork(d.AcceptableWork, asked) {
		if s.draining {
			takes = 0
		}
		to[i].sendLoadReport(s.reports, message.LoadReport{FreeCapacity: d.FreeCapacity, WorkSeconds: takes, Draining: s.draining})
		to[i].ping(now)
	}
}

// sendKeys tells all peers of the keys that were sent since it was last called.
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
