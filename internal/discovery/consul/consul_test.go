package consul

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

var states = [...]string{"gone", "draining", "ready"}

type recorder chan string

func (r recorder) UpdateEndpoints(_ policy.ListMode, list []core.Engine) {
	var words []string
	for _, e := range list {
		words = append(words, fmt.Sprintf("%s %s %s/%s %s", e.ID, e.Addr, e.Zone, e.Kind, states[e.State]))
	}
	r <- strings.Join(words, "; ")
}

// agent is a stand-in for a Consul agent: it holds a query until its index passes
// the one that was asked with, and fails as many as it is told to.
type agent struct {
	mu      sync.Mutex
	changed chan struct{}
	index   uint64
	failing int
	engines map[string]string // checks by service id, as "passing", "critical", "maintenance"
	asked   []string
}

func (a *agent) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	for r.URL.Query().Get("index") == fmt.Sprint(a.index) && a.failing == 0 {
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
	a.asked = append(a.asked, r.URL.Path+" "+r.Header.Get("X-Consul-Token"))
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
	w.Header().Set("X-Consul-Index", fmt.Sprint(a.index))
	fmt.Fprintf(w, "[%s]", strings.Join(list, ","))
}

// An engine is ready, in maintenance, critical and deregistered in turn; queries
// fail meanwhile, and the index goes back as after a restore. Each change is told
// once.
func TestFollowsHealth(t *testing.T) {
	a := &agent{index: 50, engines: map[string]string{"e1": "passing"}, changed: make(chan struct{})}
	srv := httptest.NewServer(a)
	defer srv.Close()
	news := make(recorder, 10)
	var one sync.Mutex
	post := func(f func()) { one.Lock(); defer one.Unlock(); f() }
	counters := metrics.New()
	f := New(post, news, counters, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opts := Options{Address: strings.TrimPrefix(srv.URL, "http://"), Service: "stock", Token: "tok", Zone: "hall-a"}
	post(func() { f.Follow(ctx, opts) })
	for _, step := range []struct {
		change func()
		want   string
	}{
		{func() {}, "ready"},
		{func() { a.index++; a.engines["e1"] = "maintenance" }, "draining"},
		{func() { a.failing = 2; a.index++; a.engines["e1"] = "critical" }, "gone"},
		{func() { a.index = 3; a.engines["e1"] = "warning" }, "ready"},
		{func() { a.index++; delete(a.engines, "e1") }, "gone"},
	} {
		a.set(step.change)
		select {
		case got := <-news:
			if diff := cmp.Diff("n1/e1 127.0.0.1:70 hall-a/std-8 "+step.want, got); diff != "" {
				t.Error(diff)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("never told that it is %s", step.want)
		}
	}
	post(func() {
		if n := counters.Get("consul.errors"); n != 2 {
			t.Errorf("%d errors counted, want 2", n)
		}
	})
	a.set(func() {
		for _, path := range []string{"/v1/catalog/service/stock tok", "/v1/health/service/stock tok"} {
			if !strings.Contains(strings.Join(a.asked, "\n"), path) {
				t.Errorf("never asked %s", path)
			}
		}
	})
	select {
	case extra := <-news:
		t.Errorf("told once more: %s", extra)
	default:
	}
}
