package site

import "time"

// Keys remembers when each key was first sent to an engine, at any site that has said so:
// its window counts from there, whichever gateway its client turns to next. Its zero value
// is not ready: see NewKeys.
type Keys struct {
	keep  time.Duration
	most  int
	first map[string]time.Duration
	order []string // as they came; some may be forgotten
}

// NewKeys returns a memory of at most so many keys, each for so long. Both bound what a client
// or a peer can have it hold; a key that is forgotten counts as new.
func NewKeys(keep time.Duration, most int) *Keys {
	return &Keys{keep: keep, most: max(most, 1), first: map[string]time.Duration{}}
}

// Sent takes that a key was sent at an instant. It tells whether that was not known, or known
// as later.
func (k *Keys) Sent(now time.Duration, key string, at time.Duration) bool {
	if key == "" || now-at >= k.keep {
		return false
	}
	was, known := k.first[key]
	if known && was <= at {
		return false
	}
	k.first[key] = at
	if !known {
		k.order = append(k.order, key)
	}
	for len(k.order) > 0 {
		first, known := k.first[k.order[0]]
		if known && len(k.first) <= k.most && now-first < k.keep {
			break
		}
		delete(k.first, k.order[0])
		k.order = k.order[1:]
	}
	return true
}

// First is when a key was first sent; ok is false where nothing is known of it.
func (k *Keys) First(now time.Duration, key string) (at time.Duration, ok bool) {
	at, ok = k.first[key]
	return at, ok && now-at < k.keep
}

// Never takes back that a key was sent at an instant: that send never ran.
func (k *Keys) Never(key string, at time.Duration) {
	if was, known := k.first[key]; known && was == at {
		delete(k.first, key)
	}
}

// Len is the number of keys.
func (k *Keys) Len() int { return len(k.first) }
