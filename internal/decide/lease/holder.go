package lease

import "time"

// holderState is the state of this member as the holder of a lease of an engine's capacity. Quotas are out of
// FullCapacity.
type holderState struct {
	demand      int           // the quota that this member could use
	requestedAt time.Duration // when the latest lease request was sent; 0: never
	requestID   uint32        // ID of the latest lease request or release
	quota       int           // quota of the lease; 0: there is no lease
	expiresAt   time.Duration // when the lease expires
}

// holdsLease reports whether there is a lease that has not expired.
func (h *holderState) holdsLease(now time.Duration) bool { return h.quota > 0 && now < h.expiresAt }

// setDemand sets the quota of an engine that this member could use. A lease that is not needed any more is released at
// once.
func (n *Node) setDemand(id EngineID, quota int) {
	engine := n.engine(id)
	if engine == nil {
		return
	}
	h := &engine.holder
	heldLease := h.holdsLease(n.now)
	h.demand = min(max(quota, 0), FullCapacity)
	if h.demand > 0 || !heldLease {
		return
	}
	h.quota = 0
	h.expiresAt = 0
	h.requestID = n.nextRequestID()
	if leader, ok := n.preferredLeader(id); ok {
		n.send(leader, message{kind: kindLeaseRelease, engine: id, process: n.process, requestID: h.requestID})
	}
}

// requestLease requests a lease from the leader, or its renewal.
func (n *Node) requestLease(leader MemberID, id EngineID, engine *engineState) {
	engine.holder.requestedAt = n.now
	engine.holder.requestID = n.nextRequestID()
	n.send(leader, message{kind: kindLeaseRequest, engine: id, process: n.process, requestID: engine.holder.requestID, quota: uint16(engine.holder.demand)})
}

// acceptLease accepts a lease that responds to the latest request. Its span counts from when the request was sent and
// is reduced for clock drift. Leases for earlier requests are ignored.
func (n *Node) acceptLease(lease message, engine *engineState) {
	h := &engine.holder
	if lease.process != n.process || lease.requestID != h.requestID || h.demand == 0 {
		return
	}
	h.quota = int(lease.quota)
	h.expiresAt = h.requestedAt + n.config.guaranteedSpan(min(lease.span, n.config.Term))
}
