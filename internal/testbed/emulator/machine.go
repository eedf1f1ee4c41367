package emulator

import (
	"sync"
	"time"

	"gannetspur/internal/testbed/enginemodel"
)

// Machine has a model engine follow the real clock: what it runs ends when the model says so.
type Machine struct {
	mu     sync.Mutex
	engine *enginemodel.Engine
	origin time.Time
	timer  *time.Timer
	last   uint64
	out    map[uint64]func(Ended)
}

// Ended is how a query ended at a machine.
type Ended struct {
	Full bool // it was turned away
	Used float64
}

// NewMachine returns a machine that has run for long.
func NewMachine(cfg enginemodel.Config) *Machine {
	return &Machine{engine: enginemodel.New(cfg), origin: time.Now(), out: map[uint64]func(Ended){}}
}

func (m *Machine) now() time.Duration { return time.Since(m.origin) }

// Run has a query run; done is called once, on a goroutine of its own, unless the query is
// given up first. Its id is the machine's and is returned.
func (m *Machine) Run(q enginemodel.Query, done func(Ended)) (id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	m.last++
	q.ID = m.last
	if !m.engine.Submit(m.now(), q) {
		go done(Ended{Full: true})
		return q.ID
	}
	m.out[q.ID] = done
	m.wake()
	return q.ID
}

// GiveUp frees what a query holds.
func (m *Machine) GiveUp(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	if m.out[id] != nil {
		delete(m.out, id)
		m.engine.Cancel(m.now(), id)
	}
	m.wake()
}

// Hurry sets a query's priority.
func (m *Machine) Hurry(id uint64, priority int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	m.engine.Hurry(m.now(), id, priority)
	m.wake()
}

// Take has another program take a share of the machine.
func (m *Machine) Take(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	m.engine.Take(m.now(), share)
	m.wake()
}

// Start has the engine begin anew, cold: what it ran is lost without a word.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.out)
	m.engine.Start(m.now())
}

// Load is what the engine reports just now.
func (m *Machine) Load() enginemodel.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	m.wake()
	return m.engine.Load()
}

// settle brings the model to the present and tells of what has ended.
func (m *Machine) settle() {
	for _, d := range m.engine.Advance(m.now()) {
		if done := m.out[d.ID]; done != nil {
			delete(m.out, d.ID)
			go done(Ended{Used: d.Used})
		}
	}
}

// wake sets the timer for the next end.
func (m *Machine) wake() {
	at, ok := m.engine.Next()
	if !ok {
		return
	}
	wait := max(at-m.now(), 0)
	if m.timer == nil {
		m.timer = time.AfterFunc(wait, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.settle()
			m.wake()
		})
		return
	}
	m.timer.Reset(wait)
}
