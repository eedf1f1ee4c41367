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

// State is what a roster says of an engine.
type State uint8

// States, as the event bus numbers them.
const (
	Ready State = iota
	Draining
	Gone
)

var stateNames = [...]string{"ready", "draining", "gone"}

func (s State) String() string { return stateNames[s] }

// Member is an engine of a fleet.
type Member struct {
	ID    string
	Addr  netip.AddrPort // where the roster says that it listens
	State State
	Boot  time.Time // of a late start; zero: long ago

	listen string // where it does, which may be behind a link
	serve  func(net.Listener)
	ln     net.Listener
	start  func() // has its machine begin anew
}

// Change is one entry of a fleet's history.
type Change struct {
	At    time.Time
	ID    string
	State State
}

// Fleet is a number of engines with the rosters that tell of them: the event bus and Consul's
// catalogue follow what a script does to it.
type Fleet struct {
	mu      sync.Mutex
	members []*Member
	events  []event
	changed chan struct{} // closed and made anew with each event
	silent  bool          // the bus stays open and says nothing
	away    bool          // the catalogue can't be reached
	history []Change
}

// event is one numbered event of the bus; the first is the whole list.
type event struct {
	number  uint64
	records []byte
}

// NewFleet returns an empty one.
func NewFleet() *Fleet { return &Fleet{changed: make(chan struct{})} }

// Add adds an engine that listens already. advertised is where the roster says that it
// listens; start has it begin anew, and may be nil.
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

// Close ends all engines.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		_ = m.ln.Close()
	}
}

// Members are the engines as they stand.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Member
	for _, m := range f.members {
		all = append(all, *m)
	}
	return all
}

// History is what the rosters were told, in order.
func (f *Fleet) History() []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

// Kinds of what a script does to a fleet.
const (
	Drain       = "drain"       // the engine is said to drain; it goes on
	Die         = "die"         // its process ends, with all connections, and is said to be gone
	Return      = "return"      // it starts again at its address, cold, and is said to be ready
	Move        = "move"        // its process ends and starts again, cold, at another address
	BusSilent   = "bus-silent"  // the bus stays open and says nothing
	BusSpeaks   = "bus-speaks"  // and speaks again
	ConsulAway  = "consul-away" // the catalogue answers nothing
	ConsulBack  = "consul-back" // and answers again
	changeKinds = "drain, die, return, move, bus-silent, bus-speaks, consul-away, consul-back"
)

// Known tells whether there is a kind of this name.
func Known(kind string) bool { return slices.Contains(strings.Split(changeKinds, ", "), kind) }

// Apply does one thing to the fleet; engine counts from 1 where the kind needs one.
func (f *Fleet) Apply(kind string, engine int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case BusSilent, BusSpeaks:
		f.silent = kind == BusSilent
		f.wake()
		return nil
	case ConsulAway, ConsulBack:
		f.away = kind == ConsulAway
		f.wake()
		return nil
	}
	if engine < 1 || engine > len(f.members) {
		return fmt.Errorf("fleet: there is no engine %d", engine)
	}
	m := f.members[engine-1]
	switch kind {
	case Drain:
		m.State = Draining
	case Die:
		m.State = Gone
		_ = m.ln.Close() // its connections end with it
	case Return, Move:
		at := m.listen
		if kind == Move {
			_ = m.ln.Close()
			at = "127.0.0.1:0"
		}
		ln, err := Listen(at)
		if err != nil {
			return err
		}
		if kind == Move {
			m.listen = ln.Addr().String()
			m.Addr = netip.MustParseAddrPort(m.listen)
		}
		if m.start != nil {
			m.start()
		}
		m.ln, m.State, m.Boot = ln, Ready, time.Now()
		go m.serve(ln)
	default:
		return fmt.Errorf("fleet: there is no %q; wanted is one of %s", kind, changeKinds)
	}
	f.history = append(f.history, Change{time.Now(), m.ID, m.State})
	f.events = append(f.events, event{uint64(len(f.events) + 2), m.record(engine)})
	f.wake()
	return nil
}

func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// record is the engine as the bus tells of it; its id is its place.
func (m *Member) record(place int) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(place))
	ip := m.Addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, m.Addr.Port())
	b = append(b, byte(m.State), 0, 0, 0, 0, 0, 0, 0x03, 0xe8) // zone and kind 0, cell 0, weight 1
	boot := uint64(0)
	if !m.Boot.IsZero() {
		boot = uint64(m.Boot.UnixMilli())
	}
	return binary.BigEndian.AppendUint64(b, boot)
}

// Bus serves the event bus on a listener: the changes since what a follower has, then each as
// it comes, and an empty frame each second.
func (f *Fleet) Bus(ln net.Listener) {
	each(ln, func(c net.Conn) {
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

func appendFrame(b []byte, number uint64, kind byte, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// list waits until the fleet has changed past an index, or for so long, and tells the engines
// with the index. ok is false while the catalogue is away.
func (f *Fleet) list(index uint64, wait time.Duration, gone <-chan struct{}) (all []Member, now uint64, ok bool) {
	late := time.After(wait)
	for {
		f.mu.Lock()
		now, ok = uint64(len(f.events)+1), !f.away
		changed := f.changed
		f.mu.Unlock()
		if !ok || now != index || wait <= 0 {
			return f.Members(), now, ok
		}
		select {
		case <-changed:
		case <-late:
			wait = 0
		case <-gone:
			return nil, now, false
		}
	}
}

// index reads the index of a blocking query.
func index(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
