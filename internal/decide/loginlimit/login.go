// Package login decides how often an address may try to log in. No I/O, no clock: instants are
// the caller's, of one origin.
package loginlimit

import (
	"math"
	"time"
)

// Config bounds failed logins of one address.
type Config struct {
	Burst          int           // in a row, before any wait; at least 1
	RefillInterval time.Duration // one more is allowed after this
	MaxAddresses   int           // addresses that are remembered; past it the ones that have failed least are forgotten
}

// Defaults let a person mistype and a guesser wait.
func Defaults() Config { return Config{Burst: 10, RefillInterval: time.Second, MaxAddresses: 4096} }

// Throttle remembers the failures of addresses, as a bucket that leaks (one every Config.Every). Its
// zero value is not ready: see New.
type Limiter struct {
	cfg     Config
	buckets map[string]*bucket
}

type bucket struct {
	level float64 // failures
	at    time.Duration
}

// New returns a throttle that remembers nothing.
func New(cfg Config) *Limiter {
	cfg.Burst, cfg.MaxAddresses = max(cfg.Burst, 1), max(cfg.MaxAddresses, 1)
	return &Limiter{cfg: cfg, buckets: map[string]*bucket{}}
}

func (t *Limiter) leak(b *bucket, now time.Duration) {
	if t.cfg.RefillInterval > 0 {
		b.level = max(b.level-float64(now-b.at)/float64(t.cfg.RefillInterval), 0)
	} else {
		b.level = 0
	}
	b.at = now
}

// Wait is how long an address has to wait before its next try; 0: it may try.
func (t *Limiter) RetryAfter(now time.Duration, addr string) time.Duration {
	b := t.buckets[addr]
	if b == nil {
		return 0
	}
	t.leak(b, now)
	over := b.level - float64(t.cfg.Burst) + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(over * float64(t.cfg.RefillInterval)))
}

// Failed counts a failure of an address.
func (t *Limiter) RecordFailure(now time.Duration, addr string) {
	b := t.buckets[addr]
	if b == nil {
		if len(t.buckets) >= t.cfg.MaxAddresses {
			t.evict(now)
		}
		b = &bucket{at: now}
		t.buckets[addr] = b
	}
	t.leak(b, now)
	b.level = min(b.level+1, float64(2*t.cfg.Burst)) // a guesser can't lock an address out for ever
}

// forget drops what has leaked away, and else all that is below the mean: a flood of
// addresses must not free the one that guesses.
func (t *Limiter) evict(now time.Duration) {
	sum := 0.0
	for addr, b := range t.buckets {
		if t.leak(b, now); b.level == 0 {
			delete(t.buckets, addr)
			continue
		}
		sum += b.level
	}
	if len(t.buckets) < t.cfg.MaxAddresses {
		return
	}
	mean := sum / float64(len(t.buckets))
	for addr, b := range t.buckets {
		if b.level <= mean {
			delete(t.buckets, addr)
		}
	}
}

// Len is the number of addresses that are remembered.
func (t *Limiter) Len() int { return len(t.buckets) }
