package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gannetspur/internal/testbed/traffic"
)

// Options configure the traffic to one frontend.
type Options struct {
	Name        string                            // number of the source, part of the marks of its requests
	Dial        func(seed uint64) (Client, error) // opens a connection; seeds count from 1
	Connections int                               // number of connections kept open; each arrival takes a free one
	Rate        float64                           // arrivals per second on average; Poisson unless recorded
	Loads       float64                           // fraction of requests that are loads with an idempotency key
	Reports     float64                           // fraction of requests that are reports
	Writes      float64                           // fraction of requests that are writes without an idempotency key
	Churn       float64                           // fraction of requests after which the connection is replaced
	Within      time.Duration                     // deadline of a request
	Retries     int                               // retries, with the same key, of a load that was refused, failed or is ambiguous; 0: none
	// Elsewhere, if not nil, connects to another gateway, which gets half of the retries.
	Elsewhere func(seed uint64) (Client, error)
	Seed      uint64 // of the random choices
	// Recorded, if not empty, supplies the statements of lookups and reports. Arrivals and classes
	// of requests then follow the recording, scaled to Rate and repeated without end. Loads and
	// writes still send the clients' own statements, whose effects carry the mark and can be
	// told apart.
	Recorded []traffic.Record
}

// Record is the outcome of one request.
type Record struct {
	Mark     string // identifies the request: its kind, the source's name and a number
	Kind     Kind
	Due      time.Time // when the request arrived, even if no connection was free
	End      time.Time // when the latest attempt ended
	Verdict  Verdict   // of the latest attempt
	Detail   string    // describes an unsuccessful verdict
	Attempts []Verdict // of all attempts, in order
}

// Latency returns how long the client waited since the arrival, the wait for a connection and
// retries included.
func (r *Record) Latency() time.Duration { return r.End.Sub(r.Due) }

// Source sends traffic to one frontend.
type Source struct {
	opts Options

	mu      sync.Mutex // guards free, rng, records and dials
	free    []Client   // connections that no request uses
	freed   *sync.Cond // signaled when a connection becomes free
	rng     *rand.Rand
	records []Record
	stop    chan struct{}
	stopped sync.Once
	dials   uint64 // connections dialed so far; the seed of the latest
}

// dialers is how many goroutines connect the clients.
const dialers = 16

// New opens all connections. It returns an error if one fails.
func New(opts Options) (*Source, error) {
	s := &Source{stop: make(chan struct{}), opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x6c6f6164))}
	s.freed = sync.NewCond(&s.mu)
	errs := make(chan error, dialers)
	share := (opts.Connections + dialers - 1) / dialers
	for i := range dialers {
		go func() {
			for range max(min(share, opts.Connections-i*share), 0) {
				c, err := s.dial()
				if err != nil {
					errs <- err
					return
				}
				s.mu.Lock()
				s.free = append(s.free, c)
				s.mu.Unlock()
			}
			errs <- nil
		}()
	}
	var first error
	for range dialers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if n := len(opts.Recorded); n > 0 && first == nil && opts.Recorded[n-1].At <= opts.Recorded[0].At {
		first = errors.New("the recorded traffic spans no time, so all requests would arrive at once; record more than one statement, with arrival times")
	}
	if first != nil {
		s.Close()
		return nil, fmt.Errorf("load: %w", first)
	}
	return s, nil
}

// dial opens a connection with the next seed.
func (s *Source) dial() (Client, error) {
	s.mu.Lock()
	s.dials++
	seed := s.dials
	s.mu.Unlock()
	return s.opts.Dial(seed)
}

// Run sends requests until the context ends or Stop is called, and returns once all requests have
// ended.
func (s *Source) Run(ctx context.Context) {
	next := s.poissonRequests()
	if len(s.opts.Recorded) > 0 {
		next = s.recordedRequests()
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	due := time.Now()
	for n := 0; ; n++ {
		gap, kind, statement := next()
		due = due.Add(gap)
		t := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-s.stop:
			t.Stop()
			return
		case <-t.C:
		}
		r := Record{Mark: fmt.Sprintf("%c-%s-%d", kind, s.opts.Name, n), Kind: kind, Due: due}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.perform(&r, statement)
			s.mu.Lock()
			s.records = append(s.records, r)
			s.mu.Unlock()
		}()
	}
}

// elsewhereFraction is the fraction of retries that go to the other gateway, if there is one.
const elsewhereFraction = 0.5

// retryDelay is the pause before a retry.
const retryDelay = 100 * time.Millisecond

// retryable reports whether a client retries after the verdict.
func (v Verdict) retryable() bool { return v == Refused || v == Failed || v == Ambiguous }

// perform sends one request, retries it if it is a load, and fills in its record.
func (s *Source) perform(r *Record, statement *Statement) {
	for retries := 0; ; retries++ {
		if retries > 0 && s.opts.Elsewhere != nil && s.draw() < elsewhereFraction {
			r.Verdict, r.Detail = s.sendElsewhere(r)
		} else {
			r.Verdict, r.Detail = s.attempt(r, statement)
		}
		r.Attempts = append(r.Attempts, r.Verdict)
		r.End = time.Now()
		if r.Kind != Load || retries >= s.opts.Retries || !r.Verdict.retryable() {
			return
		}
		time.Sleep(retryDelay)
	}
}

// sendElsewhere sends a retry to another gateway, on a connection of its own.
func (s *Source) sendElsewhere(r *Record) (Verdict, string) {
	c, err := s.opts.Elsewhere(uint64(len(r.Attempts))<<32 | uint64(r.Due.UnixMicro())&0xffffffff)
	if err != nil {
		return Unreachable, err.Error()
	}
	defer c.Close()
	return c.Send(r.Kind, r.Mark, nil, s.opts.Within)
}

// attempt sends a request on a free connection, and replaces the connection if it is unusable or
// churn requires it.
func (s *Source) attempt(r *Record, statement *Statement) (Verdict, string) {
	c := s.acquire()
	v, detail := c.Send(r.Kind, r.Mark, statement, s.opts.Within)
	switch v {
	case Reset, Silent, Corrupt:
		c = s.replace(c)
	default:
		if s.opts.Churn > 0 && s.draw() < s.opts.Churn {
			c = s.replace(c)
		}
	}
	s.release(c)
	return v, detail
}

// draw returns a random number in [0, 1).
func (s *Source) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// Stop makes Run send no more requests. It may be called more than once.
func (s *Source) Stop() { s.stopped.Do(func() { close(s.stop) }) }

// Records returns the outcomes of all requests that have ended so far.
func (s *Source) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}
