package membership

import "time"

// viewSeed starts a view's digest, so that an empty view has one.
const viewSeed = 1

// viewTracker holds the installed view and the changes that wait to become the next one.
type viewTracker struct {
	current       View
	installedAt   time.Duration
	hasMajority   bool
	highestNumber uint32 // of a view that any member has reported

	pendingSince         time.Duration // a view change waits; 0: none does
	pendingDigest        uint32
	pendingStableSince   time.Duration // pendingDigest has not changed
	failuresPendingSince time.Duration // members have failed and have not been declared so; 0: none
}

// installView installs the view of those that are here once it has been stable for a moment, so that an event that hits
// many members is one view change.
func (n *Node) installView(suspects int) {
	n.rebuildRings()
	next := View{Digest: viewSeed, Size: len(n.topology.inView)}
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
	here, recent := n.countRecentMembers()
	views.current = next
	views.hasMajority = 2*here > recent
	views.pendingSince = 0
	views.installedAt = n.now
	n.actions = append(n.actions, ViewChanged{next, views.hasMajority})
}

// isViewDue tells whether the pending view has been stable for long enough, or has waited for as long as it may.
func (n *Node) isViewDue(next View, suspects int) bool {
	stableFor := n.config.HeartbeatInterval / 2
	if next.Size > n.views.current.Size { // where one returns others may, with their next heartbeats
		stableFor = n.heartbeats(2)
	}
	isStable := suspects == 0 && n.now-n.views.pendingStableSince >= stableFor
	return isStable || n.now-n.views.pendingSince >= n.config.MaxViewDelay
}
