package membership

import "time"

// viewDigestSeed is the initial value of a view's digest, so that an empty view has a digest other than 0.
const viewDigestSeed = 1

// viewTracker holds the installed view and the pending changes to it.
type viewTracker struct {
	current       View
	installedAt   time.Duration // when the view was installed
	hasMajority   bool          // whether the view holds more than half of the recent fleet
	highestNumber uint32        // highest view number that any member has reported

	pendingSince         time.Duration // since when a view change is pending; 0: none is
	pendingDigest        uint32        // digest of the pending view
	pendingStableSince   time.Duration // since when pendingDigest has not changed
	failuresPendingSince time.Duration // since when failed members wait to be declared dead or unreachable; 0: none do
}

// installView installs the view of the present members once it has been stable for a while, so that an event that
// affects many members causes one view change. suspects is the number of suspected members.
func (n *Node) installView(suspects int) {
	n.rebuildRings()
	next := View{Digest: viewDigestSeed, Size: len(n.topology.inView)}
	for _, p := range n.topology.inView {
		next.Digest = mixHash(next.Digest, p.id.hashKey())
	}
	views := &n.views
	if next.Digest == views.current.Digest {
		views.pendingSince = 0
		views.pendingDigest = next.Digest
		return
	}
	if views.pendingSince == 0 {
		views.pendingSince = n.now
	}
	if next.Digest != views.pendingDigest {
		views.pendingDigest = next.Digest
		views.pendingStableSince = n.now
	}
	if views.current.Size > 0 && !n.isViewDue(next, suspects) {
		return
	}
	next.Number = max(views.highestNumber, views.current.Number) + 1
	present, recent := n.countRecentMembers()
	views.current = next
	views.hasMajority = 2*present > recent
	views.pendingSince = 0
	views.installedAt = n.now
	n.actions = append(n.actions, ViewChanged{next, views.hasMajority})
}

// isViewDue reports whether the pending view has been stable for long enough, or has waited for MaxViewDelay.
func (n *Node) isViewDue(next View, suspects int) bool {
	requiredStability := n.config.HeartbeatInterval / 2
	if next.Size > n.views.current.Size { // when one member returns, others may return with their next heartbeats
		requiredStability = n.heartbeats(2)
	}
	isStable := suspects == 0 && n.now-n.views.pendingStableSince >= requiredStability
	return isStable || n.now-n.views.pendingSince >= n.config.MaxViewDelay
}
