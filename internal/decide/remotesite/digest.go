package remotesite

import "time"

// Digest is what a gateway reports of itself to its peers.
type Digest struct {
	FreeCapacity   map[string]float64 // by class, as a fraction
	AcceptableWork float64            // until the next digest, in seconds of one core
	Draining       bool               // it accepts no new queries
}

// Digest returns what this gateway reports of itself: the free capacity, and the work that it
// accepts from all other sites together until its next digest, within its part of what the engines
// have free beyond the local reserve.
func (m *CapacityMeter) Digest(now time.Duration, classes []string) Digest {
	d := Digest{FreeCapacity: make(map[string]float64, len(classes))}
	maxAdmission := 0.0
	for _, name := range classes {
		d.FreeCapacity[name] = m.FreeCapacity(now, name)
		maxAdmission = max(maxAdmission, m.admission(now, name))
	}
	available, inUse := m.threads(now)
	spare := max(available*(1-m.cfg.LocalReserve)-inUse, 0) / m.gateways
	d.AcceptableWork = spare * maxAdmission * m.cfg.DigestInterval.Seconds()
	return d
}

// DivideWork divides the work that a gateway accepts among its peers: half evenly, half by what each
// has requested recently. The parts never sum to more than the whole, so that the gateway isn't
// overloaded when several peers turn to it at once.
func DivideWork(work float64, requested []float64) []float64 {
	parts := make([]float64, len(requested))
	if len(requested) == 0 || !(work > 0) {
		return parts
	}
	sum := 0.0
	for _, r := range requested {
		sum += max(r, 0)
	}
	for i, r := range requested {
		parts[i] = work / float64(len(requested))
		if sum > 0 {
			parts[i] = parts[i]/2 + work/2*max(r, 0)/sum
		}
	}
	return parts
}
