// Package netio runs the sockets. A poller (nbio) reads into the buffer of each connection on a
// goroutine of its own; everything else happens on the one goroutine that calls Loop.Run, here
// called the loop's goroutine. Each type says which of its methods other goroutines may call.
package netio

import (
	"iter"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"gannetspur/internal/timerqueue"
)

// DefaultBufferBudget is the buffer budget of a new loop, in bytes.
const DefaultBufferBudget = 48 << 20

// maxSleep bounds one sleep of a loop that has no timers.
const maxSleep = time.Hour

// Loop owns the sockets, the timers and the goroutine on which all handlers run. Post,
// BufferedBytes and SetBufferBudget may be called from any goroutine. Before Run, all else is for
// the goroutine that calls it; from then on for the loop's alone.
type Loop struct {
	// Timers run in each iteration in which they are due. They are for the loop's goroutine.
	Timers *timerqueue.Queue

	poller *poller
	work   workQueue

	// For any goroutine.
	bufferBudget  atomic.Int64
	bufferedBytes atomic.Int64

	// For the loop's goroutine.
	clock       clock
	conns       map[*Conn]struct{}
	dials       int // in progress
	descriptors descriptorBudget
	readBuffer  []byte
	stopping    bool
}

// New starts the poller. maxDescriptors is the limit of the process.
func New(maxDescriptors int) (*Loop, error) {
	l := &Loop{
		Timers:     timerqueue.New(),
		work:       workQueue{wake: make(chan struct{}, 1)},
		clock:      newClock(),
		conns:      map[*Conn]struct{}{},
		readBuffer: make([]byte, readSize),
	}
	l.bufferBudget.Store(DefaultBufferBudget)
	var err error
	l.poller, err = newPoller(maxDescriptors)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Run runs iterations until Stop: everything that was posted, then every timer that is due. It
// returns once all connections are closed and the poller has ended, or maxStopWait has passed.
func (l *Loop) Run() {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	for !l.stopping {
		l.work.run()
		l.Timers.RunDue(l.Now())
		wait := l.untilNextTimer()
		if wait <= 0 || l.stopping {
			continue
		}
		timer.Reset(wait)
		select {
		case <-l.work.wake:
		case <-timer.C:
		}
	}
	for c := range l.conns {
		_ = c.socket.Close()
	}
	l.poller.stop()
}

// untilNextTimer returns how long the loop may sleep if nothing is posted.
func (l *Loop) untilNextTimer() time.Duration {
	at, ok := l.Timers.Next()
	if !ok {
		return maxSleep
	}
	return at - l.Now()
}

// Stop ends Run after the present iteration.
func (l *Loop) Stop() { l.stopping = true }

// Post has f called on the loop's goroutine. It may be called from any goroutine.
func (l *Loop) Post(f func()) { l.work.post(f) }

// Now returns the time since the Unix epoch by a clock that never goes back: the system's at the
// start, and monotonic from there.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// AdvanceClock sets the clock to now, unless that is in its past. Two processes of one machine share a
// clock by it.
func (l *Loop) AdvanceClock(now time.Duration) { l.clock.advance(now) }

// SetBufferBudget bounds what the buffers of all connections hold together, in bytes. Past it the
// next connection to take more than one read ends. It may be called from any goroutine.
func (l *Loop) SetBufferBudget(bytes int64) { l.bufferBudget.Store(bytes) }

// BufferedBytes returns what the buffers of all connections hold. It may be called from any goroutine.
func (l *Loop) BufferedBytes() int64 { return l.bufferedBytes.Load() }

// Conns returns the open connections, in no order.
func (l *Loop) Conns() iter.Seq[*Conn] { return maps.Keys(l.conns) }

// ConnCount returns the number of open connections.
func (l *Loop) ConnCount() int { return len(l.conns) }

// workQueue holds the functions that wait for the loop. post and postFirst may be called from any
// goroutine, run from the loop's alone.
type workQueue struct {
	wake chan struct{} // of capacity one

	mu     sync.Mutex
	queue  []func()
	urgent []func() // each waits for one other function at most

	hasUrgent atomic.Bool
	spare     []func() // memory of the last iteration's queue, for the loop's goroutine
}

func (w *workQueue) post(f func()) {
	w.mu.Lock()
	w.queue = append(w.queue, f)
	w.mu.Unlock()
	w.signal()
}

// postFirst has f run before all that post has queued.
func (w *workQueue) postFirst(f func()) {
	w.mu.Lock()
	w.urgent = append(w.urgent, f)
	w.hasUrgent.Store(true)
	w.mu.Unlock()
	w.signal()
}

func (w *workQueue) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // it is awake, or about to be
	}
}

// run runs what was posted before it began, and urgent work in between.
func (w *workQueue) run() {
	w.mu.Lock()
	work := w.queue
	w.queue = w.spare[:0]
	w.mu.Unlock()
	for i, f := range work {
		w.runUrgent()
		f()
		work[i] = nil
	}
	w.spare = work[:0]
	w.runUrgent()
}

func (w *workQueue) runUrgent() {
	if !w.hasUrgent.Load() {
		return
	}
	w.mu.Lock()
	work := w.urgent
	w.urgent = nil
	w.hasUrgent.Store(false)
	w.mu.Unlock()
	for _, f := range work {
		f()
	}
}

// clock is a Unix time that never goes back.
type clock struct {
	origin time.Time     // with a monotonic reading
	unix   time.Duration // the clock's time at origin
}

func newClock() clock {
	now := time.Now()
	return clock{origin: now, unix: time.Duration(now.UnixNano())}
}

func (c *clock) now() time.Duration { return c.unix + time.Since(c.origin) }

func (c *clock) advance(now time.Duration) {
	present := c.now()
	c.origin = time.Now()
	c.unix = max(now, present)
}
