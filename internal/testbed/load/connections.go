package load

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// replace closes a connection and opens another. It returns nil if the new connection fails.
func (s *Source) replace(c Client) Client {
	c.Close()
	c, err := s.dial()
	if err != nil {
		return nil
	}
	return c
}

// acquire waits for a free connection and takes one at random, so that every connection is used from
// time to time.
func (s *Source) acquire() Client {
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

// release makes a connection free again. nil stands for a connection that could not be opened.
func (s *Source) release(c Client) {
	if c == nil { // the gateway is unreachable: the next request that gets this slot dials again
		c = &disconnected{s}
	}
	s.mu.Lock()
	s.free = append(s.free, c)
	s.mu.Unlock()
	s.freed.Signal()
}

// disconnected takes the place of a connection that could not be opened. It dials for each request.
type disconnected struct{ s *Source }

func (a *disconnected) Send(k Kind, mark string, statement *Statement, within time.Duration) (Verdict, string) {
	c, err := a.s.dial()
	if err != nil {
		return Unreachable, err.Error()
	}
	v, d := c.Send(k, mark, statement, within)
	c.Close() // the next request dials again
	return v, d
}
func (a *disconnected) Idle() Verdict { return Served }
func (a *disconnected) Close()        {}

// Sweep checks all free connections. It returns how many have ended, and how many have received input
// that answers no request.
func (s *Source) Sweep() (ended, unexpected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.free {
		switch c.Idle() {
		case Reset:
			ended++
		case Corrupt:
			unexpected++
		}
	}
	return ended, unexpected
}

// Reconnect closes all free connections and opens as many at once, as clients do after a network
// fault. It returns an error if some cannot be opened; the next requests dial those again.
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
			s.release(c)
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return fmt.Errorf("load: %d of %d connections could not be opened again; check that the gateway accepts connections", n, len(all))
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
