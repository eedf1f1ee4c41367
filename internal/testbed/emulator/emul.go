// Package emulator stands in for the systems that ringwood works with, from their published
// protocols: engines of both wires, the event bus, and Consul's catalogue and health API.
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

	"gannetspur/internal/scramauth"
	"gannetspur/internal/testbed/enginemodel"
)

// Work tells how long a statement takes, and the memory that it needs in MB.
type Work func(statement string) (time.Duration, float64)

// Options say what an engine is like.
type Options struct {
	Name string // in the ledger
	Work Work
	User string // whom it trusts, of the PostgreSQL wire; "": everybody
	// Machine, where there is one, has statements wait for each other as on a real engine;
	// Ask tells what each is. Work is not asked then.
	Machine  *Machine
	QueryFor func(statement string) enginemodel.Query
	Ledger   *Ledger                         // of effects; nil: none is kept
	Logins   *scramauth.Users                // who may log in, of the PostgreSQL wire, by SCRAM; nil: User alone, unasked
	TLS      *tls.Config                     // of the PostgreSQL wire; nil: encryption is declined
	Heard    func(session, statement string) // each statement of the PostgreSQL wire, before it runs; nil: nobody
	Log      *slog.Logger
}

// carry has a statement carried out, and tells its end unless stop closes first. running, if
// any, hears of its number at the machine.
func (o *Options) carry(statement string, change func(*enginemodel.Query), running func(id uint64), stop <-chan struct{}) (end Ended, took time.Duration, ok bool) {
	began := time.Now()
	if o.Machine == nil {
		took, memory := o.Work(statement)
		t := time.NewTimer(took)
		defer t.Stop()
		select {
		case <-t.C:
			return Ended{Used: memory}, took, true
		case <-stop:
			return Ended{}, 0, false
		}
	}
	q := o.QueryFor(statement)
	change(&q)
	done := make(chan Ended, 1)
	id := o.Machine.Run(q, func(e Ended) { done <- e })
	if running != nil {
		running(id)
	}
	select {
	case end = <-done:
		return end, q.Work, true
	case <-stop:
		o.Machine.GiveUp(id)
		return Ended{}, time.Since(began), false
	}
}

// Plain is a cost by what a reader would expect: a load or a summary takes seconds, a
// lookup a fifth of one, each text a little differently.
func Plain(statement string) (time.Duration, float64) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(statement)) // it never fails
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

func short(s string) string {
	if len(s) > 200 {
		return s[:197] + "..."
	}
	return s
}

// Consul serves the catalogue and the health of a fleet, by blocking queries: one that knows
// the present index waits for the next, or until its time is over.
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
			_ = json.NewEncoder(w).Encode(body(all)) // a client that has gone needs none
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

// Listen opens a listener at a loopback address.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	if a, ok := ln.Addr().(*net.TCPAddr); !ok || !a.IP.IsLoopback() {
		_ = ln.Close()
		return nil, fmt.Errorf("emulator: %s is no loopback address", ln.Addr())
	}
	return ln, nil
}
