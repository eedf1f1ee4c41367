// Package consul watches a service in Consul by blocking queries to its catalog and health APIs, and
// publishes which engines are live, draining or departed.
package consul

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint"
	"gannetspur/internal/metrics"
	"gannetspur/policy"
)

// Options select the service to watch. They come from the deploy file.
type Options struct {
	Address string // address of the HTTP API, HOST:PORT
	Service string // name of the service
	Token   string // access token; "" for none
	Zone    string // zone of engines whose metadata has none; "" for the name of their datacenter
	Kind    string // kind of engines whose metadata has none
}

// Watcher watches one service. The catalog says which engines are registered and at which address;
// the health API says which of them may receive queries.
//
// A watcher belongs to the goroutine that owns the endpoint list. Watch starts two more goroutines,
// one for each API. Each runs one query after another, passes the results on by post, and ends with
// its context. Nothing waits for them to end: results that arrive after their context has ended are
// dropped.
type Watcher struct {
	post      func(func()) // runs a function on the goroutine that owns the endpoint list
	endpoints endpoint.Updater
	counters  *metrics.Counters
	log       *slog.Logger
	client    *http.Client

	opts       Options
	stopWatch  context.CancelFunc            // ends the current watch
	registered []registration                // nil until the catalog has responded
	health     map[string]policy.EngineState // state by engine ID; nil until the health API has responded
	published  map[string]core.Engine        // entries published last, by engine ID
	failing    map[string]bool               // API paths whose latest query failed
}

// New returns a watcher that updates the endpoints through post, which must run a function on the
// goroutine that owns the endpoint list.
func New(post func(func()), endpoints endpoint.Updater, counters *metrics.Counters, log *slog.Logger) *Watcher {
	return &Watcher{
		post: post, endpoints: endpoints, counters: counters, log: log,
		client:    &http.Client{Transport: &http.Transport{Proxy: nil}},
		stopWatch: func() {}, published: map[string]core.Engine{}, failing: map[string]bool{},
	}
}

// Restore sets the engines that another watcher has published, such as one of the previous process.
// Those that the first lists do not contain are then published as departed. Restore must be called
// before Watch.
func (w *Watcher) Restore(engines []core.Engine) {
	for _, e := range engines {
		w.published[e.ID] = e
	}
}

// Watch switches to the service of the options and watches it until the context ends or Watch is
// called again. Entries published before stay valid until the new lists have arrived; engines that
// these do not contain are then published as departed. Watch must be called on the goroutine that owns
// the endpoint list. It does not block.
func (w *Watcher) Watch(ctx context.Context, opts Options) {
	w.stopWatch()
	ctx, w.stopWatch = context.WithCancel(ctx)
	w.client.CloseIdleConnections()
	w.opts = opts
	w.registered = nil
	w.health = nil
	clear(w.failing)
	go poll(ctx, w.newQuery(opts, "/v1/catalog/service/"), w.setCatalog)
	go poll(ctx, w.newQuery(opts, "/v1/health/service/"), w.setHealth)
}

// setCatalog stores a new list of the catalog and publishes the changes.
func (w *Watcher) setCatalog(list []registration) {
	w.registered = append([]registration{}, list...) // not nil, even if the list is empty
	w.publish()
}

// setHealth stores a new list of the health API and publishes the changes.
func (w *Watcher) setHealth(list []healthEntry) {
	w.health = map[string]policy.EngineState{}
	for i := range list {
		w.health[list[i].engineID()] = list[i].state()
	}
	w.publish()
}

// publish updates the endpoints that changed, once both lists have arrived. An engine that is no
// longer in both lists has departed.
func (w *Watcher) publish() {
	if w.registered == nil || w.health == nil {
		return
	}
	w.counters.Inc("consul.events")
	current := w.merge()
	var changed []core.Engine
	for id, e := range current {
		if last, ok := w.published[id]; !ok || last != e {
			changed = append(changed, e)
		}
	}
	for id, e := range w.published {
		if _, ok := current[id]; !ok && e.State != policy.EngineDeparted {
			e.State = policy.EngineDeparted
			changed = append(changed, e)
		}
	}
	w.published = current
	if len(changed) == 0 {
		return
	}
	slices.SortFunc(changed, func(a, b core.Engine) int { return strings.Compare(a.ID, b.ID) })
	w.endpoints.UpdateEndpoints(policy.ListChanges, changed)
}

// queryFailed records that a query of an API path failed, and for how long the path has not answered.
func (w *Watcher) queryFailed(path string, silentFor time.Duration) {
	w.counters.Inc("consul.errors")
	w.failing[path] = true
	w.endpoints.EndpointsUnavailable(silentFor)
}

// queryAnswered records that a query of an API path was answered. The list is up to date once no path fails.
func (w *Watcher) queryAnswered(path string) {
	if !w.failing[path] {
		return
	}
	delete(w.failing, path)
	if len(w.failing) == 0 {
		w.endpoints.EndpointsCurrent()
	}
}

// merge joins both lists by engine ID. An engine that the health API does not list yet is left out.
func (w *Watcher) merge() map[string]core.Engine {
	merged := map[string]core.Engine{}
	for i := range w.registered {
		r := &w.registered[i]
		if !r.valid() {
			w.log.Warn("consul.invalid-registration", "consul", w.opts.Address, "error", "no service ID, or a port outside 1 to 65535")
			continue
		}
		e := r.engine(w.opts)
		state, known := w.health[e.ID]
		if !known {
			continue
		}
		e.State = state
		merged[e.ID] = e
	}
	return merged
}
