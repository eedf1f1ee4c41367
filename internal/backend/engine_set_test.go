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

// fakeConnection removes itself from its engine as soon as it is retired.
type fakeConnection struct {
	engine  *Engine[*fakeConnection]
	retired bool
}

func (c *fakeConnection) Retire() {
	c.retired = true
	c.engine.Remove(c)
}

// newEntry returns an entry of the endpoint list for the engine e1.
func newEntry(addr string, state policy.EngineState, started time.Duration) core.Engine {
	return core.Engine{Addr: addr, Engine: policy.Engine{ID: "e1", State: state, Started: started}}
}

// TestUpdateRetiresConnections checks that connections are retired if the engine has moved, restarted
// or departed, and only then.
func TestUpdateRetiresConnections(t *testing.T) {
	for name, c := range map[string]struct {
		entry   core.Engine
		retired bool
		known   bool
	}{
		"same":      {newEntry("127.0.0.1:1", policy.EngineLive, time.Second), false, true},
		"draining":  {newEntry("127.0.0.1:1", policy.EngineDraining, time.Second), false, true},
		"moved":     {newEntry("127.0.0.1:2", policy.EngineLive, time.Second), true, true},
		"restarted": {newEntry("127.0.0.1:1", policy.EngineLive, 2*time.Second), true, true},
		"departed":  {newEntry("127.0.0.1:1", policy.EngineDeparted, time.Second), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			set := NewEngineSet[*fakeConnection]()
			set.Update(newEntry("127.0.0.1:1", policy.EngineLive, time.Second))
			engine := set.Get("e1")
			connections := []*fakeConnection{{engine: engine}, {engine: engine}, {engine: engine}}
			engine.Connections = append(engine.Connections, connections...)
			set.Update(c.entry)
			for i, connection := range connections {
				if connection.retired != c.retired {
					t.Errorf("connection %d: retired = %t, want %t", i, connection.retired, c.retired)
				}
			}
			if known := set.Get("e1") != nil; known != c.known {
				t.Errorf("engine in the set = %t, want %t", known, c.known)
			}
			if engine := set.Get("e1"); engine != nil && engine.Addr != c.entry.Addr {
				t.Errorf("address = %s, want %s", engine.Addr, c.entry.Addr)
			}
		})
	}
}

// TestUpdateOfUnknownDepartedEngine checks that an entry of an unknown departed engine is not added.
func TestUpdateOfUnknownDepartedEngine(t *testing.T) {
	set := NewEngineSet[*fakeConnection]()
	set.Update(newEntry("127.0.0.1:1", policy.EngineDeparted, 0))
	if set.Get("e1") != nil {
		t.Error("Get returned a departed engine, want nil")
	}
}

// TestDialOutcome checks the outcome of each kind of dial error.
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
