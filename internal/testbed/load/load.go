package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gannetspur/internal/testbed/traffic"

	"gonum.org/v1/gonum/stat/distuv"
)

// Options say what traffic to send to one front.
type Options struct {
	Name        string // in marks and records: a number
	Dial        func(seed uint64) (Client, error)
	Connections int     // that are kept open; each arrival takes one that is free
	Rate        float64 // arrivals a second, Poisson
	Loads       float64 // share of requests that are keyed loads
	Reports     float64 // share that are reports
	Writes      float64 // share that may run once only
	Churn       float64 // share of requests whose connection is closed behind them, and another made
	Within      time.Duration
	Retries     int // of a load that was refused, failed or in doubt, with its key
	// Elsewhere, where given, connects to another gateway, to which some of these go.
	Elsewhere func(seed uint64) (Client, error)
	Seed      uint64
	// Recorded, where given, are the statements of lookups and reports; when they come, and of
	// which class each request is, is then as recorded, at Rate. Loads and writes are the
	// clients' own, whose effects can be told apart. They are played round and round.
	Recorded []traffic.Record
}

// Record is what became of one request.
type Record struct {
	Mark     string
	Kind     Kind
	Due      time.Time // when it arrived, whether a connection was free or not
	End      time.Time
	Verdict  Verdict // the last
	Detail   string
	Attempts []Verdict
}

// Latency is how long its client waited, from its arrival.
func (r *Record) Latency() time.Duration { return r.End.Sub(r.Due) }

// Source sends traffic to one front.
type Source struct {
	opts Options

	mu      sync.Mutex
	free    []Client
	freed   *sync.Cond
	rng     *rand.Rand
	records []Record
	stop    chan struct{}
	stopped sync.Once
	resets  int // connections that ended while nothing was open on them
	dials   uint64
}

// New connects all clients.
func New(opts Options) (*Source, error) {
	s := &Source{stop: make(chan struct{}), opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x6c6f6164))}
	s.freed = sync.NewCond(&s.mu)
	errs := make(chan error, 16)
	per := (opts.Connections + 15) / 16
	for i := range 16 {
		go func() {
			for range max(min(per, opts.Connections-i*per), 0) {
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
	for range 16 {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if n := len(opts.Recorded); n > 0 && first == nil && opts.Recorded[n-1].At <= opts.Recorded[0].At {
		first = errors.New("the recorded traffic has no times, or is too short: it would come all at once")
	}
	if first != nil {
		s.Close()
		return nil, fmt.Errorf("load: %w", first)
	}
	return s, nil
}

func (s *Source) dial() (Client, error) {
	s.mu.Lock()
	s.dials++
	seed := s.dials
	s.mu.Unlock()
	return s.opts.Dial(seed)
}

// Run sends requests until the context ends, and returns once the last is answered.
func (s *Source) Run(ctx context.Context) {
	next := s.drawn()
	if len(s.opts.Recorded) > 0 {
		next = s.recorded()
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

// nextRequest tells the gap before the next request, its kind and its statement.
type nextRequest func() (gap time.Duration, kind Kind, statement *Statement)

// drawn are requests that come by themselves, of kinds by their shares.
func (s *Source) drawn() nextRequest {
	gap := distuv.Exponential{Rate: s.opts.Rate, Src: rand.NewPCG(s.opts.Seed, 1)}
	kinds := rand.New(rand.NewPCG(s.opts.Seed, 2))
	return func() (time.Duration, Kind, *Statement) {
		kind := Lookup
		switch x := kinds.Float64(); {
		case x < s.opts.Loads:
			kind = Load
		case x < s.opts.Loads+s.opts.Writes:
			kind = Write
		case x < s.opts.Loads+s.opts.Writes+s.opts.Reports:
			kind = Report
		}
		return time.Duration(gap.Rand() * float64(time.Second)), kind, nil
	}
}

// recorded are requests as they were recorded, but for their rate.
func (s *Source) recorded() nextRequest {
	all := s.opts.Recorded
	span := float64(all[len(all)-1].At-all[0].At) / 1e6
	slower := float64(len(all)) / span / s.opts.Rate
	n := 0
	return func() (gap time.Duration, kind Kind, statement *Statement) {
		r := &all[n%len(all)]
		if n%len(all) > 0 {
			gap = time.Duration(float64(r.At-all[n%len(all)-1].At) * slower * float64(time.Microsecond))
		}
		n++
		switch r.Class {
		case "load":
			return gap, Load, nil
		case "write":
			return gap, Write, nil
		case "report":
			kind = Report
		default:
			kind = Lookup
		}
		return gap, kind, &Statement{r.Statement, r.Values, r.Formats, r.Types}
	}
}

// perform carries out perform request with its client's retries.
func (s *Source) perform(r *Record, statement *Statement) {
	for try := 0; ; try++ {
		if try > 0 && s.opts.Elsewhere != nil && s.draw() < 0.5 {
			r.Verdict, r.Detail = s.sendElsewhere(r)
		} else {
			r.Verdict, r.Detail = s.attempt(r, statement)
		}
		r.Attempts = append(r.Attempts, r.Verdict)
		r.End = time.Now()
		if r.Kind != Load || try >= s.opts.Retries || r.Verdict != Refused && r.Verdict != Failed && r.Verdict != Ambiguous {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendElsewhere tries again at another gateway.
func (s *Source) sendElsewhere(r *Record) (Verdict, string) {
	c, err := s.opts.Elsewhere(uint64(len(r.Attempts))<<32 | uint64(r.Due.UnixMicro())&0xffffffff)
	if err != nil {
		return Unreachable, err.Error()
	}
	defer c.Close()
	return c.Send(r.Kind, r.Mark, nil, s.opts.Within)
}

func (s *Source) attempt(r *Record, statement *Statement) (Verdict, string) {
	c := s.take()
	v, detail := c.Send(r.Kind, r.Mark, statement, s.opts.Within)
	switch v {
	case Reset, Silent, Corrupt:
		c = s.replace(c)
	default:
		if s.opts.Churn > 0 && s.draw() < s.opts.Churn {
			c = s.replace(c)
		}
	}
	s.give(c)
	return v, detail
}

func (s *Source) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// replace closes a connection and makes another; nil: it could not be made.
func (s *Source) replace(c Client) Client {
	c.Close()
	c, err := s.dial()
	if err != nil {
		return nil
	}
	return c
}

// take takes a free connection, any of them with even chances: all are used now and then.
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

func (s *Source) give(c Client) {
	if c == nil { // the gateway is away; its slot is tried again by whoever takes it
		c = &absent{s}
	}
	s.mu.Lock()
	s.free = append(s.free, c)
	s.mu.Unlock()
	s.freed.Signal()
}

// absent is the place of a connection that could not be made.
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

// Sweep looks at all connections that are free: how many have ended, and how many have an
// answer that nobody asked for.
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

// Stop has Run send nothing more.
func (s *Source) Stop() { s.stopped.Do(func() { close(s.stop) }) }

// Records is what became of all requests so far.
func (s *Source) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Reconnect closes all free connections at once and makes others, as after a fault of a network.
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
