package emulator

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is the state of an engine as discovery reports it.
type State uint8

// States of an engine. Their values are those of the event bus.
const (
	Ready State = iota
	Draining
	Gone
)

var stateNames = [...]string{"ready", "draining", "gone"}

func (s State) String() string { return stateNames[s] }

// Zone is a zone as discovery reports it: the event bus by its number in the settings, Consul by its name.
type Zone struct {
	Number byte
	Name   string // empty: Consul reports none
}

// Member is an engine of a fleet.
type Member struct {
	ID    string         // name in the catalog
	Addr  netip.AddrPort // address that discovery reports
	State State
	Boot  time.Time // time of the latest restart, as discovery reports it; zero: never restarted
	Zone  Zone      // zone that discovery reports

	booted time.Time // time of the latest restart by the engine's own clock
	listen string    // address that the engine listens on, which may differ from Addr behind a proxy
	serve  func(net.Listener)
	ln     net.Listener
	start  func() // restarts its machine; may be nil
}

// Change is a state change of an engine, as discovery reported it.
type Change struct {
	At    time.Time
	ID    string
	State State
}

// Fleet is a set of engines with the discovery systems that report them: the event bus and Consul's catalog
// reflect the actions that a script applies to the fleet.
type Fleet struct {
	mu          sync.Mutex // guards the fields below
	members     []*Member
	events      []event
	changed     chan struct{} // closed and replaced at each change
	silent      bool          // whether the bus keeps its connections open but sends nothing
	unavailable bool          // whether the catalog is unavailable
	history     []Change
}

// StartOptions describe a start of an engine's process that discovery does not report yet.
type StartOptions struct {
	ClockError  time.Duration // error of the clock that gives the start time
	AcceptDelay time.Duration // time from the start, when the engine listens, to the first accepted connection
}

// event is a numbered event of the bus, which describes changed engines. Numbers start at 2, since 1 is
// the complete list.
type event struct {
	number  uint64
	records []byte
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet { return &Fleet{changed: make(chan struct{})} }

// Add adds an engine that listens on ln already and serves it with serve. advertised is the address that
// discovery reports. start restarts the engine's machine, and may be nil.
func (f *Fleet) Add(id string, ln net.Listener, advertised string, serve func(net.Listener), start func()) error {
	addr, err := netip.ParseAddrPort(advertised)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.mu.Lock()
	f.members = append(f.members, &Member{ID: id, Addr: addr, listen: ln.Addr().String(), serve: serve, ln: ln, start: start})
	f.mu.Unlock()
	go serve(ln)
	return nil
}

// SetZone lets discovery report an engine in another zone. engine is the number of the engine, from 1.
func (f *Fleet) SetZone(engine int, zone Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[engine-1].Zone = zone
	f.announce(engine)
}

// Close closes the listeners of all engines, which ends their connections.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		_ = m.ln.Close()
	}
}

// Members returns the current state of all engines.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Member
	for _, m := range f.members {
		all = append(all, *m)
	}
	return all
}

// History returns all state changes so far, in order.
func (f *Fleet) History() []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

// Kinds of actions that a script applies to a fleet.
const (
	Drain       = "drain"       // the engine is reported as draining, but keeps running
	Die         = "die"         // its process ends, with all connections, and is reported as gone
	Return      = "return"      // it starts again at its address, cold, and is reported as ready
	Move        = "move"        // its process ends and starts again, cold, at another address, and is reported as ready
	BusSilent   = "bus-silent"  // the bus keeps its connections open but sends nothing
	BusSpeaks   = "bus-speaks"  // the bus sends again
	ConsulAway  = "consul-away" // the catalog answers every request with an error
	ConsulBack  = "consul-back" // the catalog answers again
	changeKinds = "drain, die, return, move, bus-silent, bus-speaks, consul-away, consul-back"
)

// Known reports whether there is a kind of action of this name.
func Known(kind string) bool { return slices.Contains(strings.Split(changeKinds, ", "), kind) }

