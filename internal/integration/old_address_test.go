package integration

import (
	"io"
	"net"
	"strings"
	gosync "sync"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

// relay is an address behind which one engine takes the place of another: a connection stays with the engine that was
// there when it was opened.
type relay struct {
	addr string

	mu     gosync.Mutex
	engine string // address of the engine for further connections
	open   []net.Conn
}

func newRelay(t *testing.T, engine string) *relay {
	t.Helper()
	r := &relay{engine: engine}
	r.addr = listen(t, func(c net.Conn) {
		r.mu.Lock()
		target := r.engine
		r.open = append(r.open, c)
		r.mu.Unlock()
		behind, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = behind.Close() }()
		go func() {
			_, _ = io.Copy(behind, c)
			_ = behind.Close()
		}()
		_, _ = io.Copy(c, behind)
	})
	return r
}

// replace puts another engine at the address.
func (r *relay) replace(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine = engine
}

// reset ends all connections, as the end of their process does.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// oldAddressWire is one front end with its engines, for TestNewEngineAtAnOldAddress.
type oldAddressWire struct {
	engine func(t *testing.T) (addr string, heard func() []string) // heard returns the statements received so far
	start  func(*testing.T, *gateway)
	run    func(t *testing.T, g *gateway, statement string) (served bool)
	begin  func(t *testing.T, g *gateway, statement string) // sends a statement that may not be repeated
}

// held is in statements that engines never answer.
const held = "held"

// heardLog collects what an engine received.
type heardLog struct {
	mu         gosync.Mutex
	statements []string
}

func (h *heardLog) add(statement string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statements = append(h.statements, statement)
}

func (h *heardLog) all() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.statements...)
}

var oldAddressWires = map[string]oldAddressWire{
	"platform": {
		engine: func(t *testing.T) (string, func() []string) {
			t.Helper()
			log := &heardLog{}
			addr, _ := lineEngine(t, func(line string) string {
				log.add(line)
				if strings.Contains(line, held) || !strings.HasPrefix(line, "want ") {
					return ""
				}
				return done(line, "a\tb\tc\n")
			})
			return addr, log.all
		},
		start: func(_ *testing.T, g *gateway) { g.startHTTP() },
		run: func(t *testing.T, g *gateway, statement string) bool {
			t.Helper()
			answer, _ := httpConnect(t, g.addr).call(postText("lookup", "", statement))
			return strings.HasPrefix(answer, "200 ")
		},
		begin: func(t *testing.T, g *gateway, statement string) {
			t.Helper()
			_, _ = io.WriteString(httpConnect(t, g.addr).c, strings.Replace(postText("write", "", statement), id, "00000000000000ff", 1))
		},
	},
	"postgres": {
		engine: func(t *testing.T) (string, func() []string) {
			t.Helper()
			log := &heardLog{}
			addr, _ := pgEngine(t, func(call pgCall) []byte {
				log.add(call.query)
				if strings.Contains(call.query, held) {
					return nil
				}
				return pgRows("a")
			})
			return addr, log.all
		},
		start: func(_ *testing.T, g *gateway) { g.startPostgres() },
		run: func(t *testing.T, g *gateway, statement string) bool {
			t.Helper()
			k := connect(t, g.addr)
			k.send(query(statement))
			return strings.Contains(k.until('Z'), "C(SELECT 1)")
		},
		begin: func(t *testing.T, g *gateway, statement string) {
			t.Helper()
			connect(t, g.addr).send(query(statement))
		},
	},
}

// TestNewEngineAtAnOldAddress guards against a new engine that is taken for the one that had its address before: nothing
// goes to the old one over connections that are still open, and what may have run at the old one is not sent to the new
// one, whether the list or the end of the connections comes first.
func TestNewEngineAtAnOldAddress(t *testing.T) {
	for name, wire := range oldAddressWires {
		for _, listFirst := range []bool{true, false} {
			order := map[bool]string{true: "list first", false: "connections first"}[listFirst]
			t.Run(name+", "+order, func(t *testing.T) {
				oldEngine, oldHeard := wire.engine(t)
				newEngine, newHeard := wire.engine(t)
				r := newRelay(t, oldEngine)
				g := newGateway(t, nil)
				wire.start(t, g)
				update := func(id string, state policy.EngineState) {
					list := []core.Engine{{Addr: r.addr, Engine: policy.Engine{ID: id, Zone: "hall-a", Kind: "std-8", State: state}}}
					g.do(func() { g.core.UpdateEndpoints(policy.ListChanges, list) })
				}
				update("old", policy.EngineLive)
				if !wire.run(t, g, "SELECT 1") {
					t.Fatal("the first statement was not served")
				}
				wire.begin(t, g, "UPDATE stock_17.parts SET "+held+" = 1")
				for waitUntil := newDeadline(t); !heardAny(oldHeard(), held); waitUntil() {
				}
				r.replace(newEngine)
				if !listFirst {
					r.reset()
				}
				update("old", policy.EngineDeparted)
				update("new", policy.EngineLive)
				before := len(oldHeard())
				for range 5 {
					if !wire.run(t, g, "SELECT 2") {
						t.Error("a statement was not served after the change, want it served by the new engine")
					}
				}
				if listFirst {
					r.reset()
				}
				if after := oldHeard()[before:]; heardAny(after, "SELECT 2") {
					t.Errorf("the old engine received %q, want nothing after the change", after)
				}
				if heardAny(newHeard(), held) {
					t.Errorf("the new engine received %q, want nothing that may have run at the old one", newHeard())
				}
			})
		}
	}
}

// heardAny reports whether a statement contains the text.
func heardAny(statements []string, text string) bool {
	for _, statement := range statements {
		if strings.Contains(statement, text) {
			return true
		}
	}
	return false
}

// newDeadline returns a function that pauses, and fails the test if waitTimeout has passed since newDeadline.
func newDeadline(t *testing.T) func() {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	return func() {
		t.Helper()
		time.Sleep(time.Millisecond)
		if time.Now().After(deadline) {
			t.Fatal("what was waited for did not happen in time")
		}
	}
}
