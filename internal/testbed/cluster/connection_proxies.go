package cluster

import (
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/testbed/faultproxy"
)

// Side names what a front end has connections with.
type Side string

// Sides of a front end's connections.
const (
	Engines Side = "engines"
	Bus     Side = "bus"
	Clients Side = "clients"
)

// Sides are all of them.
var Sides = []Side{Engines, Bus, Clients}

// connectionProxies are the relays of one front end's connections: one to each engine, one to the event bus, and one that its clients come
// through. With the mesh's, nothing that a front end says or hears passes by a relay.
type connectionProxies struct{ all map[Side][]*faultproxy.Link }

// open opens a relay to an address and returns where it listens.
func (w *connectionProxies) open(side Side, to string, seed uint64) (string, error) {
	l, err := faultproxy.Listen(to, faultproxy.Options{Seed: seed})
	if err != nil {
		return "", fmt.Errorf("%s: %w", side, err)
	}
	if w.all == nil {
		w.all = map[Side][]*faultproxy.Link{}
	}
	w.all[side] = append(w.all[side], l)
	return l.Addr(), nil
}

// do has something happen to the ways on a side, of these numbers or, where none is given, of all.
func (w *connectionProxies) do(side Side, which []int, kind faultproxy.Kind, span time.Duration) {
	for i, l := range w.all[side] {
		if len(which) == 0 || slices.Contains(which, i) {
			l.Add(faultproxy.Fault{Kind: kind, For: span})
		}
	}
}

func (w *connectionProxies) close() {
	for _, all := range w.all {
		for _, l := range all {
			l.Close()
		}
	}
}
