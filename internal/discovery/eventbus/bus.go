// Package bus follows the platform's event bus, which tells of changes to the
// list of engines.
package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

const (
	recordLen  = 27
	maxFrame   = 1 << 20
	headerLen  = 4
	maxSilence = 2500 * time.Millisecond // an empty frame comes each second
	dialWithin = time.Second
	firstPause = 50 * time.Millisecond
	mostPause  = time.Second
)

// EndpointUpdater is what is told of the engines.
type EndpointUpdater interface {
	UpdateEndpoints(mode policy.ListMode, engines []core.Engine)
}

// Follower keeps one connection to the bus.
type Follower struct {
	loop   *netio.Loop
	addr   string
	last   uint64 // number of the last event taken
	zones  []string
	kinds  []string
	roster EndpointUpdater
	stats  *metrics.Counters
	log    *slog.Logger

	conn    *netio.Conn
	dialing func() // gives the latest dial up
	tries   int    // dials begun
	retry   *timerqueue.Entry
	silence *timerqueue.Entry
	quiet   time.Duration // the most between two frames
	pause   time.Duration
	stopped bool
}

// New returns a follower that goes on after the event numbered last. Zones and
// kinds are the lists of the settings that records give places in.
func New(loop *netio.Loop, addr string, last uint64, zones, kinds []string, r EndpointUpdater, counters *metrics.Counters, l *slog.Logger) *Follower {
	return &Follower{
		loop: loop, addr: addr, last: last, zones: zones, kinds: kinds,
		roster: r, stats: counters, log: l, quiet: maxSilence, pause: firstPause,
	}
}

// Last is the number of the last event taken.
func (f *Follower) Last() uint64 { return f.last }

// Start connects, and again whenever the connection ends or falls silent.
func (f *Follower) Start() {
	f.tries++
	try := f.tries
	f.dialing = f.loop.DialReserved(f.addr, dialWithin, maxFrame+headerLen, f, func(c *netio.Conn, err error) {
		switch {
		case f.stopped || try != f.tries: // another dial is under way, or none is wanted
			if err == nil {
				c.Close()
			}
			return
		case err != nil:
			f.again(fmt.Errorf("connect: %w", err))
			return
		}
		f.conn = c
		c.Write(binary.BigEndian.AppendUint64(nil, f.last))
		f.listen()
	})
}

// Move goes over to the bus at another address, which goes on after the last event
// taken. Where the address is the same, it connects anew only if it isn't connected.
func (f *Follower) Move(addr string) {
	if f.stopped || addr == f.addr && f.conn != nil {
		return
	}
	f.log.Info("bus.moving", "from", f.addr, "to", addr, "after", f.last)
	f.leave()
	f.addr, f.pause = addr, firstPause
	f.Start()
}

// Stop ends the following.
func (f *Follower) Stop() {
	f.stopped = true
	f.leave()
}

// leave lets go of the present bus: its connection, its dial and the next try.
func (f *Follower) leave() {
	f.silence.Stop()
	f.retry.Stop()
	if f.dialing != nil {
		f.dialing()
	}
	if c := f.conn; c != nil {
		f.conn = nil
		c.Close()
	}
}

// listen waits for the next frame. Guards against a bus that vanishes without a
// word: its connection would stay open for ever.
func (f *Follower) listen() {
	f.silence.Stop()
	f.silence = f.loop.Timers.Add(f.loop.Now()+f.quiet, func() {
		if f.conn != nil {
			f.drop(errors.New("no frame for too long"))
		}
	})
}

func (f *Follower) drop(err error) {
	c := f.conn
	f.conn = nil
	c.Close()
	f.again(err)
}

func (f *Follower) again(err error) {
	f.silence.Stop()
	if f.stopped {
		return
	}
	f.stats.Add("bus.reconnects")
	f.log.Warn("bus.lost", "bus", f.addr, "error", err, "again_in", f.pause)
	f.retry = f.loop.Timers.Add(f.loop.Now()+f.pause, f.Start)
	f.pause = min(2*f.pause, mostPause)
}

// Data reads the frames that are whole.
func (f *Follower) Data(c *netio.Conn, in *netio.Buffer) {
	for c == f.conn {
		number, kind, payload, n, err := parse(in.Bytes())
		if err == nil && n > 0 {
			err = f.frame(number, kind, payload)
			in.Consume(n)
		}
		if err != nil {
			f.drop(err)
			return
		}
		if n == 0 {
			return
		}
	}
}

// Closed reconnects.
func (f *Follower) Closed(c *netio.Conn, err error) {
	if c != f.conn {
		return
	}
	f.conn = nil
	if err == nil {
		err = errors.New("connection closed")
	}
	f.again(err)
}

// parse reads one frame; n is 0 while it is not whole.
func parse(b []byte) (number uint64, kind byte, payload []byte, n int, err error) {
	if len(b) < headerLen {
		return 0, 0, nil, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length < 9 || length > maxFrame {
		return 0, 0, nil, 0, fmt.Errorf("a frame of %d bytes", length)
	}
	n = headerLen + int(length)
	if len(b) < n {
		return 0, 0, nil, 0, nil
	}
	return binary.BigEndian.Uint64(b[4:]), b[12], b[13:n], n, nil
}

func (f *Follower) frame(number uint64, kind byte, payload []byte) error {
	f.pause = firstPause
	f.listen()
	mode := policy.ListChanges
	switch kind {
	case 0:
		return nil
	case 1:
		mode = policy.ListFull
	case 2:
	default:
		return fmt.Errorf("a frame of unknown kind %d", kind)
	}
	if number <= f.last { // told again after a reconnection
		return nil
	}
	engines, err := f.records(payload)
	if err != nil {
		return fmt.Errorf("event %d: %w", number, err)
	}
	f.last = number
	f.stats.Add("bus.events")
	f.roster.UpdateEndpoints(mode, engines)
	return nil
}

var recordStates = [...]policy.EngineState{policy.EngineLive, policy.EngineDraining, policy.EngineDeparted}

func (f *Follower) records(b []byte) ([]core.Engine, error) {
	if len(b)%recordLen != 0 {
		return nil, fmt.Errorf("%d bytes are no whole records", len(b))
	}
	list := make([]core.Engine, 0, len(b)/recordLen)
	for ; len(b) > 0; b = b[recordLen:] {
		state, zone, kind := int(b[10]), int(b[11]), int(b[12])
		if state >= len(recordStates) {
			return nil, fmt.Errorf("unknown state %d", state)
		}
		e := core.Engine{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])).String(),
			Engine: policy.Engine{
				ID:   fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b)),
				Zone: place(f.zones, zone), Kind: place(f.kinds, kind),
				Cell: int64(binary.BigEndian.Uint16(b[13:])), State: recordStates[state],
			},
		}
		if boot := binary.BigEndian.Uint64(b[19:]); boot > 0 && boot < 1<<43 {
			e.Started, e.StartKnown = time.Duration(boot)*time.Millisecond, true
		}
		list = append(list, e)
	}
	return list, nil
}

// place names a list's entry; one that the settings lack has no name.
func place(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}
