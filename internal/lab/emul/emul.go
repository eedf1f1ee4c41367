// Package emul stands in for the systems that ringwood works with, from their published
// protocols: engines of both wires, the event bus, and Consul's catalogue and health API.
package emul

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"gannetspur/internal/lab/model"
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
	Machine *Machine
	Ask     func(statement string) model.Query
	Ledger  *Ledger // of effects; nil: none is kept
	Log     *slog.Logger
}

// carry has a statement carried out, and tells its end unless stop closes first.
func (o *Options) carry(statement string, change func(*model.Query), stop <-chan struct{}) (end Ended, took time.Duration, ok bool) {
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
	q := o.Ask(statement)
	change(&q)
	done := make(chan Ended, 1)
	id := o.Machine.Run(q, func(e Ended) { done <- e })
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

// Bus serves the event bus on a listener: there is never news, and an empty frame each
// second says so.
func Bus(ln net.Listener, last uint64) {
	each(ln, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 8)); err != nil {
			return
		}
		frame := binary.BigEndian.AppendUint32(nil, 9)
		frame = append(binary.BigEndian.AppendUint64(frame, last), 0)
		for {
			if _, err := c.Write(frame); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

// Instance is one registration in the catalogue.
type Instance struct {
	ID   string
	Addr *net.TCPAddr
}

// Consul serves the catalogue and the health of instances that never change. A query that
// knows the only index waits until its time is over, as the API's blocking queries do.
func Consul(service string, instances []Instance) http.Handler {
	type entry struct {
		Node, Address, Datacenter, ServiceID string
		ServicePort                          int
	}
	type check struct{ CheckID, Status string }
	type health struct {
		Node    struct{ Node string }
		Service struct{ ID string }
		Checks  []check
	}
	var catalogue []entry
	var checks []health
	for _, i := range instances {
		catalogue = append(catalogue, entry{"emulated", i.Addr.IP.String(), "dc1", i.ID, i.Addr.Port})
		h := health{Checks: []check{{"serfHealth", "passing"}}}
		h.Node.Node, h.Service.ID = "emulated", i.ID
		checks = append(checks, h)
	}
	answer := func(body any) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil && r.URL.Query().Get("index") == "1" {
				select {
				case <-time.After(wait):
				case <-r.Context().Done():
					return
				}
			}
			w.Header().Set("X-Consul-Index", "1")
			_ = json.NewEncoder(w).Encode(body) // a client that has gone needs none
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/catalog/service/"+service, answer(catalogue))
	mux.Handle("/v1/health/service/"+service, answer(checks))
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
