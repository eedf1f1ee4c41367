package membership

import (
	"math"
	"time"
)

const (
	// lossWindow is the number of heartbeats over which the loss rate of a path is averaged.
	lossWindow = 16
	// totalLossWindow is the same for all paths to this member together.
	totalLossWindow = 4 * lossWindow
	// initialLossRate is assumed for all paths until something was measured. Guards against a start amid loss, whose
	// first seconds would bring more wrong statements than can be withdrawn in a minute.
	initialLossRate = 0.3
	// minLossRate is assumed of any path.
	minLossRate = 0.05
	// maxFalseSilence is the tolerated probability that loss alone makes a path silent for the silence timeout.
	maxFalseSilence = 0.005
	// maxFalseReport is the tolerated probability that loss alone leaves all pings unanswered.
	maxFalseReport = 0.002
	// maxSilentHeartbeats and maxPingRounds bound the time to detection on paths with much loss.
	maxSilentHeartbeats = 10
	maxPingRounds       = 8
	// duplicatePingsAbove is the loss rate above which each ping is sent twice.
	duplicatePingsAbove = 0.1
)

// linkQuality measures the loss of heartbeats on the path from a peer to this member.
type linkQuality struct {
	lossRate          float64
	lastHeartbeat     uint16 // its sequence number; 0: none yet
	heartbeatsCounted int    // up to lossWindow
}

// noteHeartbeat counts a heartbeat and those that must have been lost before it, here and in the loss rate of all paths.
func (q *linkQuality) noteHeartbeat(sequence uint16, totalLossRate *float64) {
	gap := sequence - q.lastHeartbeat
	if q.lastHeartbeat != 0 && gap >= 1 && gap < lossWindow {
		for i := range gap {
			lost := 1.0
			if i == gap-1 {
				lost = 0
			}
			q.lossRate += (lost - q.lossRate) / lossWindow
			*totalLossRate += (lost - *totalLossRate) / totalLossWindow
		}
		q.heartbeatsCounted = min(q.heartbeatsCounted+int(gap), lossWindow)
	}
	q.lastHeartbeat = sequence
}

// estimatedLoss is the loss rate to assume of the path from a peer: the measured one, or, where few heartbeats were
// counted and nobody else misses the peer, at least that of all paths. Guards against a start amid loss, in which
// members that don't know yet whom to send heartbeats to would be pinged too few times.
func (n *Node) estimatedLoss(p *peer) float64 {
	if p.heartbeatsCounted < lossWindow && len(p.notHeardBy) == 0 {
		return max(p.lossRate, n.health.lossRate)
	}
	return p.lossRate
}

// silenceTimeout is how long a peer may be silent before it is pinged: the number of heartbeats that are hardly ever
// lost in a row on its path.
func (n *Node) silenceTimeout(p *peer) time.Duration {
	unlikely := math.Ceil(math.Log(maxFalseSilence) / math.Log(max(n.estimatedLoss(p), minLossRate)))
	missed := min(max(unlikely, float64(n.config.MaxMissedHeartbeats)), maxSilentHeartbeats)
	return time.Duration(missed*float64(n.config.HeartbeatInterval)) + n.config.HeartbeatInterval/4
}

// isHeard tells whether this member hears a peer at present.
func (n *Node) isHeard(p *peer) bool {
	return p.lastHeard > 0 && n.now-p.lastHeard <= n.silenceTimeout(p)
}

// wasHeardRecently tells whether a peer was heard not long ago; it may have no reason to send this member anything.
func (n *Node) wasHeardRecently(p *peer) bool {
	return p.lastHeard > 0 && n.now-p.lastHeard <= n.silenceTimeout(p)+n.heartbeats(2)
}

// pingCopies is how many times each ping is sent. A wrong statement costs far more than a second ping, as it goes to
// all members and so does its withdrawal.
func (n *Node) pingCopies(p *peer) int {
	if n.estimatedLoss(p) > duplicatePingsAbove {
		return 2
	}
	return 1
}

// maxPings is how many pings may go unanswered before the peer is reported as not heard, with the loss of its path in
// both directions.
func (n *Node) maxPings(p *peer) int {
	roundTripLoss := 1 - (1-n.estimatedLoss(p))*(1-n.estimatedLoss(p))
	unlikely := math.Ceil(math.Log(maxFalseReport) / (float64(n.pingCopies(p)) * math.Log(max(roundTripLoss, minLossRate))))
	return int(min(max(unlikely, float64(n.config.MaxUnansweredPings)), maxPingRounds))
}
