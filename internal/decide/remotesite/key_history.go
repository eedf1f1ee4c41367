package remotesite

import "time"

// Origin says which site made an attempt.
type Origin uint8

// Origins.
const (
	ThisSite  Origin = iota // this gateway's site
	OtherSite               // a peer's site
)

// KeyHistory remembers when each idempotency key was first sent to an engine at this site or at a site
// that has reported it. The dedup window of a key starts then, whichever gateway its client uses for
// the next request.
type KeyHistory struct {
	retention time.Duration      // how long a key is remembered after its first send
	maxKeys   int                // bound on the number of keys; at least 1
	first     map[string]keySend // first send by key
	order     []string           // keys in the order of their arrival, including retracted ones
}

// keySend is the first known send of a key to an engine.
type keySend struct {
	at     time.Duration // when the key was sent
	origin Origin        // OtherSite if another site has sent the key, even if not first
}

// NewKeyHistory returns a history that holds at most maxKeys keys, each for the retention. The two
// limits bound the memory that clients and peers can make it use. An evicted key counts as new.
func NewKeyHistory(retention time.Duration, maxKeys int) *KeyHistory {
	return &KeyHistory{retention: retention, maxKeys: max(maxKeys, 1), first: map[string]keySend{}}
}

// Record records that a key was sent to an engine at a time. It reports whether that is the earliest
// known send of the key. An empty or expired key is ignored.
func (h *KeyHistory) Record(now time.Duration, key string, at time.Duration, origin Origin) bool {
	if key == "" || now-at >= h.retention {
		return false
	}
	known, ok := h.first[key]
	if !ok {
		h.order = append(h.order, key)
		h.first[key] = keySend{at, origin}
		h.evict(now)
		return true
	}
	if known.at <= at && (known.origin == OtherSite || origin == ThisSite) {
		return false
	}
	h.first[key] = keySend{min(at, known.at), max(origin, known.origin)}
	h.evict(now)
	return at < known.at
}

// evict removes the oldest keys, in order of arrival, while they are retracted, expired or too many.
func (h *KeyHistory) evict(now time.Duration) {
	for len(h.order) > 0 {
		oldest := h.order[0]
		send, known := h.first[oldest]
		if known && len(h.first) <= h.maxKeys && now-send.at < h.retention {
			return
		}
		delete(h.first, oldest)
		h.order = h.order[1:]
	}
}

// FirstSend returns when a key was first sent; origin is OtherSite if another site has sent it. ok is
// false for an unknown or expired key.
func (h *KeyHistory) FirstSend(now time.Duration, key string) (at time.Duration, origin Origin, ok bool) {
	send, known := h.first[key]
	return send.at, send.origin, known && now-send.at < h.retention
}

// Retract removes a key if its first send was at this time, because that attempt never ran.
func (h *KeyHistory) Retract(key string, at time.Duration) {
	if send, known := h.first[key]; known && send.at == at {
		delete(h.first, key)
	}
}

// Len returns the number of remembered keys.
func (h *KeyHistory) Len() int { return len(h.first) }
