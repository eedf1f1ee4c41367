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
)

const (
	maxSilence   = 2500 * time.Millisecond // the bus sends a heartbeat each second
	dialTimeout  = time.Second
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

var (
	errSilent = errors.New("no frame for too long")
	errClosed = errors.New("connection closed")
)

// Options say which bus is watched.
type Options struct {
	Address   string
	LastEvent uint64 // number of the last event taken; 0: none
	// Zones and Kinds are the lists of the settings that records give indexes into.
	Zones, Kinds []string
}

// Watcher keeps one connection to the bus, and reconnects behind the last event that it took. It
// belongs to the loop's goroutine and starts none of its own.
type Watcher struct {
	loop      *netio.Loop
	address   string
	decoder   recordDecoder
	endpoints endpoint.Updater
	counters  *metrics.Counters
	log       *slog.Logger

	lastEvent  uint64
	conn       *netio.Conn // nil: there is none
	dials      int         // begun
	cancelDial func()      // of the latest; nil: there was none
	retry      *timerqueue.Entry
	backoff    time.Duration // before the next dial
	silence    *timerqueue.Entry
	maxSilence time.Duration
	stopped    bool
}

// New returns a watcher that goes on after the last event of the options, once it is started.
func New(loop *netio.Loop, opts Options, endpoints endpoint.Updater, counters *metrics.Counters, log *slog.Logger) *Watcher {
	return &Watcher{
		loop: loop, address: opts.Address, decoder: recordDecoder{zones: opts.Zones, kinds: opts.Kinds},
		endpoints: endpoints, counters: counters, log: log,
		lastEvent: opts.LastEvent, backoff: firstBackoff, maxSilence: maxSilence,
	}
}

// LastEvent is the number of the last event taken.
func (w *Watcher) LastEvent() uint64 { return w.lastEvent }

// Start connects, and again whenever the connection ends or falls silent, until Stop.
func (w *Watcher) Start() {
	w.dials++
	dial := w.dials
	w.cancelDial = w.loop.DialReserved(w.address, dialTimeout, maxFrame+lengthSize, w, func(c *netio.Conn, err error) {
		w.dialed(dial, c, err)
	})
}

// dialed takes the end of a dial.
func (w *Watcher) dialed(dial int, c *netio.Conn, err error) {
	superseded := w.stopped || dial != w.dials
	switch {
	case superseded && err != nil:
	case superseded:
		c.Close()
	case err != nil:
		w.reconnectLater(fmt.Errorf("connect: %w", err))
	default:
		w.conn = c
		c.Write(binary.BigEndian.AppendUint64(nil, w.lastEvent))
		w.expectFrame()
	}
}

// SwitchTo goes over to the bus at another address, behind the last event taken. Where the address
// is the same it reconnects only if it is not connected.
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

// Stop ends the connection for good.
func (w *Watcher) Stop() {
	w.stopped = true
	w.disconnect()
}

// disconnect lets go of the present bus: its connection, its dial and the next retry.
func (w *Watcher) disconnect() {
	w.silence.Stop()
	w.retry.Stop()
	if w.cancelDial != nil {
		w.cancelDial()
	}
	w.closeConn()
}

func (w *Watcher) closeConn() {
	c := w.conn
	if c == nil {
		return
	}
	w.conn = nil // before Close, which may call Closed
	c.Close()
}

// expectFrame restarts the wait for the next frame. Guards against a bus that vanishes without
// closing: its connection would stay open forever.
func (w *Watcher) expectFrame() {
	w.silence.Stop()
	w.silence = w.loop.Timers.Add(w.loop.Now()+w.maxSilence, func() {
		if w.conn != nil {
			w.fail(errSilent)
		}
	})
}

// fail ends the connection and has another one follow.
func (w *Watcher) fail(err error) {
	w.closeConn()
	w.reconnectLater(err)
}

func (w *Watcher) reconnectLater(err error) {
	w.silence.Stop()
	if w.stopped {
		return
	}
	w.counters.Add("bus.reconnects")
	w.log.Warn("bus.lost", "bus", w.address, "error", err, "retry_in", w.backoff)
	w.retry = w.loop.Timers.Add(w.loop.Now()+w.backoff, w.Start)
	w.backoff = min(2*w.backoff, maxBackoff)
}

// Data takes the frames that are complete. It is netio's call.
func (w *Watcher) Data(c *netio.Conn, in *netio.Buffer) {
	for c == w.conn {
		f, size, err := parseFrame(in.Bytes())
		if err == nil && size > 0 {
			err = w.takeFrame(f)
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

// Closed reconnects. It is netio's call.
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

// takeFrame takes one frame: a heartbeat, or an event, which it skips if it was taken before.
func (w *Watcher) takeFrame(f frame) error {
	w.backoff = firstBackoff
	w.expectFrame()
	mode, err := f.kind.listMode()
	if err != nil {
		return err
	}
	if f.kind == kindHeartbeat || f.number <= w.lastEvent {
		return nil
	}
	engines, err := w.decoder.decode(f.payload)
	if err != nil {
		return fmt.Errorf("event %d: %w", f.number, err)
	}
	w.lastEvent = f.number
	w.counters.Add("bus.events")
	w.endpoints.UpdateEndpoints(mode, engines)
	return nil
}
