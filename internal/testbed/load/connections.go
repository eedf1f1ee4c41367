package load

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// replace closes a connection and makes another. It returns nil if that fails.
func (s *Source) replace(c Client) Client {
	c.Close()
	c, err := s.dial()
	if err != nil {
		return nil
	}
	return c
}

// take takes a free connection at random, so that all are used now and then.
func (s *Source) take() Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.free) == 0 {
		s.freed.Wait()
	}
	i := s.rng.IntN(len(s.free))
	c := s.free[i]
	last := len(s.free) - 1
	s.free[i] = s.free[last]
	s.free = s.free[:last]
	return c
}

// give returns a connection; nil stands for one that could not be made.
func (s *Source) give(c Client) {
	if c == nil { // the gateway is down; the next request on this slot dials again
		c = &absent{s}
	}
	s.mu.Lock()
	s.free = append(s.free, c)
	s.mu.Unlock()
	s.freed.Signal()
}

// absent takes the place of a connection that could not be made.
type absent struct{ s *Source }

func (a *absent) Send(k Kind, mark string, statement *Statement, within time.Duration) (Verdict, string) {
	c, err := a.s.dial()
	if err != nil {
		return Unreachable, err.Error()
	}
	v, d := c.Send(k, mark, statement, within)
	c.Close() // the next one connects anew
	return v, d
}
func (a *absent) Idle() Verdict { return Served }
func (a *absent) Close()        {}

// Sweep checks all free connections: how many have ended, and how many have received an answer
// to no request.
func (s *Source) Sweep() (ended, unasked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.free {
		switch c.Idle() {
		case Reset:
			ended++
		case Corrupt:
			unasked++
		}
	}
	return ended, unasked
}

// Reconnect replaces all free connections at once, as after a network fault.
func (s *Source) Reconnect() error {
	s.mu.Lock()
	all := s.free
	s.free = nil
	s.mu.Unlock()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, c := range all {
		c.Close()
	}
	for range all {
		wg.Go(func() {
			c, err := s.dial()
			if err != nil {
				failed.Add(1)
				c = nil
			}
			s.give(c)
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return fmt.Errorf("load: %d of %d clients could not connect again", n, len(all))
	}
	return nil
}

// Close closes all free connections.
func (s *Source) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.free {
		c.Close()
	}
	s.free = nil
}
