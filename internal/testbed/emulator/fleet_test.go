package emulator

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// fleet returns a fleet of two engines that discard their input.
func fleet(t *testing.T) *Fleet {
	t.Helper()
	f := NewFleet()
	for _, id := range []string{"one", "two"} {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Add(id, ln, ln.Addr().String(), func(ln net.Listener) { serveEach(ln, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) }, nil); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(f.Close)
	return f
}

// TestFleetBus verifies that the bus sends a subscriber the events that it lacks, and each change as it
// occurs, but nothing while it is silent.
func TestFleetBus(t *testing.T) {
	f := fleet(t)
	if err := f.Apply(Drain, 1); err != nil {
		t.Fatal(err)
	}
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go f.Bus(ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Write(binary.BigEndian.AppendUint64(nil, 1))
	in := bufio.NewReader(c)
	next := func() (number uint64, kind byte, payload []byte) {
		head := make([]byte, 13)
		if _, err := io.ReadFull(in, head); err != nil {
			t.Fatal(err)
		}
		payload = make([]byte, binary.BigEndian.Uint32(head)-9)
		if _, err := io.ReadFull(in, payload); err != nil {
			t.Fatal(err)
		}
		return binary.BigEndian.Uint64(head[4:]), head[12], payload
	}
	if number, kind, p := next(); number != 2 || kind != 2 || len(p) != 27 || p[3] != 1 || State(p[10]) != Draining {
		t.Errorf("first frame: number %d, kind %d, payload %v, want number 2, kind 2, engine 1 draining", number, kind, p)
	}
	if err := f.Apply(BusSilent, 0); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(Die, 2); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(BusSpeaks, 0); err != nil {
		t.Fatal(err)
	}
	for {
		if number, kind, p := next(); kind == 2 {
			if number != 3 || p[3] != 2 || State(p[10]) != Gone {
				t.Errorf("second event: number %d, payload %v, want number 3, engine 2 gone", number, p)
			}
			break
		}
	}
}

// TestFleetConsul verifies that a blocking query waits for the next index, that an engine that died is
// critical and refuses connections until it returns with its start time, and that an unavailable catalog
// answers with an error. Unknown actions and engines are rejected.
func TestFleetConsul(t *testing.T) {
	f := fleet(t)
	srv := httptest.NewServer(f.Consul("s"))
	defer srv.Close()
	type health struct {
		Service struct {
			ID   string
			Meta map[string]string
		}
		Checks []struct{ Status string }
	}
	get := func(index string) (status int, now string, list []health) {
		resp, err := http.Get(srv.URL + "/v1/health/service/s?wait=20s&index=" + index)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		_ = json.NewDecoder(resp.Body).Decode(&list)
		return resp.StatusCode, resp.Header.Get("X-Consul-Index"), list
	}
	if status, now, list := get("0"); status != 200 || now != "1" || len(list) != 2 {
		t.Errorf("first query: status %d, index %s, engines %v, want status 200, index 1, two engines", status, now, list)
	}
	addr := f.Members()[1].Addr.String()
	go func() { _ = f.Apply(Die, 2) }()
	if _, now, list := get("1"); now != "2" || list[1].Checks[0].Status != "critical" {
		t.Errorf("after Die: index %s, engines %v, want index 2, second engine critical", now, list)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("a connection to a dead engine succeeded, want an error")
	}
	go func() { _ = f.Apply(Return, 2) }()
	if _, now, list := get("2"); now != "3" || list[1].Checks[0].Status != "passing" || list[1].Service.Meta["boot_ms"] == "" {
		t.Errorf("after Return: index %s, engines %v, want index 3, second engine passing with boot_ms", now, list)
	}
	if c, err := net.Dial("tcp", addr); err != nil {
		t.Errorf("connection to a returned engine: error %v, want none", err)
	} else {
		_ = c.Close()
	}
	if err := f.Apply(ConsulAway, 0); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := get("0"); status != 500 {
		t.Errorf("unavailable catalog: status %d, want 500", status)
	}
	for kind, engine := range map[string]int{"dance": 1, Drain: 3, Die: 0} {
		if f.Apply(kind, engine) == nil {
			t.Errorf("Apply(%q, %d) succeeded, want an error", kind, engine)
		}
	}
}
