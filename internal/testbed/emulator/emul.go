// Package emulator emulates the systems around the gateway according to their published protocols:
// engines of the line protocol and of the PostgreSQL protocol, the event bus, and the catalog and health
// API of Consul.
package emulator

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/testbed/enginemodel"
)

// Work returns how long a statement takes, and the memory that it needs in MB.
type Work func(statement string) (time.Duration, float64)

// Options describe an emulated engine.
type Options struct {
	Name string // name in the ledger
	Work Work   // cost of a statement; not used with a Machine
	User string // the only trusted user of the PostgreSQL protocol; "": every user is trusted
	// Machine, if not nil, executes the statements, which then compete for resources as on a
	// real engine. QueryFor, which only a Machine needs, returns the query of a statement.
	Machine  *Machine
	QueryFor func(statement string) enginemodel.Query
	Received func(enginemodel.Query)               // called with each query that reaches the Machine; may be nil
	Ledger   *Ledger                               // records executions; nil: none are recorded
	Store    *Store                                // records the writes that the PostgreSQL protocol commits; nil: none are recorded
	Fail     func(statement string) *pgproto.Error // error with which a statement of the PostgreSQL protocol fails, or nil; may be nil
	Logins   *scramauth.Users                      // users that log in to the PostgreSQL protocol by SCRAM; nil: no password is requested
	TLS      *tls.Config                           // of the PostgreSQL protocol; nil: encryption is declined
	Heard    func(session, statement string)       // called with each statement of the PostgreSQL protocol before it runs; may be nil
	Log      *slog.Logger
}

// execute executes a statement and returns its outcome; ok is false if stop closes first. change adjusts
// the query before it is submitted to the machine. started, if not nil, is called with the query's id at
// the machine.
func (o *Options) execute(statement string, change func(*enginemodel.Query), started func(id uint64), stop <-chan struct{}) (end Outcome, took time.Duration, ok bool) {
	began := time.Now()
	if o.Machine == nil {
		took, memory := o.Work(statement)
		t := time.NewTimer(took)
		defer t.Stop()
		select {
		case <-t.C:
			return Outcome{Used: memory}, took, true
		case <-stop:
			return Outcome{}, 0, false
		}
	}
	q := o.QueryFor(statement)
	change(&q)
	if o.Received != nil {
		o.Received(q)
	}
	done := make(chan Outcome, 1)
	id := o.Machine.Run(q, func(e Outcome) { done <- e })
	if started != nil {
		started(id)
	}
	select {
	case end = <-done:
		return end, q.Work, true
	case <-stop:
		o.Machine.Cancel(id)
		return Outcome{}, time.Since(began), false
	}
}

// Plain estimates the cost of a statement from keywords in its text: a load or an aggregation takes about
// 1.5 s or 1.8 s, a lookup about 200 ms. A hash of the text varies the cost by 30 % either way.
func Plain(statement string) (time.Duration, float64) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(statement)) // never fails
	scatter := 0.7 + 0.6*float64(h.Sum32()%1000)/1000
	usual, memory := 200.0, 20.0
	switch upper := strings.ToUpper(statement); {
	case strings.Contains(upper, "INSERT"):
		usual, memory = 1500, 60
	case strings.Contains(upper, "COUNT(") || strings.Contains(upper, "SUM(") || strings.Contains(upper, "GROUP BY"):
		usual, memory = 1800, 120
	}
	return time.Duration(usual * scatter * float64(time.Millisecond)), memory * scatter
}

// short truncates a statement to 200 bytes for the log.
func short(s string) string {
	if len(s) > 200 {
		return s[:197] + "..."
	}
	return s
}

// Consul serves the catalog and the health of a fleet under the name of a service, with blocking queries: a
// query whose index parameter is the current index waits for the next one, at most as long as its wait
// parameter states.
func (f *Fleet) Consul(service string) http.Handler {
	type entry struct {
		Node, Address, Datacenter, ServiceID string
		ServicePort                          int
		ServiceMeta                          map[string]string
	}
	type check struct{ CheckID, Status string }
	type health struct {
		Node    struct{ Node string }
		Service struct {
			ID   string
			Meta map[string]string
		}
		Checks []check
	}
	meta := func(m Member) map[string]string {
		all := map[string]string{}
		if m.State == Draining {
			all["draining"] = "true"
		}
		if m.Zone.Name != "" {
			all["zone"] = m.Zone.Name
		}
		if !m.Boot.IsZero() {
			all["boot_ms"] = strconv.FormatInt(m.Boot.UnixMilli(), 10)
		}
		return all
	}
	answer := func(body func([]Member) any) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
			if err != nil {
				wait = 0
			}
			all, now, ok := f.list(index(r.URL.Query().Get("index")), wait, r.Context().Done())
			if !ok {
				http.Error(w, "no cluster leader", http.StatusInternalServerError)
				return
			}
			w.Header().Set("X-Consul-Index", strconv.FormatUint(now, 10))
			_ = json.NewEncoder(w).Encode(body(all)) // fails only if the client has disconnected
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/catalog/service/"+service, answer(func(all []Member) any {
		list := []entry{}
		for _, m := range all {
			list = append(list, entry{"emulated", m.Addr.Addr().String(), "dc1", m.ID, int(m.Addr.Port()), meta(m)})
		}
		return list
	}))
	mux.Handle("/v1/health/service/"+service, answer(func(all []Member) any {
		list := []health{}
		for _, m := range all {
			status := "passing"
			if m.State == Gone {
				status = "critical"
			}
			h := health{Checks: []check{{"serfHealth", status}}}
			h.Node.Node, h.Service.ID, h.Service.Meta = "emulated", m.ID, meta(m)
			list = append(list, h)
		}
		return list
	}))
	return mux
}

// Listen opens a TCP listener at a loopback address. It rejects other addresses.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	if a, ok := ln.Addr().(*net.TCPAddr); !ok || !a.IP.IsLoopback() {
		_ = ln.Close()
		return nil, fmt.Errorf("emulator: listening at %s, want a loopback address", ln.Addr())
	}
	return ln, nil
}
