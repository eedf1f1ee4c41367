// Package login decides how often an address may try to log in. No I/O, no clock: instants are
// the caller's, of one origin.
package loginlimit

import (
	"math"
	"time"
)

// Config bounds failed logins of one address.
type Config struct {
	Burst int           // in a row, before any wait; at least 1
	Every time.Duration // one more is allowed after this
	Most  int           // addresses that are remembered; past it the ones that have failed least are forgotten
}

// Defaults let a person mistype and a guesser wait.
func Defaults() Config { return Config{Burst: 10, Every: time.Second, Most: 4096} }

// Throttle remembers the failures of addresses, as a bucket that leaks (one every Config.Every). Its
// zero value is not ready: see New.
type Throttle struct {
	cfg Config
	by  map[string]*bucket
}

type bucket struct {
	level float64 // failures
	at    time.Duration
}

// New returns a throttle that remembers nothing.
func New(cfg Config) *Throttle {
	cfg.Burst, cfg.Most = max(cfg.Burst, 1), max(cfg.Most, 1)
	return &Throttle{cfg: cfg, by: map[string]*bucket{}}
}

func (t *Throttle) leak(b *bucket, now time.Duration) {
	if t.cfg.Every > 0 {
		b.level = max(b.level-float64(now-b.at)/float64(t.cfg.Every), 0)
	} else {
		b.level = 0
	}
	b.at = now
}

// Wait is how long an address has to wait before its next try; 0: it may try.
func (t *Throttle) Wait(now time.Duration, addr string) time.Duration {
	b := t.by[addr]
	if b == nil {
		return 0
	}
	t.leak(b, now)
	over := b.level - float64(t.cfg.Burst) + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(over * float64(t.cfg.Every)))
}

// Failed counts a failure of an address.
func (t *Throttle) Failed(now time.Duration, addr string) {
	b := t.by[addr]
	if b == nil {
		if len(t.by) >= t.cfg.Most {
			t.forget(now)
		}
		b = &bucket{at: now}
		t.by[addr] = b
	}
	t.leak(b, now)
	b.level = min(b.level+1, float64(2*t.cfg.Burst)) // a guesser can't lock an address out for ever
}

// forget drops what has leaked away, and else all that is below the mean: a flood of
// addresses must not free the one that guesses.
func (t *Throttle) forget(now time.Duration) {
	sum := 0.0
	for addr, b := range t.by {
		if t.leak(b, now); b.level == 0 {
			delete(t.by, addr)
			continue
		}
		sum += b.level
	}
	if len(t.by) < t.cfg.Most {
		return
	}
	mean := sum / float64(len(t.by))
	for addr, b := range t.by {
		if b.level <= mean {
			delete(t.by, addr)
		}
	}
}

// Len is the number of addresses that are remembered.
func (t *Throttle) Len() int { return len(t.by) }
