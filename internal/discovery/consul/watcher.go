// Package consul watches a service in Consul by blocking queries to its catalogue and health API,
// and tells which engines are live, draining or departed.
package consul

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint"
	"gannetspur/internal/metrics"
	"gannetspur/policy"
)

// Options come from the deploy file.
type Options struct {
	Address string // host:port of the HTTP API
	Service string
	Token   string // "": none
	Zone    string // of engines whose metadata name none
	Kind    string // of engines whose metadata name none
}

// Watcher watches one service: the catalogue tells what is registered and where, the health API
// whether it may be sent to. All of it belongs to the goroutine that owns the endpoint list, but
// for the two goroutines that Watch starts: each runs one query after the other, hands what it
// reads over by post, and ends with its context. Nobody waits for them: what they hand over once
// their context has ended is dropped.
type Watcher struct {
	post      func(func()) // to the goroutine that owns the endpoint list
	endpoints endpoint.Updater
	counters  *metrics.Counters
	log       *slog.Logger
	client    *http.Client

	opts       Options
	stopWatch  context.CancelFunc            // ends the present watch
	registered []registration                // nil: not known yet
	health     map[string]policy.EngineState // by engine id; nil: not known yet
	published  map[string]core.Engine        // the entries published last, by id
}

// New returns a watcher whose updates are made by way of post.
func New(post func(func()), endpoints endpoint.Updater, counters *metrics.Counters, log *slog.Logger) *Watcher {
	return &Watcher{
		post: post, endpoints: endpoints, counters: counters, log: log,
		client:    &http.Client{Transport: &http.Transport{Proxy: nil}},
		stopWatch: func() {}, published: map[string]core.Engine{},
	}
}

// Restore takes what another watcher has published: engines that the first lists lack have departed
// then. It comes before Watch.
func (w *Watcher) Restore(engines []core.Engine) {
	for _, e := range engines {
		w.published[e.ID] = e
	}
}

// Watch goes over to the service that the options name, and watches it until the context ends or
// Watch is called again. What was published before holds until the new lists are here: an engine
// that they lack has departed then. It is for the goroutine that owns the endpoint list and does
// not block.
func (w *Watcher) Watch(ctx context.Context, opts Options) {
	w.stopWatch()
	ctx, w.stopWatch = context.WithCancel(ctx)
	w.client.CloseIdleConnections()
	w.opts = opts
	w.registered = nil
	w.health = nil
	go poll(ctx, w.newQuery(opts, "/v1/catalog/service/"), w.takeCatalogue)
	go poll(ctx, w.newQuery(opts, "/v1/health/service/"), w.takeHealth)
}

func (w *Watcher) takeCatalogue(list []registration) {
	w.registered = append([]registration{}, list...) // not nil, also where nothing is registered
	w.publish()
}

func (w *Watcher) takeHealth(list []healthEntry) {
	w.health = map[string]policy.EngineState{}
	for i := range list {
		w.health[list[i].engineID()] = list[i].state()
	}
	w.publish()
}

// publish updates what has changed once both lists are here. An engine that is no longer registered
// has departed; one that the health API does not name yet is not listed.
func (w *Watcher) publish() {
	if w.registered == nil || w.health == nil {
		return
	}
	w.counters.Add("consul.events")
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

// merge joins both lists by the engine's id.
func (w *Watcher) merge() map[string]core.Engine {
	merged := map[string]core.Engine{}
	for i := range w.registered {
		r := &w.registered[i]
		if !r.valid() {
			w.log.Warn("consul.invalid-registration", "consul", w.opts.Address, "error", "it has no id or no port")
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
