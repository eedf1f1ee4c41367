// Package consul follows a service in Consul by blocking queries to its catalogue
// and health API, and tells the core which engines are ready, draining or gone.
package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/policy"
)

const (
	maxAnswer  = 8 << 20
	waitFor    = 30 * time.Second // a blocking query's own limit
	waitExtra  = 5 * time.Second  // a server may add to it
	firstPause = 100 * time.Millisecond
	mostPause  = 5 * time.Second
	// leastTurn is the least time between two queries that both brought news.
	// Guards against an index that changes without pause.
	leastTurn = 20 * time.Millisecond
)

// EndpointUpdater is what is told of the engines.
type EndpointUpdater interface {
	UpdateEndpoints(mode policy.ListMode, engines []core.Engine)
}

// Options come from the deploy file.
type Options struct {
	Address string // host:port of the HTTP API
	Service string
	Token   string // "": none
	Zone    string // of engines whose metadata name none
	Kind    string
}

// Follower follows one service: the catalogue tells what is registered and where,
// the health API whether it may be sent to.
type Follower struct {
	post   func(func()) // to the goroutine that owns the roster
	roster EndpointUpdater
	stats  *metrics.Counters
	log    *slog.Logger
	client *http.Client

	// These belong to the roster's goroutine. The lists are nil until told.
	opts       Options
	leave      context.CancelFunc // ends the present following
	registered []registration
	health     map[string]policy.EngineState
	known      map[string]core.Engine // what was told last, by id
}

// New returns a follower whose news are told by way of post.
func New(post func(func()), r EndpointUpdater, counters *metrics.Counters, l *slog.Logger) *Follower {
	return &Follower{
		leave: func() {}, post: post, roster: r, stats: counters, log: l,
		client: &http.Client{Transport: &http.Transport{Proxy: nil}}, known: map[string]core.Engine{},
	}
}

// Follow goes over to the service that the options name, and follows it until the
// context ends or Follow is called anew. What was told before holds until the new
// lists are here: an engine that they lack is gone then. It is for the roster's
// goroutine and does not block.
func (f *Follower) Follow(ctx context.Context, opts Options) {
	f.leave()
	ctx, f.leave = context.WithCancel(ctx)
	f.client.CloseIdleConnections()
	f.opts, f.registered, f.health = opts, nil, nil
	go watch(ctx, f, opts, "/v1/catalog/service/", func(list []registration) {
		f.registered = append([]registration{}, list...)
		f.merge()
	})
	go watch(ctx, f, opts, "/v1/health/service/", func(list []entry) {
		f.health = map[string]policy.EngineState{}
		for _, e := range list {
			f.health[e.Node.Node+"/"+e.Service.ID] = e.state()
		}
		f.merge()
	})
}

// Know takes what another follower has told: engines that the first lists lack are gone then.
// It comes before Follow.
func (f *Follower) Know(engines []core.Engine) {
	for _, e := range engines {
		f.known[e.ID] = e
	}
}

