// Package control is the control endpoint: calls of HTTP/1.1 at an address of their own, one to
// a connection. It is thin: it reads a call, asks the gateway, answers and closes.
package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
)

const (
	// mostCallers may be connected at once; the next ones wait unaccepted for a moment.
	mostCallers = 12
	// crowdedAt is from how many on the one that has been silent for longest is closed for
	// the next. Guards against callers that connect, say nothing and keep others out.
	crowdedAt = 8
	// callWithin is by when a call must be whole; no caller waits longer for its answer.
	callWithin = time.Second
	maxBody    = 4 << 10
)

// Descriptors is what the control endpoint may take of the process's.
const Descriptors = mostCallers + 2

// Gateway is what the control endpoint asks. It is called on the loop's goroutine.
type Gateway interface {
	// Ready tells whether this process can serve; if not, why.
	Ready() (bool, string)
	Figures() core.Figures
	// DisableEngine takes an engine out of use; EnableEngine undoes it.
	DisableEngine(id string) error
	EnableEngine(id string) error
}

// Server answers operators.
type Server struct {
	loop     *netio.Loop
	gateway  Gateway
	stats    *metrics.Counters
	listener *netio.Listener
	waiting  map[*caller]struct{} // have made no whole call
}

// Open listens for operators.
func Open(loop *netio.Loop, addr string, g Gateway, counters *metrics.Counters) (*Server, error) {
	ln, err := netio.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	ln.HighPriority = true
	s := &Server{loop: loop, gateway: g, stats: counters, listener: ln, waiting: map[*caller]struct{}{}}
	loop.Serve(ln, http1.MaxRequestSize, mostCallers, s.accept)
	return s, nil
}

// Addr is where operators call.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// caller is one connection.
type caller struct {
	server *Server
	conn   *netio.Conn
	came   time.Duration
	due    *timerqueue.Entry
	over   bool // its call was answered, or it is being closed
}

func (s *Server) accept(c *netio.Conn) netio.Handler {
	k := &caller{server: s, conn: c, came: s.loop.Now()}
	k.due = s.loop.Timers.Add(k.came+callWithin, k.silent)
	if s.waiting[k] = struct{}{}; len(s.waiting) > crowdedAt {
		oldest := k
		for w := range s.waiting {
			if w.came < oldest.came {
				oldest = w
			}
		}
		oldest.silent()
	}
	return k
}

// silent closes a connection that has made no call.
func (k *caller) silent() {
	if k.over {
		return
	}
	k.server.stats.Add("control.silent")
	k.done()
	k.conn.Abort()
}

// done marks that nothing more is read.
func (k *caller) done() {
	k.over = true
	k.due.Stop()
	delete(k.server.waiting, k)
}

// Data reads the call.
func (k *caller) Data(_ *netio.Conn, in *netio.Buffer) {
	if k.over {
		in.Consume(in.Len())
		return
	}
	call, n, bad := http1.ParseRequest(in.Bytes())
	if bad == nil && n == 0 {
		return
	}
	a := http1.Response{Status: 200, ContentType: "application/json", Close: true}
	if bad == nil {
		a, bad = k.server.answer(call)
	}
	if bad != nil {
		k.server.stats.Add("control.refused")
		a.Status, a.ContentType = bad.Status, "application/json"
		a.Body, _ = json.Marshal(map[string]string{"error": bad.Message}) // of this type it never fails
	} else {
		k.server.stats.Add("control.answered")
	}
	a.Close = true
	in.Consume(in.Len())
	k.done()
	k.conn.Write(a.Append(nil))
	k.conn.Close()
}

// Closed forgets the caller.
func (k *caller) Closed(*netio.Conn, error) { k.done() }

// answer carries out one call.
func (s *Server) answer(c http1.Request) (http1.Response, *http1.StatusError) {
	yes := http1.Response{Status: 200, ContentType: "application/json", Body: []byte("{}")}
	method := "GET"
	if c.Path == "/engines/disable" || c.Path == "/engines/enable" {
		method = "POST"
	} else if c.Path != "/ready" && c.Path != "/metrics" {
		return yes, http1.NewStatusError(404, "there are /ready, /metrics, /engines/disable and /engines/enable")
	}
	if c.Method != method {
		return yes, http1.NewStatusError(405, "%s is called by %s", c.Path, method)
	}
	switch c.Path {
	case "/ready":
		if ok, why := s.gateway.Ready(); !ok {
			return yes, http1.NewStatusError(503, "%s", why)
		}
	case "/metrics":
		yes.ContentType, yes.Body = "text/plain", Text(s.gateway.Figures())
	default:
		id, bad := target(c.Body)
		if bad != nil {
			return yes, bad
		}
		change := s.gateway.EnableEngine
		if c.Path == "/engines/disable" {
			change = s.gateway.DisableEngine
		}
		if err := change(id); err != nil {
			return yes, http1.NewStatusError(404, "%s", err.Error())
		}
	}
	return yes, nil
}

// target reads the engine's id out of the body of a call: {"target":"ID"}.
func target(body []byte) (string, *http1.StatusError) {
	if len(body) > maxBody {
		return "", http1.NewStatusError(413, "the body is over %d bytes", maxBody)
	}
	var call struct {
		Target *string `json:"target"`
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&call); err != nil {
		return "", http1.BadRequest("the body is not {\"target\":\"ID\"}: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return "", http1.BadRequest("something follows the body's object")
	}
	if call.Target == nil || *call.Target == "" {
		return "", http1.BadRequest("target: missing")
	}
	return *call.Target, nil
}

// Text words figures, a line each: a name, a value, and c for a count or g for a state.
func Text(f core.Figures) []byte {
	var b []byte
	line := func(name string, n int64, kind byte) {
		b = append(append(append(b, "lb."...), name...), ':')
		b = append(strconv.AppendInt(b, n, 10), '|', kind, '\n')
	}
	for _, c := range f.Classes {
		line("calls."+c.Class+".success", c.Served, 'c')
		line("calls."+c.Class+".busy", c.Rejected, 'c')
		line("calls."+c.Class+".failure", c.Failed, 'c')
	}
	line("backend_calls", f.AttemptsWritten, 'c')
	line("inflight", int64(f.InFlight), 'g')
	line("hosts_listed", int64(f.EnginesListed), 'g')
	line("hosts_down", int64(f.EnginesDown), 'g')
	if p := f.Peers; p != nil {
		line("peers_live", int64(p.Live), 'g')
		line("peers_named", int64(p.Known), 'g')
		line("peers_cut", int64(p.Unreachable), 'g')
		line("peers_gone", int64(p.Dead), 'g')
		line("peers_view", int64(p.ViewNumber), 'g')
		if p.Majority {
			line("peers_majority", 1, 'g')
		} else {
			line("peers_majority", 0, 'g')
		}
	}
	return b
}
