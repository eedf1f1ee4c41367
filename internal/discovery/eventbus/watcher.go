// Package eventbus watches the platform's event bus, which reports changes to the endpoint list.
package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"gannetspur/internal/discovery/endpoint"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

const (
	maxSilence   = 2500 * time.Millisecond // time without a frame until reconnecting; the bus sends a heartbeat each second
	dialTimeout  = time.Second
	firstBackoff = 50 * time.Millisecond // delay before the first retry, doubled before each further one
	maxBackoff   = time.Second
)

var (
	errSilent = errors.New("no frame received within the time limit")
	errClosed = errors.New("connection closed by the event bus")
	// errRenumbered means that the event bus has begun to number its events anew: it is another one than before.
	errRenumbered = errors.New("the event bus numbers its events anew")
)

// Options select the event bus to watch and the event to start after.
type Options struct {
	Address   string // HOST:PORT
	LastEvent uint64 // number of the last event applied; 0 for none
	// Zones and Kinds are the lists of the settings that records refer to by index.
	Zones, Kinds []string
}

// Watcher keeps one connection to the event bus and applies its events to the endpoint list. After a
// reconnect it resumes after the last event applied. It belongs to the loop's goroutine and starts none
// itself.
type Watcher struct {
	loop      *netio.Loop
	address   string
	decoder   recordDecoder
	endpoints endpoint.Updater
	counters  *metrics.Counters
	log       *slog.Logger

	lastEvent    uint64            // number of the last event applied
	conn         *netio.Conn       // nil while not connected
	awaitsEvent  bool              // no event was received on conn yet
	isLost       bool              // no frame was received since the latest connection ended
	heardAt      time.Duration     // time of the latest frame, or of New
	dialCount    int               // number of dials started, which identifies the latest
	cancelDial   func()            // cancels the latest dial; nil before the first
	retryTimer   *timerqueue.Timer // starts the next dial; nil before the first retry
	backoff      time.Duration     // delay before the next retry
	silenceTimer *timerqueue.Timer // ends a connection without frames; nil before the first connection
	maxSilence   time.Duration     // the constant maxSilence, except in tests
	stopped      bool              // Stop was called
}

// New returns a watcher that resumes after the last event of the options once it is started.
func New(loop *netio.Loop, opts Options, endpoints endpoint.Updater, counters *metrics.Counters, log *slog.Logger) *Watcher {
	return &Watcher{
		loop: loop, address: opts.Address, decoder: recordDecoder{zones: opts.Zones, kinds: opts.Kinds},
		endpoints: endpoints, counters: counters, log: log,
		lastEvent: opts.LastEvent, heardAt: loop.Now(), backoff: firstBackoff, maxSilence: maxSilence,
	}
}

// LastEvent returns the number of the last event applied, or 0 if there is none.
func (w *Watcher) LastEvent() uint64 { return w.lastEvent }

// Start connects, and reconnects whenever the connection ends or is silent for too long, until Stop.
func (w *Watcher) Start() {
	w.dialCount++
	dial := w.dialCount
	w.cancelDial = w.loop.DialReserved(w.address, dialTimeout, maxFrameLength+lengthSize, w, func(c *netio.Conn, err error) {
		w.handleDial(dial, c, err)
	})
}

// handleDial handles the result of a dial. The connection of a superseded dial is closed.
func (w *Watcher) handleDial(dial int, c *netio.Conn, err error) {
	superseded := w.stopped || dial != w.dialCount
	switch {
	case superseded && err != nil:
	case superseded:
		c.Close()
	case err != nil:
		w.reconnectLater(fmt.Errorf("connect: %w", err))
	default:
		w.conn = c
		w.awaitsEvent = true
		c.Write(binary.BigEndian.AppendUint64(nil, w.lastEvent))
		w.resetSilenceTimer()
	}
}

// SwitchTo connects to the event bus at another address and resumes after the last event applied. If
// the address is unchanged, it reconnects only if there is no connection.
func (w *Watcher) SwitchTo(address string) {
	if w.stopped || address == w.address && w.conn != nil {
		return
	}
	w.log.Info("bus.moving", "from", w.address, "to", address, "after", w.lastEvent)
	w.disconnect()
	w.address = address
	w.backoff = firstBackoff
	w.Start()
}

// Stop ends the connection and prevents any other.
func (w *Watcher) Stop() {
	w.stopped = true
	w.disconnect()
}

