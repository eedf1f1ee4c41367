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
	"gannetspur/internal/metrics"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

var stateNames = [...]string{"departed", "draining", "live"}

type recorder chan string

func (r recorder) UpdateEndpoints(_ policy.ListMode, list []core.Engine) {
	var entries []string
	for _, e := range list {
		entries = append(entries, fmt.Sprintf("%s %s %s/%s %s", e.ID, e.Addr, e.Zone, e.Kind, stateNames[e.State]))
	}
	r <- strings.Join(entries, "; ")
}

// agent stands in for a Consul agent: it holds a query until its index passes the one that was
// asked with, and fails as many queries as a test says.
type agent struct {
	mu      sync.Mutex
	changed chan struct{}
	index   uint64
	failing int
	engines map[string]string // checks by service id, as "passing", "critical", "maintenance"
	queries []string          // path and token of each query
}

// locked runs f while no query is answered, and has those that are held looked at again.
func (a *agent) locked(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	for r.URL.Query().Get("index") == strconv.FormatUint(a.index, 10) && a.failing == 0 {
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
	if a.failing > 0 {
		a.failing--
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

// An engine is live, in maintenance, critical and deregistered in turn; queries fail meanwhile, and
// the index goes back as after a restore. Each change is published once.
func TestWatchesHealth(t *testing.T) {
	a := &agent{index: 50, engines: map[string]string{"e1": "passing"}, changed: make(chan struct{})}
	srv := httptest.NewServer(a)
	t.Cleanup(srv.Close)
	updates := make(recorder, 10)
	var owner sync.Mutex // stands for the goroutine that owns the endpoint list
	post := func(f func()) { owner.Lock(); defer owner.Unlock(); f() }
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
		{func() { a.failing = 2; a.index++; a.engines["e1"] = "critical" }, "departed"},
		{func() { a.index = 3; a.engines["e1"] = "warning" }, "live"},
		{func() { a.index++; delete(a.engines, "e1") }, "departed"},
	} {
		a.locked(step.change)
		select {
		case got := <-updates:
			if diff := cmp.Diff("n1/e1 127.0.0.1:70 hall-a/std-8 "+step.want, got); diff != "" {
				t.Errorf("update (-want +got):\n%s", diff)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("no update says that it is %s", step.want)
		}
	}
	post(func() {
		if n := counters.Get("consul.errors"); n != 2 {
			t.Errorf("consul.errors = %d, want 2", n)
		}
	})
	a.locked(func() {
		for _, path := range []string{"/v1/catalog/service/stock tok", "/v1/health/service/stock tok"} {
			if !strings.Contains(strings.Join(a.queries, "\n"), path) {
				t.Errorf("no query for %s", path)
			}
		}
	})
	select {
	case extra := <-updates:
		t.Errorf("one more update: %s", extra)
	default:
	}
}