// Apply applies one action to the fleet. engine is the number of the engine, from 1; actions on the bus and
// the catalog ignore it.
func (f *Fleet) Apply(kind string, engine int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case BusSilent, BusSpeaks:
		f.silent = kind == BusSilent
		f.notify()
		return nil
	case ConsulAway, ConsulBack:
		f.unavailable = kind == ConsulAway
		f.notify()
		return nil
	}
	if engine < 1 || engine > len(f.members) {
		return fmt.Errorf("fleet: engine %d does not exist, want 1 to %d", engine, len(f.members))
	}
	m := f.members[engine-1]
	switch kind {
	case Drain:
		m.State = Draining
	case Die:
		m.State = Gone
		_ = m.ln.Close() // which also closes its connections
	case Return, Move:
		if kind == Move {
			_ = m.ln.Close()
			m.listen = "127.0.0.1:0"
		}
		if err := m.startProcess(StartOptions{}); err != nil {
			return err
		}
		if kind == Move {
			m.Addr = netip.MustParseAddrPort(m.listen)
		}
		m.State, m.Boot = Ready, m.booted
	default:
		return fmt.Errorf("fleet: unknown action %q, want one of %s", kind, changeKinds)
	}
	f.announce(engine)
	return nil
}

// Crash ends the process of an engine, with all its connections. Discovery reports nothing.
func (f *Fleet) Crash(engine int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.members[engine-1].ln.Close()
}

// Start starts the process of an engine, cold, at its address. Discovery reports nothing until Announce.
func (f *Fleet) Start(engine int, opts StartOptions) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[engine-1].startProcess(opts)
}

// Announce lets discovery report the given engines as ready, in one event, with the times of their latest starts.
func (f *Fleet) Announce(engines ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engine := range engines {
		m := f.members[engine-1]
		m.State, m.Boot = Ready, m.booted
	}
	f.announce(engines...)
}

// announce adds one event with the current state of the given engines. f.mu must be held.
func (f *Fleet) announce(engines ...int) {
	var records []byte
	for _, engine := range engines {
		m := f.members[engine-1]
		records = append(records, m.record(engine)...)
		f.history = append(f.history, Change{time.Now(), m.ID, m.State})
	}
	f.events = append(f.events, event{uint64(len(f.events) + 2), records})
	f.notify()
}

// startProcess starts the process of an engine, cold, at its listen address.
func (m *Member) startProcess(opts StartOptions) error {
	ln, err := Listen(m.listen)
	if err != nil {
		return err
	}
	if m.start != nil {
		m.start()
	}
	m.ln, m.listen, m.booted = ln, ln.Addr().String(), time.Now().Add(opts.ClockError)
	time.AfterFunc(opts.AcceptDelay, func() { m.serve(ln) })
	return nil
}

// notify wakes everything that waits for a change. f.mu must be held.
func (f *Fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// record encodes an engine for the bus. number is its number in the fleet, which is its id on the bus.
func (m *Member) record(number int) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(number))
	ip := m.Addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, m.Addr.Port())
	b = append(b, byte(m.State), m.Zone.Number, 0, 0, 0, 0, 0, 0x03, 0xe8) // kind 0, cell 0, weight 1
	boot := uint64(0)
	if !m.Boot.IsZero() {
		boot = uint64(m.Boot.UnixMilli())
	}
	return binary.BigEndian.AppendUint64(b, boot)
}

// Bus serves the event bus on a listener. A subscriber first sends the number of the latest event that it
// has (8 bytes). It gets the events since then, each further event as it occurs, and an empty frame for
// each second without one.
func (f *Fleet) Bus(ln net.Listener) {
	serveEach(ln, func(c net.Conn) {
		b := make([]byte, 8)
		if _, err := c.Read(b); err != nil {
			return
		}
		last := binary.BigEndian.Uint64(b)
		for {
			f.mu.Lock()
			var out []byte
			if !f.silent {
				for _, e := range f.events {
					if e.number > last {
						out = appendFrame(out, e.number, 2, e.records)
						last = e.number
					}
				}
				if out == nil {
					out = appendFrame(out, last, 0, nil)
				}
			}
			changed := f.changed
			f.mu.Unlock()
			if _, err := c.Write(out); err != nil {
				return
			}
			select {
			case <-changed:
			case <-time.After(time.Second):
			}
		}
	})
}

// appendFrame appends a frame of the bus: length, event number, kind (2: a change of engines, 0: empty) and
// payload.
func appendFrame(b []byte, number uint64, kind byte, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// list waits until the index of the fleet differs from index, at most for wait, and returns the engines and
// the current index. ok is false while the catalog is unavailable and once canceled closes.
func (f *Fleet) list(index uint64, wait time.Duration, canceled <-chan struct{}) (all []Member, now uint64, ok bool) {
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		now, ok = uint64(len(f.events)+1), !f.unavailable
		changed := f.changed
		f.mu.Unlock()
		if !ok || now != index || wait <= 0 {
			return f.Members(), now, ok
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-canceled:
			return nil, now, false
		}
	}
}

// index parses the index of a blocking query. It returns 0 for an invalid one.
func index(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
