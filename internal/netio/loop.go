// Package netio provides the event loop and its sockets. A poller (nbio) reads into the buffer of each
// connection on a goroutine of its own; everything else happens on the one goroutine that calls Loop.Run,
// called the loop's goroutine here. The comment of each type says which of its methods other goroutines
// may call.
package netio

import (
	"iter"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"gannetspur/internal/timerqueue"
)

// DefaultBufferBudget is the buffer budget of a new loop, in bytes, see Loop.SetBufferBudget.
const DefaultBufferBudget = 48 << 20

// maxSleep bounds how long a loop without timers sleeps at once.
const maxSleep = time.Hour

// Loop owns the sockets, the timers and the goroutine on which all handlers run. Post,
// BufferedBytes, UnsentBytes, SetBufferBudget and SetWriteBudget may be called from any goroutine. All other methods may be called before
// Run by the goroutine that will call it, and from then on only on the loop's goroutine.
type Loop struct {
	// Timers holds the loop's timers; each iteration runs those that are due. It may be used only on the
	// loop's goroutine.
	Timers *timerqueue.Queue

	poller *poller
	work   workQueue

	// Used on any goroutine.
	input  memoryBudget // bytes that were received and not consumed, see SetBufferBudget
	output memoryBudget // bytes that wait to be sent, see SetWriteBudget

	// Used only on the loop's goroutine.
	clock       clock
	conns       map[*Conn]struct{}
	dials       int // number of dials in progress
	descriptors descriptorBudget
	readBuffer  []byte // scratch memory for reads on the loop's goroutine
	stopping    bool
	// closedForMemory counts the connections that were closed because the buffers exceeded a budget.
	closedForMemory int64
	longestTurn     time.Duration // see LongestTurn
}

// New returns a loop and starts its poller. maxDescriptors is the process's descriptor limit; 0 keeps nbio's
// default size of its table of connections.
func New(maxDescriptors int) (*Loop, error) {
	l := &Loop{
		Timers:     timerqueue.New(),
		work:       workQueue{wake: make(chan struct{}, 1)},
		clock:      newClock(),
		conns:      map[*Conn]struct{}{},
		readBuffer: make([]byte, readSize),
	}
	l.SetBufferBudget(DefaultBufferBudget)
	l.SetWriteBudget(DefaultWriteBudget)
	var err error
	l.poller, err = newPoller(maxDescriptors)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Run runs iterations until Stop is called. Each one runs everything that was posted, then every timer that is
// due. After the last, Run closes all connections and returns once the poller has ended or maxStopWait has
// passed.
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

// untilNextTimer returns how long the loop may sleep if nothing is posted; it is not positive if a timer is due.
func (l *Loop) untilNextTimer() time.Duration {
	at, ok := l.Timers.Next()
	if !ok {
		return maxSleep
	}
	return at - l.Now()
}

// Stop ends Run after the current iteration.
func (l *Loop) Stop() { l.stopping = true }

// Post queues f to be called on the loop's goroutine. It may be called from any goroutine.
func (l *Loop) Post(f func()) { l.work.post(f) }

// Now returns the time since the Unix epoch by a clock that starts at the system's time and is monotonic from then
// on, apart from AdoptClock.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// AdoptClock sets the clock to now and shifts all timers by as much. It lets a process that starts share the clock of
// another one of its machine, also if the system's time was stepped in between.
func (l *Loop) AdoptClock(now time.Duration) {
	l.Timers.Shift(now - l.Now())
	l.clock.set(now)
}

// SetBufferBudget bounds the received bytes that the buffers of all connections hold together. Once the budget is
// exceeded, connections that hold more than smallBuffer are not read until there is room, and some are closed, see
// Reclaimable and compareHolders. It may be called from any goroutine.
func (l *Loop) SetBufferBudget(bytes int64) { l.input.limit.Store(bytes) }

// BufferedBytes returns the number of received bytes that the buffers of all connections hold. It may be called from any goroutine.
func (l *Loop) BufferedBytes() int64 { return l.input.used.Load() }

// Conns returns the open connections, in no particular order.
func (l *Loop) Conns() iter.Seq[*Conn] { return maps.Keys(l.conns) }

// ConnCount returns the number of open connections.
func (l *Loop) ConnCount() int { return len(l.conns) }

// workQueue holds the functions that wait to be run on the loop's goroutine. post and postFirst may be called
// from any goroutine, run only from the loop's.
type workQueue struct {
	wake chan struct{} // of capacity one; has an element if there is new work

	mu     sync.Mutex
	queue  []func()
	urgent []func() // run before the next function of queue

	hasUrgent atomic.Bool // urgent is not empty
	spare     []func()    // the last iteration's queue, emptied for reuse; only for the loop's goroutine
}

// post queues f after all other functions.
func (w *workQueue) post(f func()) {
	w.mu.Lock()
	w.queue = append(w.queue, f)
	w.mu.Unlock()
	w.signal()
}

// postFirst queues f as urgent work, which runs before all functions that post has queued. Of those, it waits for
// at most the one that is running.
func (w *workQueue) postFirst(f func()) {
	w.mu.Lock()
	w.urgent = append(w.urgent, f)
	w.hasUrgent.Store(true)
	w.mu.Unlock()
	w.signal()
}

// signal wakes the loop.
func (w *workQueue) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// run runs the functions that were posted before it began, and before each of them and at the end the urgent
// ones.
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

// runUrgent runs the urgent functions posted so far.
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

// clock is a monotonic clock that starts at a Unix time.
type clock struct {
	origin time.Time     // with a monotonic reading
	unix   time.Duration // the clock's time at origin
}

func newClock() clock {
	now := time.Now()
	return clock{origin: now, unix: time.Duration(now.UnixNano())}
}

// now returns the time since the Unix epoch.
func (c *clock) now() time.Duration { return c.unix + time.Since(c.origin) }

// set sets the clock to now.
func (c *clock) set(now time.Duration) {
	c.origin = time.Now()
	c.unix = now
}
