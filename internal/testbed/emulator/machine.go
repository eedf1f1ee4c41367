package emulator

import (
	"sync"
	"time"

	"gannetspur/internal/testbed/enginemodel"
)

// Machine runs a modelled engine along the real clock: each query ends when the model completes it.
type Machine struct {
	mu      sync.Mutex
	engine  *enginemodel.Engine
	origin  time.Time // when the time of the model was 0
	timer   *time.Timer
	last    uint64                   // id of the latest query
	pending map[uint64]func(Outcome) // callbacks of the queries that have not ended, by id
}

// Outcome is how a query ended at a machine.
type Outcome struct {
	Full bool    // whether the engine was full and rejected the query
	Used float64 // memory used, in MB
}

// NewMachine returns a machine whose engine is past its cold start.
func NewMachine(cfg enginemodel.Config) *Machine {
	return &Machine{engine: enginemodel.New(cfg), origin: time.Now(), pending: map[uint64]func(Outcome){}}
}

// now returns the current time of the model.
func (m *Machine) now() time.Duration { return time.Since(m.origin) }

// Run submits a query under an id of the machine's own, which it returns. done is called once, on a
// goroutine of its own, unless the query is canceled first or lost in a restart.
func (m *Machine) Run(q enginemodel.Query, done func(Outcome)) (id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.last++
	q.ID = m.last
	if !m.engine.Submit(m.now(), q) {
		go done(Outcome{Full: true})
		return q.ID
	}
	m.pending[q.ID] = done
	m.schedule()
	return q.ID
}

// Cancel cancels a query and frees its resources.
func (m *Machine) Cancel(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if m.pending[id] != nil {
		delete(m.pending, id)
		m.engine.Cancel(m.now(), id)
	}
	m.schedule()
}

// SetPriority sets the priority of a query, 0 to 3.
func (m *Machine) SetPriority(id uint64, priority int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.engine.SetPriority(m.now(), id, priority)
	m.schedule()
}

// Take sets the fraction of the machine, 0 to 1, that another program uses.
func (m *Machine) Take(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.engine.Take(m.now(), share)
	m.schedule()
}

// Start restarts the engine, cold. Queries that were running are lost: their callbacks are never called.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.pending)
	m.engine.Start(m.now())
}

// Load returns the load that the engine reports now.
func (m *Machine) Load() enginemodel.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.schedule()
	return m.engine.Load()
}

// advance advances the model to the current time and calls back for the queries that ended. m.mu must be held.
func (m *Machine) advance() {
	for _, d := range m.engine.Advance(m.now()) {
		if done := m.pending[d.ID]; done != nil {
			delete(m.pending, d.ID)
			go done(Outcome{Used: d.Used})
		}
	}
}

// schedule sets the timer for the next completion. m.mu must be held.
func (m *Machine) schedule() {
	at, ok := m.engine.Next()
	if !ok {
		return
	}
	wait := max(at-m.now(), 0)
	if m.timer == nil {
		m.timer = time.AfterFunc(wait, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.advance()
			m.schedule()
		})
		return
	}
	m.timer.Reset(wait)
}
