package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// consul is a stand-in for Consul's catalogue and health API, with blocking queries.
type consul struct {
	rig     *rig
	addr    string
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
	members []*member
}

// member is a registered engine.
type member struct {
	engine   *engine
	draining bool
	critical bool
	gone     bool
}

func (r *rig) consul(engines ...*engine) *consul {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	c := &consul{rig: r, addr: ln.Addr().String(), index: 1, changed: make(chan struct{})}
	for _, e := range engines {
		c.members = append(c.members, &member{engine: e})
	}
	go func() { _ = http.Serve(ln, c) }()
	return c
}

// set changes the entry of an engine.
func (c *consul) set(e *engine, change func(*member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.engine == e {
			change(m)
			c.rig.logf("consul: %s draining=%v critical=%v gone=%v", e.name, m.draining, m.critical, m.gone)
		}
	}
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *consul) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(wait)
	c.mu.Lock()
	for waiting := true; waiting && index > 0 && c.index <= index; {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
		c.mu.Lock()
	}
	list := []map[string]any{}
	for _, m := range c.members {
		if m.gone {
			continue
		}
		host, port, _ := net.SplitHostPort(m.engine.listener.Addr().String())
		number, _ := strconv.Atoi(port)
		meta := map[string]string{"zone": m.engine.zone}
		if m.draining {
			meta["draining"] = "true"
		}
		if strings.HasPrefix(r.URL.Path, "/v1/catalog/") {
			list = append(list, map[string]any{
				"Node": "node-" + m.engine.name, "Address": host, "Datacenter": "dc1", "ServiceID": m.engine.name,
				"ServiceAddress": host, "ServicePort": number, "ServiceMeta": meta,
			})
			continue
		}
		status := "passing"
		if m.critical {
			status = "critical"
		}
		list = append(list, map[string]any{
			"Node": map[string]any{"Node": "node-" + m.engine.name}, "Service": map[string]any{"ID": m.engine.name, "Meta": meta},
			"Checks": []map[string]any{{"CheckID": "alive", "Status": status}},
		})
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(c.index, 10))
	c.mu.Unlock()
	_ = json.NewEncoder(w).Encode(list)
}
