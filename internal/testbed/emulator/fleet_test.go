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

func fleet(t *testing.T) *Fleet {
	t.Helper()
	f := NewFleet()
	for _, id := range []string{"one", "two"} {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Add(id, ln, ln.Addr().String(), func(ln net.Listener) { each(ln, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) }, nil); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(f.Close)
	return f
}

// The bus tells what a follower does not have yet, each change as it comes, and nothing
// while it is silent.
func TestFleetBus(t *testing.T) {
	f := fleet(t)
	if err := f.Apply(Drain, 1); err != nil {
		t.Fatal(err)
	}
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go f.Bus(ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
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
		t.Errorf("the first frame: %d %d %v", number, kind, p)
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
				t.Errorf("the second change: %d %v", number, p)
			}
			break
		}
	}
}

// A blocking query waits for the next index; an engine that died is critical and refuses
// connections, until it returns with the time of its start; a catalogue that is away says so.
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
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&list)
		return resp.StatusCode, resp.Header.Get("X-Consul-Index"), list
	}
	if status, now, list := get("0"); status != 200 || now != "1" || len(list) != 2 {
		t.Errorf("at first: %d %s %v", status, now, list)
	}
	addr := f.Members()[1].Addr.String()
	go func() { _ = f.Apply(Die, 2) }()
	if _, now, list := get("1"); now != "2" || list[1].Checks[0].Status != "critical" {
		t.Errorf("after a death: %s %v", now, list)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a dead engine accepts")
	}
	go func() { _ = f.Apply(Return, 2) }()
	if _, now, list := get("2"); now != "3" || list[1].Checks[0].Status != "passing" || list[1].Service.Meta["boot_ms"] == "" {
		t.Errorf("after its return: %s %v", now, list)
	}
	if c, err := net.Dial("tcp", addr); err != nil {
		t.Errorf("a returned engine: %v", err)
	} else {
		c.Close()
	}
	if err := f.Apply(ConsulAway, 0); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := get("0"); status != 500 {
		t.Errorf("away: %d", status)
	}
	for kind, engine := range map[string]int{"dance": 1, Drain: 3, Die: 0} {
		if f.Apply(kind, engine) == nil {
			t.Errorf("%s %d went through", kind, engine)
		}
	}
}