// disconnect ends the connection, the dial in progress and the timers.
func (w *Watcher) disconnect() {
	w.silenceTimer.Stop()
	w.retryTimer.Stop()
	if w.cancelDial != nil {
		w.cancelDial()
	}
	w.closeConn()
}

// closeConn closes the connection, if there is one, without a reconnect.
func (w *Watcher) closeConn() {
	c := w.conn
	if c == nil {
		return
	}
	w.conn = nil // reset before Close, which may call Closed
	c.Close()
}

// resetSilenceTimer restarts the wait for the next frame. Without it, the connection to a bus that
// disappears without closing it would stay open forever.
func (w *Watcher) resetSilenceTimer() {
	w.silenceTimer.Stop()
	w.silenceTimer = w.loop.Timers.Add(w.loop.Now()+w.maxSilence, func() {
		if w.conn != nil {
			w.fail(errSilent)
		}
	})
}

// fail ends the connection and schedules a reconnect.
func (w *Watcher) fail(err error) {
	w.closeConn()
	w.reconnectLater(err)
}

// reconnectLater logs the error and schedules a dial after the backoff, which it doubles up to
// maxBackoff.
func (w *Watcher) reconnectLater(err error) {
	w.silenceTimer.Stop()
	if w.stopped {
		return
	}
	w.counters.Inc("bus.reconnects")
	w.isLost = true
	w.endpoints.EndpointsUnavailable(w.loop.Now() - w.heardAt)
	w.log.Warn("bus.lost", "bus", w.address, "error", err, "retry_in", w.backoff)
	w.retryTimer = w.loop.Timers.Add(w.loop.Now()+w.backoff, w.Start)
	w.backoff = min(2*w.backoff, maxBackoff)
}

// Data handles all complete frames in the buffer. It implements netio.Handler.
func (w *Watcher) Data(c *netio.Conn, in *netio.Buffer) {
	for c == w.conn {
		f, size, err := parseFrame(in.Bytes())
		if err == nil && size > 0 {
			err = w.handleFrame(f)
			in.Consume(size)
		}
		if err != nil {
			w.fail(err)
			return
		}
		if size == 0 {
			return
		}
	}
}

// Closed schedules a reconnect if the current connection has ended. It implements netio.Handler.
func (w *Watcher) Closed(c *netio.Conn, err error) {
	if c != w.conn {
		return
	}
	w.conn = nil
	if err == nil {
		err = errClosed
	}
	w.reconnectLater(err)
}

// restartNumbering handles a first event on a connection that comes before the number that was asked for: another event
// bus has taken the address of the former one. Its events apply from a complete list on. If the event is not one, the
// returned error ends the connection, and the next one asks for all events.
func (w *Watcher) restartNumbering(mode policy.ListMode) error {
	w.counters.Inc("bus.renumbered")
	w.log.Warn("bus.renumbered", "bus", w.address, "after", w.lastEvent)
	w.lastEvent = 0
	if mode != policy.ListFull {
		return errRenumbered
	}
	return nil
}

// handleFrame applies a frame, and reports the list as up to date if it is the first frame since the list was lost: the
// bus sends the events that were missed in it.
func (w *Watcher) handleFrame(f frame) error {
	w.heardAt = w.loop.Now()
	if err := w.applyFrame(f); err != nil {
		return err
	}
	if w.isLost {
		w.isLost = false
		w.endpoints.EndpointsCurrent()
	}
	return nil
}

// applyFrame handles a heartbeat or applies an event. An event that was applied before is skipped.
func (w *Watcher) applyFrame(f frame) error {
	w.backoff = firstBackoff
	w.resetSilenceTimer()
	mode, err := f.kind.listMode()
	if err != nil {
		return err
	}
	if f.kind == kindHeartbeat {
		return nil
	}
	isFirst := w.awaitsEvent
	w.awaitsEvent = false
	if isFirst && f.number < w.lastEvent {
		if err := w.restartNumbering(mode); err != nil {
			return err
		}
	}
	if f.number <= w.lastEvent {
		return nil
	}
	engines, err := w.decoder.decode(f.payload)
	if err != nil {
		return fmt.Errorf("event %d: %w", f.number, err)
	}
	w.lastEvent = f.number
	w.counters.Inc("bus.events")
	w.endpoints.UpdateEndpoints(mode, engines)
	return nil
}
