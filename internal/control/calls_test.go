package control

import (
	"encoding/json"
	"errors"
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/http1"

	"github.com/google/go-cmp/cmp"
)

// fakeGateway has one engine, "known", and records the engine calls it receives.
type fakeGateway struct {
	notReady error    // returned by Ready
	calls    []string // as "disable ID" or "enable ID"
}

func (g *fakeGateway) Ready() error      { return g.notReady }
func (g *fakeGateway) Stats() core.Stats { return core.Stats{} }
func (g *fakeGateway) DisableEngine(id string) error {
	g.calls = append(g.calls, "disable "+id)
	return known(id)
}
func (g *fakeGateway) EnableEngine(id string) error {
	g.calls = append(g.calls, "enable "+id)
	return known(id)
}

// known returns an error unless the fake gateway has the engine.
func known(id string) error {
	if id != "known" {
		return errors.New("no such engine")
	}
	return nil
}

// TestRequests checks the response to each kind of request, and what the gateway is told to do.
func TestRequests(t *testing.T) {
	for name, tt := range map[string]struct {
		request  http1.Request
		notReady error
		status   int
		body     string
		calls    []string
	}{
		"ready":          {request: http1.Request{Method: "GET", Path: "/ready"}, status: 200, body: "{}"},
		"not ready":      {request: http1.Request{Method: "GET", Path: "/ready"}, notReady: errors.New("shutting down"), status: 503, body: `{"error":"shutting down"}`},
		"disable":        {request: http1.Request{Method: "POST", Path: "/engines/disable", Body: []byte(`{"target":"known"}`)}, status: 200, body: "{}", calls: []string{"disable known"}},
		"enable":         {request: http1.Request{Method: "POST", Path: "/engines/enable", Body: []byte(`{"target":"known"}`)}, status: 200, body: "{}", calls: []string{"enable known"}},
		"unknown engine": {request: http1.Request{Method: "POST", Path: "/engines/enable", Body: []byte(`{"target":"other"}`)}, status: 404, body: `{"error":"no such engine"}`, calls: []string{"enable other"}},
		"no target":      {request: http1.Request{Method: "POST", Path: "/engines/enable", Body: []byte(`{}`)}, status: 400, body: `{"error":"target: missing"}`},
		"long body":      {request: http1.Request{Method: "POST", Path: "/engines/enable", Body: make([]byte, 4<<10+1)}, status: 413, body: `{"error":"body exceeds 4096 bytes"}`},
		"wrong method":   {request: http1.Request{Method: "GET", Path: "/engines/enable"}, status: 405, body: `{"error":"/engines/enable requires method POST"}`},
		"unknown path":   {request: http1.Request{Method: "GET", Path: "/"}, status: 404, body: `{"error":"unknown path: use /ready, /metrics, /engines/disable or /engines/enable"}`},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := &fakeGateway{notReady: tt.notReady}
			server := &Server{gateway: gateway}
			got, fault := server.handle(tt.request)
			if fault != nil {
				got = errorResponse(fault)
			}
			if got.Status != tt.status || string(got.Body) != tt.body || got.ContentType != "application/json" {
				t.Errorf("response = %d %s %s, want %d application/json %s", got.Status, got.ContentType, got.Body, tt.status, tt.body)
			}
			if diff := cmp.Diff(tt.calls, gateway.calls); diff != "" {
				t.Errorf("calls to the gateway (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzTarget checks that parseTarget returns either an id or an error for any body, and an id only from valid JSON.
func FuzzTarget(f *testing.F) {
	for _, b := range []string{`{"target":"s-00c41f7a"}`, `{"target":""}`, `{"target":null}`, `[]`, `{"target":"a"}{}`, "\xff"} {
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		id, fault := parseTarget(b)
		if (id == "") != (fault != nil) {
			t.Fatalf("parseTarget(%q) = %q, %v; want either an id or an error", b, id, fault)
		}
		if fault == nil && !json.Valid(b) {
			t.Fatalf("parseTarget(%q) = %q, want an error for invalid JSON", b, id)
		}
	})
}
