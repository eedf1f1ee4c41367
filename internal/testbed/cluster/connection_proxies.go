package cluster

import (
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/testbed/faultproxy"
)

// Side names the other end of a front end's connections, as experiment files write it.
type Side string

// Sides of a front end's connections.
const (
	Engines Side = "engines"
	Bus     Side = "bus"
	Clients Side = "clients"
)

// Sides lists all sides.
var Sides = []Side{Engines, Bus, Clients}

// connectionProxies are the fault proxies of one front end's connections: one to each engine, one to the event bus, and one
// for its clients. Together with the mesh, they carry all traffic of a front end.
type connectionProxies struct{ all map[Side][]*faultproxy.Link }

// open opens a proxy to an address and returns the address where the proxy listens.
func (w *connectionProxies) open(side Side, to string, seed uint64) (string, error) {
	l, err := faultproxy.Listen(to, faultproxy.Options{Seed: seed})
	if err != nil {
		return "", fmt.Errorf("cannot open a proxy for side %s: %w", side, err)
	}
	if w.all == nil {
		w.all = map[Side][]*faultproxy.Link{}
	}
	w.all[side] = append(w.all[side], l)
	return l.Addr(), nil
}

// inject starts a fault on the proxies of a side. which holds the proxies' numbers; an empty one means all.
func (w *connectionProxies) inject(side Side, which []int, kind faultproxy.Kind, span time.Duration) {
	for i, l := range w.all[side] {
		if len(which) == 0 || slices.Contains(which, i) {
			l.Add(faultproxy.Fault{Kind: kind, For: span})
		}
	}
}

// close closes all proxies and their connections.
func (w *connectionProxies) close() {
	for _, all := range w.all {
		for _, l := range all {
			l.Close()
		}
	}
}
