package remotesite

import "time"

// Digest is the load report that a gateway sends to its peers every Config.DigestInterval.
type Digest struct {
	FreeCapacity   map[string]float64 // free capacity by class, as a fraction
	AcceptableWork float64            // work accepted until the next digest, in core-seconds
	Draining       bool               // the gateway accepts no new queries
}

// Digest returns this gateway's load report for its peers. AcceptableWork is what it accepts from all
// other sites together until its next digest: its share of the engine capacity that is free beyond
// Config.LocalReserve, reduced if its policy has recently rejected queries of every class.
func (m *CapacityMeter) Digest(now time.Duration, classes []string) Digest {
	d := Digest{FreeCapacity: make(map[string]float64, len(classes))}
	maxAdmitted := 0.0
	for _, name := range classes {
		d.FreeCapacity[name] = m.FreeCapacity(now, name)
		maxAdmitted = max(maxAdmitted, m.admittedFraction(now, name))
	}
	available, inUse := m.threads(now)
	spare := max(available*(1-m.cfg.LocalReserve)-inUse, 0) / m.gateways
	d.AcceptableWork = spare * maxAdmitted * m.cfg.DigestInterval.Seconds()
	return d
}

// DivideWork divides the work that a gateway accepts among its peers and returns the share of each.
// Half is divided evenly, half in proportion to the work that each peer has requested recently (all
// evenly if none has). The shares never sum to more than the whole, so that the gateway isn't
// overloaded when several peers forward to it at once.
func DivideWork(work float64, requested []float64) []float64 {
	shares := make([]float64, len(requested))
	if len(requested) == 0 || !(work > 0) {
		return shares
	}
	sum := 0.0
	for _, r := range requested {
		sum += max(r, 0)
	}
	for i, r := range requested {
		shares[i] = work / float64(len(requested))
		if sum > 0 {
			shares[i] = shares[i]/2 + work/2*max(r, 0)/sum
		}
	}
	return shares
}
