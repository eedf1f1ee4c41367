package control

import (
	"encoding/json"
	"errors"
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/http1"

	"github.com/google/go-cmp/cmp"
)

// fakeGateway knows one engine, "known", and records what it is asked.
type fakeGateway struct {
	notReady error
	asked    []string
}

func (g *fakeGateway) Ready() error          { return g.notReady }
func (g *fakeGateway) Figures() core.Figures { return core.Figures{} }
func (g *fakeGateway) DisableEngine(id string) error {
	g.asked = append(g.asked, "disable "+id)
	return known(id)
}
func (g *fakeGateway) EnableEngine(id string) error {
	g.asked = append(g.asked, "enable "+id)
	return known(id)
}

func known(id string) error {
	if id != "known" {
		return errors.New("there is no engine of this id")
	}
	return nil
}

func TestCalls(t *testing.T) {
	for name, tt := range map[string]struct {
		call     http1.Request
		notReady error
		status   int
		body     string
		asked    []string
	}{
		"ready":          {call: http1.Request{Method: "GET", Path: "/ready"}, status: 200, body: "{}"},
		"not ready":      {call: http1.Request{Method: "GET", Path: "/ready"}, notReady: errors.New("it is stopping"), status: 503, body: `{"error":"it is stopping"}`},
		"disable":        {call: http1.Request{Method: "POST", Path: "/engines/disable", Body: []byte(`{"target":"known"}`)}, status: 200, body: "{}", asked: []string{"disable known"}},
		"enable":         {call: http1.Request{Method: "POST", Path: "/engines/enable", Body: []byte(`{"target":"known"}`)}, status: 200, body: "{}", asked: []string{"enable known"}},
		"unknown engine": {call: http1.Request{Method: "POST", Path: "/engines/enable", Body: []byte(`{"target":"other"}`)}, status: 404, body: `{"error":"there is no engine of this id"}`, asked: []string{"enable other"}},
		"no target":      {call: http1.Request{Method: "POST", Path: "/engines/enable", Body: []byte(`{}`)}, status: 400, body: `{"error":"target: missing"}`},
		"long body":      {call: http1.Request{Method: "POST", Path: "/engines/enable", Body: make([]byte, 4<<10+1)}, status: 413, body: `{"error":"the body is over 4096 bytes"}`},
		"wrong method":   {call: http1.Request{Method: "GET", Path: "/engines/enable"}, status: 405, body: `{"error":"/engines/enable is called by POST"}`},
		"unknown path":   {call: http1.Request{Method: "GET", Path: "/"}, status: 404, body: `{"error":"there are /ready, /metrics, /engines/disable and /engines/enable"}`},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := &fakeGateway{notReady: tt.notReady}
			server := &Server{gateway: gateway}
			got, fault := server.answer(tt.call)
			if fault != nil {
				got = faultAnswer(fault)
			}
			if got.Status != tt.status || string(got.Body) != tt.body || got.ContentType != "application/json" {
				t.Errorf("answer = %d %s %s, want %d application/json %s", got.Status, got.ContentType, got.Body, tt.status, tt.body)
			}
			if diff := cmp.Diff(tt.asked, gateway.asked); diff != "" {
				t.Errorf("asked of the gateway (-want +got):\n%s", diff)
			}
		})
	}
}

// Whatever a body holds, a target is read only of an object that names one.
func FuzzTarget(f *testing.F) {
	for _, b := range []string{`{"target":"s-00c41f7a"}`, `{"target":""}`, `{"target":null}`, `[]`, `{"target":"a"}{}`, "\xff"} {
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		id, fault := parseTarget(b)
		if (id == "") != (fault != nil) {
			t.Fatalf("parseTarget(%q) = %q, %v", b, id, fault)
		}
		if fault == nil && !json.Valid(b) {
			t.Fatalf("%q was read out of %q", id, b)
		}
	})
}
