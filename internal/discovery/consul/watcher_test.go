package consul

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint/endpointtest"
	"gannetspur/internal/metrics"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// stateNames are the names of engine states by value.
var stateNames = [...]string{"departed", "draining", "live"}

// recorder is an endpoint.Updater that sends each update as text on the channel.
type recorder chan string

func (r recorder) UpdateEndpoints(_ policy.ListMode, list []core.Engine) {
	var entries []string
	for _, e := range list {
		entries = append(entries, fmt.Sprintf("%s %s %s/%s %s", e.ID, e.Addr, e.Zone, e.Kind, stateNames[e.State]))
	}
	r <- strings.Join(entries, "; ")
}

// EndpointsUnavailable and EndpointsCurrent implement endpoint.Updater.
func (recorder) EndpointsUnavailable(time.Duration) {}
func (recorder) EndpointsCurrent()                  {}

// fakeAgent is a Consul agent with one service. It blocks a query until the current index differs from
// that of the query, and fails as many queries as a test sets.
type fakeAgent struct {
	mu       sync.Mutex
	changed  chan struct{}     // closed at the next change
	index    uint64            // current index
	failures int               // number of queries still to fail
	engines  map[string]string // state of the check by service ID: "passing", "warning", "critical" or "maintenance"
	queries  []string          // path and token of each query
}

// update changes the agent by f and wakes the blocked queries.
func (a *fakeAgent) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	for r.URL.Query().Get("index") == strconv.FormatUint(a.index, 10) && a.failures == 0 {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	a.queries = append(a.queries, r.URL.Path+" "+r.Header.Get("X-Consul-Token"))
	if a.failures > 0 {
		a.failures--
		http.Error(w, "no leader", http.StatusInternalServerError)
		return
	}
	var list []string
	for id, check := range a.engines {
		if strings.HasPrefix(r.URL.Path, "/v1/catalog/") {
			list = append(list, fmt.Sprintf(`{"Node":"n1","Address":"127.0.0.1","Datacenter":"dc1","ServiceID":%q,"ServicePort":70,
				"ServiceMeta":{"kind":"std-8"},"NodeMeta":null}`, id))
			continue
		}
		checkID := "serf"
		if check == "maintenance" {
			checkID, check = "_service_maintenance:"+id, "critical"
		}
		list = append(list, fmt.Sprintf(`{"Node":{"Node":"n1"},"Service":{"ID":%q},"Checks":[{"CheckID":%q,"Status":%q}]}`, id, checkID, check))
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(a.index, 10))
	_, _ = fmt.Fprintf(w, "[%s]", strings.Join(list, ","))
}

// TestWatchStateChanges checks that each change of an engine is published once: it is live, in
// maintenance, critical, live again and deregistered. In between, queries fail, and the index decreases
// as it does after a restore of the servers.
func TestWatchStateChanges(t *testing.T) {
	a := &fakeAgent{index: 50, engines: map[string]string{"e1": "passing"}, changed: make(chan struct{})}
	srv := httptest.NewServer(a)
	t.Cleanup(srv.Close)
	updates := make(recorder, 10)
	var ownerMu sync.Mutex // in place of the goroutine that owns the endpoint list
	post := func(f func()) { ownerMu.Lock(); defer ownerMu.Unlock(); f() }
	counters := metrics.New()
	w := New(post, updates, counters, slog.New(slog.DiscardHandler))
	opts := Options{Address: strings.TrimPrefix(srv.URL, "http://"), Service: "stock", Token: "tok", Zone: "hall-a"}
	post(func() { w.Watch(t.Context(), opts) })
	for _, step := range []struct {
		change func()
		want   string
	}{
		{func() {}, "live"},
		{func() { a.index++; a.engines["e1"] = "maintenance" }, "draining"},
		{func() { a.failures = 2; a.index++; a.engines["e1"] = "critical" }, "departed"},
		{func() { a.index = 3; a.engines["e1"] = "warning" }, "live"},
		{func() { a.index++; delete(a.engines, "e1") }, "departed"},
	} {
		a.update(step.change)
		select {
		case got := <-updates:
			if diff := cmp.Diff("n1/e1 127.0.0.1:70 hall-a/std-8 "+step.want, got); diff != "" {
				t.Errorf("update (-want +got):\n%s", diff)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("no update within 10 s, want the state %s", step.want)
		}
	}
	post(func() {
		if n := counters.Get("consul.errors"); n != 2 {
			t.Errorf("consul.errors = %d, want 2", n)
		}
	})
	a.update(func() {
		for _, path := range []string{"/v1/catalog/service/stock tok", "/v1/health/service/stock tok"} {
			if !strings.Contains(strings.Join(a.queries, "\n"), path) {
				t.Errorf("queries = %q, want one for %s", a.queries, path)
			}
		}
	})
	select {
	case extra := <-updates:
		t.Errorf("additional update %q, want none", extra)
	default:
	}
}

// TestFailingQueriesMakeTheListUnavailable checks that the endpoints are told when queries fail, and when all are answered
// again.
func TestFailingQueriesMakeTheListUnavailable(t *testing.T) {
	agent := &fakeAgent{index: 50, failures: 3, engines: map[string]string{"e1": "passing"}, changed: make(chan struct{})}
	server := httptest.NewServer(agent)
	t.Cleanup(server.Close)
	list := make(endpointtest.Availability, 10)
	var ownerMu sync.Mutex // in place of the goroutine that owns the endpoint list
	post := func(f func()) { ownerMu.Lock(); defer ownerMu.Unlock(); f() }
	w := New(post, list, metrics.New(), slog.New(slog.DiscardHandler))
	post(func() {
		w.Watch(t.Context(), Options{Address: strings.TrimPrefix(server.URL, "http://"), Service: "stock"})
	})
	list.Expect(t, false, false, false, true)
}
