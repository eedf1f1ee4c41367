package remotesite

import "time"

// Keys remembers when each key was first sent to an engine, at any site that has said so:
// its window counts from there, whichever gateway its client turns to next. Its zero value
// is not ready: see NewKeys.
type KeyHistory struct {
	keep  time.Duration
	most  int
	first map[string]sent
	order []string // as they came; some may be forgotten
}

type sent struct {
	at        time.Duration
	elsewhere bool
}

// NewKeys returns a memory of at most so many keys, each for so long. Both bound what a client
// or a peer can have it hold; a key that is forgotten counts as new.
func NewKeyHistory(keep time.Duration, most int) *KeyHistory {
	return &KeyHistory{keep: keep, most: max(most, 1), first: map[string]sent{}}
}

// Sent takes that a key was sent at an instant, at another site or at this one. It tells whether
// that was not known, or known as later.
func (k *KeyHistory) Record(now time.Duration, key string, at time.Duration, elsewhere bool) bool {
	if key == "" || now-at >= k.keep {
		return false
	}
	was, known := k.first[key]
	if known && was.at <= at && (was.elsewhere || !elsewhere) {
		return false
	}
	first := sent{at, elsewhere}
	if known {
		first = sent{min(at, was.at), elsewhere || was.elsewhere}
	} else {
		k.order = append(k.order, key)
	}
	k.first[key] = first
	for len(k.order) > 0 {
		was, known := k.first[k.order[0]]
		if known && len(k.first) <= k.most && now-was.at < k.keep {
			break
		}
		delete(k.first, k.order[0])
		k.order = k.order[1:]
	}
	return !known || at < was.at
}

// First is when a key was first sent, and whether another site was; ok is false where nothing
// is known of it.
func (k *KeyHistory) FirstSend(now time.Duration, key string) (at time.Duration, elsewhere, ok bool) {
	was, ok := k.first[key]
	return was.at, was.elsewhere, ok && now-was.at < k.keep
}

// Never takes back that a key was sent at an instant: that send never ran.
func (k *KeyHistory) Retract(key string, at time.Duration) {
	if was, known := k.first[key]; known && was.at == at {
		delete(k.first, key)
	}
}

// Len is the number of keys.
func (k *KeyHistory) Len() int { return len(k.first) }