// watch makes blocking queries on one path and has the news taken on the roster's
// goroutine.
func watch[T any](ctx context.Context, f *Follower, opts Options, path string, take func([]T)) {
	index, pause := uint64(0), firstPause
	for ctx.Err() == nil {
		began := time.Now()
		var list []T
		next, err := f.ask(ctx, opts, path, index, &list)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			f.post(func() { f.stats.Add("consul.errors") })
			f.log.Warn("consul.failed", "consul", opts.Address, "path", path, "error", err, "again_in", pause)
			sleep(ctx, pause)
			pause = min(2*pause, mostPause)
			index = 0 // what changed meanwhile comes at once
			continue
		}
		pause = firstPause
		if next != index {
			f.post(func() {
				if ctx.Err() == nil { // else it has been left for another meanwhile
					take(list)
				}
			})
		}
		if next < index { // the servers were restored or replaced: counting starts anew
			index = 0
		} else {
			index = max(next, 1)
		}
		if rest := leastTurn - time.Since(began); rest > 0 {
			sleep(ctx, rest)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// registration is what is read of one element of the catalogue's answer.
type registration struct {
	Node, Address, Datacenter string
	NodeMeta                  map[string]string
	ServiceID, ServiceAddress string
	ServicePort               int
	ServiceMeta               map[string]string
}

// entry is what is read of one element of the health API's answer.
type entry struct {
	Node    struct{ Node string }
	Service struct {
		ID   string
		Meta map[string]string
	}
	Checks []struct{ CheckID, Status string }
}

// ask makes one blocking query and reads the answer into list.
func (f *Follower) ask(ctx context.Context, opts Options, path string, index uint64, list any) (next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, waitFor+waitExtra)
	defer cancel()
	u := url.URL{Scheme: "http", Host: opts.Address, Path: path + opts.Service,
		RawQuery: url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {waitFor.String()}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, err
	}
	if opts.Token != "" {
		req.Header.Set("X-Consul-Token", opts.Token)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return 0, fmt.Errorf("read the answer: %w", err)
	case len(body) > maxAnswer:
		return 0, fmt.Errorf("an answer of more than %d bytes", maxAnswer)
	case resp.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("status %s: %.100s", resp.Status, strings.TrimSpace(string(body)))
	}
	if next, err = strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64); err != nil {
		return 0, fmt.Errorf("X-Consul-Index: %w", err)
	}
	if err := json.Unmarshal(body, list); err != nil {
		return 0, fmt.Errorf("read the answer: %w", err)
	}
	return next, nil
}

func (f *Follower) engine(r *registration) core.Engine {
	out := core.Engine{Addr: net.JoinHostPort(first(r.ServiceAddress, r.Address), strconv.Itoa(r.ServicePort))}
	out.ID = r.Node + "/" + r.ServiceID // service ids are unique on a node only
	out.Zone = first(r.ServiceMeta["zone"], r.NodeMeta["zone"], f.opts.Zone, r.Datacenter)
	out.Kind = first(r.ServiceMeta["kind"], r.NodeMeta["kind"], f.opts.Kind)
	if ms, err := strconv.ParseInt(r.ServiceMeta["boot_ms"], 10, 64); err == nil && ms > 0 && ms < 1<<43 {
		out.Started, out.StartKnown = time.Duration(ms)*time.Millisecond, true
	}
	return out
}

// state maps the checks: in maintenance it drains, and so does one whose metadata
// say so; critical means that it can't be had; all else is ready.
func (e *entry) state() policy.EngineState {
	state := policy.EngineLive
	if e.Service.Meta["draining"] == "true" {
		state = policy.EngineDraining
	}
	for _, c := range e.Checks {
		switch {
		case c.CheckID == "_node_maintenance" || strings.HasPrefix(c.CheckID, "_service_maintenance"):
			return policy.EngineDraining
		case c.Status == "critical":
			state = policy.EngineDeparted
		}
	}
	return state
}

func first(names ...string) string {
	for _, n := range names {
		if n != "" {
			return n
		}
	}
	return ""
}

// merge tells what has changed. What is no longer registered is gone; what the
// health API has not spoken of yet is not ready.
func (f *Follower) merge() {
	if f.registered == nil || f.health == nil {
		return
	}
	f.stats.Add("consul.events")
	now := map[string]core.Engine{}
	var news []core.Engine
	for i := range f.registered {
		r := &f.registered[i]
		if r.ServiceID == "" || r.ServicePort < 1 || r.ServicePort > 65535 {
			f.log.Warn("consul.odd-registration", "consul", f.opts.Address, "why", "it has no id or no port, and is passed by")
			continue
		}
		e := f.engine(r)
		var told bool
		if e.State, told = f.health[e.ID]; !told {
			continue
		}
		now[e.ID] = e
		if old, ok := f.known[e.ID]; !ok || old != e {
			news = append(news, e)
		}
	}
	for id, e := range f.known {
		if _, ok := now[id]; !ok && e.State != policy.EngineDeparted {
			e.State = policy.EngineDeparted
			news = append(news, e)
		}
	}
	f.known = now
	if len(news) == 0 {
		return
	}
	slices.SortFunc(news, func(a, b core.Engine) int { return strings.Compare(a.ID, b.ID) })
	f.roster.UpdateEndpoints(policy.ListChanges, news)
}
