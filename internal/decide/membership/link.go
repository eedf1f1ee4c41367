package membership

import (
	"math"
	"time"
)

const (
	// lossWindow is the number of heartbeats over which the loss rate of a path is averaged.
	lossWindow = 16
	// totalLossWindow is the number of heartbeats over which the loss rate of all paths to this member together is
	// averaged.
	totalLossWindow = 4 * lossWindow
	// initialLossRate is assumed for all paths until the loss has been measured. Without it, a start on lossy paths
	// would produce more wrong statements in its first seconds than could be withdrawn in a minute.
	initialLossRate = 0.3
	// minLossRate is the lowest loss rate assumed for any path.
	minLossRate = 0.05
	// maxFalseSilence is the accepted probability that loss alone makes a path silent for the silence timeout.
	maxFalseSilence = 0.005
	// maxFalseReport is the accepted probability that loss alone leaves all pings unanswered.
	maxFalseReport = 0.002
	// maxSilentHeartbeats and maxPingRounds limit the detection time on paths with high loss.
	maxSilentHeartbeats = 10
	maxPingRounds       = 8
	// duplicatePingsAbove is the loss rate above which each ping is sent twice.
	duplicatePingsAbove = 0.1
)

// linkQuality measures the heartbeat loss on the path from a peer to this member.
type linkQuality struct {
	// lossRate is the fraction of heartbeats lost, an exponentially weighted average.
	lossRate float64
	// lastHeartbeat is the sequence number of the last heartbeat received; 0: none yet.
	lastHeartbeat uint16
	// heartbeatsCounted is the number of heartbeats in the average, at most lossWindow.
	heartbeatsCounted int
}

// countHeartbeat updates the loss rate of the path, and that of all paths together, with a received heartbeat and the
// ones that its sequence number shows to be lost before it. Gaps of lossWindow or more are not counted.
func (q *linkQuality) countHeartbeat(sequence uint16, totalLossRate *float64) {
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

// estimatedLoss returns the loss rate to assume for the path from p. This is the measured rate. While few heartbeats
// were counted and no other member reports p as not heard, it is at least the rate of all paths together. This matters
// at a start on lossy paths: members that do not know yet whom to send heartbeats to would otherwise be pinged too few
// times.
func (n *Node) estimatedLoss(p *peer) float64 {
	if p.heartbeatsCounted < lossWindow && len(p.notHeardBy) == 0 {
		return max(p.lossRate, n.health.lossRate)
	}
	return p.lossRate
}

// silenceTimeout returns how long p may be silent before it is pinged. Within the limits MaxMissedHeartbeats and
// maxSilentHeartbeats, this is the smallest number of heartbeat intervals for which loss alone silences the path from p
// with a probability of at most maxFalseSilence, and a quarter of an interval more.
func (n *Node) silenceTimeout(p *peer) time.Duration {
	lostInRow := math.Ceil(math.Log(maxFalseSilence) / math.Log(max(n.estimatedLoss(p), minLossRate)))
	missed := min(max(lostInRow, float64(n.config.MaxMissedHeartbeats)), maxSilentHeartbeats)
	return time.Duration(missed*float64(n.config.HeartbeatInterval)) + n.config.HeartbeatInterval/4
}

// isHeard reports whether a datagram from p arrived within its silence timeout. In this package a member "hears"
// another one while this is so.
func (n *Node) isHeard(p *peer) bool {
	return p.lastHeard > 0 && n.now-p.lastHeard <= n.silenceTimeout(p)
}

// wasHeardRecently is like isHeard with two more heartbeat intervals of tolerance, as p may have no reason to send
// datagrams to this member.
func (n *Node) wasHeardRecently(p *peer) bool {
	return p.lastHeard > 0 && n.now-p.lastHeard <= n.silenceTimeout(p)+n.heartbeats(2)
}

// pingCopies returns how many times each ping is sent. A wrong statement costs far more than a second ping, since the
// statement and its withdrawal are each sent to all members.
func (n *Node) pingCopies(p *peer) int {
	if n.estimatedLoss(p) > duplicatePingsAbove {
		return 2
	}
	return 1
}

// maxPings returns how many pings may go unanswered before p is reported as not heard. It accounts for the loss of its
// path in both directions.
func (n *Node) maxPings(p *peer) int {
	roundTripLoss := 1 - (1-n.estimatedLoss(p))*(1-n.estimatedLoss(p))
	pings := math.Ceil(math.Log(maxFalseReport) / (float64(n.pingCopies(p)) * math.Log(max(roundTripLoss, minLossRate))))
	return int(min(max(pings, float64(n.config.MaxUnansweredPings)), maxPingRounds))
}
