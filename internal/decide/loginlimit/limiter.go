// Package loginlimit decides how often an address may try to sign in. It does no I/O and reads no
// clock: instants are the caller's, as durations since one origin.
package loginlimit

import (
	"math"
	"time"
)

// Config bounds the failed sign-ins of one address.
type Config struct {
	Burst          int           // failures in a row before any wait; at least 1
	RefillInterval time.Duration // after which one more failure is allowed
	MaxAddresses   int           // that are remembered; beyond it those with the fewest failures are evicted
}

// Defaults returns a configuration that lets a person mistype and makes a guesser wait.
func Defaults() Config {
	return Config{Burst: 10, RefillInterval: time.Second, MaxAddresses: 4096}
}

// maxLevelBursts bounds the level of a bucket, in bursts: a guesser can't lock an address out for
// ever.
const maxLevelBursts = 2

// Limiter remembers the failures of addresses, each in a leaky bucket.
type Limiter struct {
	cfg     Config
	buckets map[string]*bucket
}

// bucket holds the failures of an address. It leaks one each Config.RefillInterval.
type bucket struct {
	level    float64
	leakedAt time.Duration
}

// New returns a limiter that remembers nothing.
func New(cfg Config) *Limiter {
	cfg.Burst = max(cfg.Burst, 1)
	cfg.MaxAddresses = max(cfg.MaxAddresses, 1)
	return &Limiter{cfg: cfg, buckets: map[string]*bucket{}}
}

// RetryAfter returns how long an address has to wait before its next attempt; 0: it may try.
func (l *Limiter) RetryAfter(now time.Duration, addr string) time.Duration {
	b := l.buckets[addr]
	if b == nil {
		return 0
	}
	b.leak(now, l.cfg.RefillInterval)
	excess := b.level - float64(l.cfg.Burst) + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(excess * float64(l.cfg.RefillInterval)))
}

// RecordFailure counts a failed sign-in of an address.
func (l *Limiter) RecordFailure(now time.Duration, addr string) {
	b := l.buckets[addr]
	if b == nil {
		if len(l.buckets) >= l.cfg.MaxAddresses {
			l.evict(now)
		}
		b = &bucket{leakedAt: now}
		l.buckets[addr] = b
	}
	b.leak(now, l.cfg.RefillInterval)
	b.level = min(b.level+1, float64(maxLevelBursts*l.cfg.Burst))
}

// Len returns the number of addresses that are remembered.
func (l *Limiter) Len() int { return len(l.buckets) }

// evict removes the addresses whose buckets are empty. Where that is not enough it removes all up to
// the mean level: a flood of addresses must not free the one that guesses.
func (l *Limiter) evict(now time.Duration) {
	sum := 0.0
	for addr, b := range l.buckets {
		b.leak(now, l.cfg.RefillInterval)
		if b.level == 0 {
			delete(l.buckets, addr)
			continue
		}
		sum += b.level
	}
	if len(l.buckets) < l.cfg.MaxAddresses {
		return
	}
	mean := sum / float64(len(l.buckets))
	for addr, b := range l.buckets {
		if b.level <= mean {
			delete(l.buckets, addr)
		}
	}
}

// leak takes out what has leaked since the last call.
func (b *bucket) leak(now, interval time.Duration) {
	if interval > 0 {
		b.level = max(b.level-float64(now-b.leakedAt)/float64(interval), 0)
	} else {
		b.level = 0
	}
	b.leakedAt = now
}
