// Package loginlimit limits the rate of failed sign-ins per client address. It does no I/O and reads no
// clock: callers pass the current time as a duration since an origin that they choose.
package loginlimit

import (
	"math"
	"time"
)

// Config sets the limits. New raises Burst and MaxAddresses to at least 1.
type Config struct {
	Burst          int           // number of failures in quick succession that are allowed without a wait
	RefillInterval time.Duration // time after which one more failure is allowed; 0 means no limit
	MaxAddresses   int           // number of addresses remembered; beyond it those with the fewest failures are evicted
}

// Defaults returns a configuration that allows for typing errors and slows down password guessing.
func Defaults() Config {
	return Config{Burst: 10, RefillInterval: time.Second, MaxAddresses: 4096}
}

// maxLevelBursts bounds the level of a bucket, in multiples of Config.Burst, so that password guessing
// can't lock out an address for an unbounded time.
const maxLevelBursts = 2

// Limiter counts the failed sign-ins of each address in a leaky bucket. Create it with New.
type Limiter struct {
	cfg     Config
	buckets map[string]*bucket // by address
}

// bucket is the leaky bucket of an address. One failure leaks out in each Config.RefillInterval.
type bucket struct {
	level    float64       // number of failures that have not leaked out
	leakedAt time.Duration // when level was last updated for the leak
}

// New returns a limiter without any recorded failures.
func New(cfg Config) *Limiter {
	cfg.Burst = max(cfg.Burst, 1)
	cfg.MaxAddresses = max(cfg.MaxAddresses, 1)
	return &Limiter{cfg: cfg, buckets: map[string]*bucket{}}
}

// RetryAfter returns how long an address has to wait before its next attempt; 0 means that it may try
// now.
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

// RecordFailure counts a failed sign-in from an address.
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

// evict removes the addresses with empty buckets. If that doesn't make room, it also removes those with a
// level up to the mean. Addresses with many failures stay, so that a flood of other addresses doesn't
// lift the limit for an address that guesses passwords.
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

// leak lowers the level by what has leaked out since the last call. Without an interval it empties the
// bucket.
func (b *bucket) leak(now, interval time.Duration) {
	if interval > 0 {
		b.level = max(b.level-float64(now-b.leakedAt)/float64(interval), 0)
	} else {
		b.level = 0
	}
	b.leakedAt = now
}
