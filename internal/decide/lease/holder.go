package lease

import "time"

// holder is the lease that this member holds of an engine, and its requests for it.
type holder struct {
	demand      int           // of FullCapacity
	requestedAt time.Duration // the last request; 0: there was none
	request     uint32        // its number
	quota       int
	expiresAt   time.Duration
}

// holdsLease tells whether there is a lease that has not expired.
func (h *holder) holdsLease(now time.Duration) bool { return h.quota > 0 && now < h.expiresAt }

// setDemand notes what this member could use of an engine. A lease that is not needed any more is released at once.
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
	h.request = n.nextRequest()
	if leader, ok := n.preferredLeader(id); ok {
		n.send(leader, message{kind: kindLeaseRelease, engine: id, process: n.process, request: h.request})
	}
}

// requestLease asks the leader for a lease, or to renew it.
func (n *Node) requestLease(leader ID, id EngineID, engine *engineState) {
	engine.holder.requestedAt = n.now
	engine.holder.request = n.nextRequest()
	n.send(leader, message{kind: kindLeaseRequest, engine: id, process: n.process, request: engine.holder.request, quota: uint16(engine.holder.demand)})
}

// acceptLease takes the lease that answers the last request. It counts from when the request was sent.
func (n *Node) acceptLease(lease message, engine *engineState) {
	h := &engine.holder
	if lease.process != n.process || lease.request != h.request || h.demand == 0 {
		return
	}
	h.quota = int(lease.quota)
	h.expiresAt = h.requestedAt + n.config.guaranteed(min(lease.span, n.config.Term))
}
