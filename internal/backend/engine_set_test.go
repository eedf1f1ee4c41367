package backend

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

// retirable ends as soon as it is retired.
type retirable struct {
	engine  *Engine[*retirable]
	retired bool
}

func (r *retirable) Retire() {
	r.retired = true
	r.engine.Remove(r)
}

func entryOf(addr string, state policy.EngineState, started time.Duration) core.Engine {
	return core.Engine{Addr: addr, Engine: policy.Engine{ID: "e1", State: state, Started: started}}
}

// Connections are retired where what they lead to is no longer the engine of the entry, and only there.
func TestUpdateRetiresConnections(t *testing.T) {
	for name, c := range map[string]struct {
		entry   core.Engine
		retired bool
		known   bool
	}{
		"same":      {entryOf("127.0.0.1:1", policy.EngineLive, time.Second), false, true},
		"draining":  {entryOf("127.0.0.1:1", policy.EngineDraining, time.Second), false, true},
		"moved":     {entryOf("127.0.0.1:2", policy.EngineLive, time.Second), true, true},
		"restarted": {entryOf("127.0.0.1:1", policy.EngineLive, 2*time.Second), true, true},
		"departed":  {entryOf("127.0.0.1:1", policy.EngineDeparted, time.Second), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			set := NewEngineSet[*retirable]()
			set.Update(entryOf("127.0.0.1:1", policy.EngineLive, time.Second))
			engine := set.Get("e1")
			connections := []*retirable{{engine: engine}, {engine: engine}, {engine: engine}}
			engine.Connections = append(engine.Connections, connections...)
			set.Update(c.entry)
			for i, connection := range connections {
				if connection.retired != c.retired {
					t.Errorf("connection %d: retired = %t, want %t", i, connection.retired, c.retired)
				}
			}
			if known := set.Get("e1") != nil; known != c.known {
				t.Errorf("engine is known = %t, want %t", known, c.known)
			}
			if engine := set.Get("e1"); engine != nil && engine.Addr != c.entry.Addr {
				t.Errorf("address = %s, want %s", engine.Addr, c.entry.Addr)
			}
		})
	}
}

// An entry of a departed engine that is not known adds nothing.
func TestUpdateOfUnknownDepartedEngine(t *testing.T) {
	set := NewEngineSet[*retirable]()
	set.Update(entryOf("127.0.0.1:1", policy.EngineDeparted, 0))
	if set.Get("e1") != nil {
		t.Error("a departed engine was added")
	}
}

func TestDialOutcome(t *testing.T) {
	for _, c := range []struct {
		err  error
		want core.Outcome
	}{
		{fmt.Errorf("dial: %w", syscall.ECONNREFUSED), core.OutcomeConnectionRefused},
		{fmt.Errorf("dial: %w", syscall.EMFILE), core.OutcomeNoDescriptor},
		{errors.New("time-out"), core.OutcomeConnectTimeout},
	} {
		if got := DialOutcome(c.err); got != c.want {
			t.Errorf("DialOutcome(%v) = %v, want %v", c.err, got, c.want)
		}
	}
}
