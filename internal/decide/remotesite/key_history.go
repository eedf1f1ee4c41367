package remotesite

import "time"

// Origin says at which site an attempt was made.
type Origin uint8

// Origins.
const (
	ThisSite Origin = iota
	OtherSite
)

// KeyHistory remembers when each idempotency key was first sent to an engine, at any site that has
// reported it: the dedup window of a key counts from there, whichever gateway its client turns to
// next.
type KeyHistory struct {
	retention time.Duration
	maxKeys   int
	first     map[string]keySend
	order     []string // of arrival; some may be retracted
}

type keySend struct {
	at     time.Duration
	origin Origin
}

// NewKeyHistory returns a history of at most maxKeys keys, each for the retention. Both bound what a
// client or a peer can make it hold; a key that was evicted counts as new.
func NewKeyHistory(retention time.Duration, maxKeys int) *KeyHistory {
	return &KeyHistory{retention: retention, maxKeys: max(maxKeys, 1), first: map[string]keySend{}}
}

// Record takes that a key was sent at an instant. It tells whether the key was unknown, or known
// to be sent later.
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

// evict removes the keys that came first, while they are expired or too many.
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

// FirstSend returns when a key was first sent, and whether another site sent it too; ok is false
// for an unknown key.
func (h *KeyHistory) FirstSend(now time.Duration, key string) (at time.Duration, origin Origin, ok bool) {
	send, known := h.first[key]
	return send.at, send.origin, known && now-send.at < h.retention
}

// Retract takes back that a key was sent at an instant: that attempt never ran.
func (h *KeyHistory) Retract(key string, at time.Duration) {
	if send, known := h.first[key]; known && send.at == at {
		delete(h.first, key)
	}
}

// Len returns the number of keys.
func (h *KeyHistory) Len() int { return len(h.first) }
