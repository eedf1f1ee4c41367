package link_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/link"
	"gannetspur/internal/site/message"
	"gannetspur/internal/testbed/sitelink"
	"gannetspur/internal/testbed/testca"
)

// node is a gateway of a test.
type node struct {
	*sitelink.Node
	t *testing.T
}

func (n node) must(err error) {
	n.t.Helper()
	if err != nil {
		n.t.Fatal(err)
	}
}

// ask puts a request to a node. The near one, which has no engine of its own, is asked once
// there is room at the other.
func (n node) ask(class, id, text, key string, within time.Duration) (*core.Request, sitelink.Answers) {
	n.t.Helper()
	if n.near() {
		n.must(n.Until(func(s forwarding.PeerStatus) bool { return s.Credit > 0 }))
	}
	return n.Ask(class, id, []byte(text), key, within)
}

func (n node) near() bool {
	name := ""
	n.Now(func() { name = n.Service.Overview().Name })
	return name == sitelink.Near.String()
}

func want(t *testing.T, a sitelink.Answers, v core.Verdict) core.Answer {
	t.Helper()
	got := next(t, a)
	if got.Verdict != v {
		t.Fatalf("%+v, want %v", got, v)
	}
	return got
}

// next waits for something that must come.
func next[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("it never came")
	}
	return v
}

func rows(statement []byte) []byte { return append([]byte("rows of "), statement...) }

// pair starts two nodes that know each other; the near one has no engine.
func pair(t *testing.T) (ca *testca.Authority, dir string, a, b node, serial int64) {
	t.Helper()
	dir = t.TempDir()
	ca, serial, err := sitelink.Keys(dir)
	if err != nil {
		t.Fatal(err)
	}
	p, err := config.LoadPostgres("../../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	x, y, err := sitelink.Pair(dir, sitelink.Options{Settings: p.SiteSettings.Policy, Engines: 1, Pack: true, Answer: rows}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Close(); y.Close() })
	return ca, dir, node{x, t}, node{y, t}, serial
}

// stopAnswering has the node's engine answer nothing by itself.
func (n node) stopAnswering() { n.Now(func() { n.Answer = nil }) }

// startAnswering has it answer again.
func (n node) startAnswering() { n.Now(func() { n.Answer = rows }) }

// A request crosses, is served and comes back whole, a large one packed; a client that leaves
// has it given up there; one whose time is over has its answer, and the late one is dropped.
func TestCrossing(t *testing.T) {
	_, _, a, b, _ := pair(t)
	large := strings.Repeat("a line of rows\n", 100_000)
	for id, text := range map[string]string{"small": "SELECT 1", "large": large} {
		_, got := a.ask("lookup", id, text, "", 3*time.Second)
		if r := want(t, got, core.Served).Result.(sitelink.Text); string(r) != "rows of "+text {
			t.Errorf("%s: %d bytes came back", id, len(r))
		}
	}
	b.stopAnswering()
	r, _ := a.ask("lookup", "leaves", "SELECT 2", "", 3*time.Second)
	next(t, b.Sent)
	a.Now(func() { a.Core.ClientDisconnected(r) })
	if id := next(t, b.Dropped); id != "leaves" {
		t.Errorf("%q was given up", id)
	}
	_, got := a.ask("write", "late", "UPDATE", "", 300*time.Millisecond)
	one := next(t, b.Sent)
	if left := one.Request.Deadline; left > b.Loop.Now()+300*time.Millisecond {
		t.Error("the other site has more time than the client")
	}
	if ans := want(t, got, core.Failed); !ans.InDoubt {
		t.Errorf("%+v of a write that may have run", ans)
	}
}

// The reply to a load is lost and its site falls silent: it is answered for here, long before
// its client gives up. What it is once the window is over, internal/testbed/simulation plays.
func TestLostReply(t *testing.T) {
	_, _, a, b, _ := pair(t)
	b.stopAnswering()
	_, got := a.ask("load", "load", "INSERT", "key-1", 10*time.Second)
	next(t, b.Sent)
	b.Now(func() { time.Sleep(1200 * time.Millisecond) }) // the process stands still: nothing is read, nothing said
	b.startAnswering()
	began := time.Now()
	want(t, got, core.Rejected) // with no engine here the module turns it away; its key drops a repeat
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("its client heard %v later", took)
	}
	a.must(a.Count("site.taken-back.silent", 1))
	a.must(a.Until(func(s forwarding.PeerStatus) bool { return s.State == "up" }))
	_, got = a.ask("load", "again", "INSERT", "key-1", 3*time.Second) // within its window
	want(t, got, core.Served)
}

// Keys are replaced while a request is out: it ends on the old link, the next goes on a new one.
// A gateway whose certificate is revoked is dropped at once, and can't come back.
func TestKeysReplaced(t *testing.T) {
	ca, dir, a, b, serial := pair(t)
	b.stopAnswering()
	_, got := a.ask("lookup", "out", "SELECT 1", "", 8*time.Second)
	out := next(t, b.Sent)
	if _, err := ca.Issue(dir, "near", "a", "near", testca.DefaultExpiry()); err != nil {
		t.Fatal(err)
	}
	a.Now(func() {
		if err := a.Runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	a.must(a.Count("site.links", 2))
	b.Now(func() { b.Core.EndAttempt(out, core.OutcomeServed, core.Report{Result: sitelink.Text("rows")}) })
	want(t, got, core.Served)
	b.startAnswering()
	_, got = a.ask("lookup", "next", "SELECT 1", "", 3*time.Second)
	want(t, got, core.Served)
	a.must(a.Count("site.links-ended", 1)) // the old one, once nothing is on it

	b.Now(func() { b.Runner.SetPeers(nil) }) // it is named no more, and named again
	a.must(a.Until(func(s forwarding.PeerStatus) bool { return s.State == "silent" }))
	b.Now(func() { b.Runner.SetPeers([]link.Peer{{Name: sitelink.Near}}) })
	a.must(a.Until(func(s forwarding.PeerStatus) bool { return s.State == "up" }))

	ca.Revoke(serial)
	if err := ca.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	a.Now(func() {
		if err := a.Runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	a.must(a.Until(func(s forwarding.PeerStatus) bool { return s.State == "silent" }))
	a.must(a.Count("site.link-failed", 1))
	_, got = a.ask("lookup", "alone", "SELECT 1", "", 3*time.Second)
	want(t, got, core.Rejected)
}

// Who can't prove to be a peer, or says what can't be, has no link and does no harm.
func TestHostilePeers(t *testing.T) {
	ca, dir, a, b, _ := pair(t)
	other, err := testca.New("another")
	if err != nil {
		t.Fatal(err)
	}
	revoked, err := ca.Issue(dir, "taken-back", "a", "near", testca.DefaultExpiry())
	ca.Revoke(revoked)
	_, err1 := ca.Issue(dir, "expired", "a", "near", time.Now().Add(-time.Minute))
	_, err2 := ca.Issue(dir, "stranger", "c", "stranger", testca.DefaultExpiry())
	_, err3 := other.Issue(dir, "forged", "a", "near", testca.DefaultExpiry())
	_, err4 := ca.Issue(dir, "good", "a", "near", testca.DefaultExpiry())
	if err := errors.Join(err, err1, err2, err3, err4, ca.WriteFiles(dir)); err != nil {
		t.Fatal(err)
	}
	b.Now(func() {
		if err := b.Runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	greet := func(version uint32, g message.Hello) []byte {
		enc, err := message.Append(nil, &g)
		if err != nil {
			t.Fatal(err)
		}
		return frame.Append(nil, frame.Frame{Kind: frame.Hello, Value: version, Body: enc})
	}
	good := greet(frame.Version, message.Hello{Site: "a", Gateway: "near", Format: "texts"})
	var endless []byte
	enc, err := message.Append(nil, &message.Request{ID: "i", Class: "lookup", Idempotency: 2, RemainingUS: 1e6, MaxSends: 1, Size: message.MaxBodySize})
	if err != nil {
		t.Fatal(err)
	}
	endless = append(endless, good...)
	endless = frame.Append(endless, frame.Frame{Kind: frame.Request, Stream: 1, Body: enc})
	for range 300 {
		endless = frame.Append(endless, frame.Frame{Kind: frame.Data, Stream: 1, Body: make([]byte, frame.MaxBodySize)})
	}
	for name, tt := range map[string]struct {
		keys string // file of the certificate; "": none
		alpn string
		say  []byte // once the handshake is over; nil: it must fail
	}{
		"no TLS":              {"-", "", []byte("GET / HTTP/1.1\r\n\r\n")},
		"no certificate":      {"", "ringwood-site/1", nil},
		"expired":             {"expired", "ringwood-site/1", nil},
		"revoked":             {"taken-back", "ringwood-site/1", nil},
		"another authority's": {"forged", "ringwood-site/1", nil},
		"no peer":             {"stranger", "ringwood-site/1", nil},
		"another protocol":    {"good", "h2", nil},
		"another version":     {"good", "ringwood-site/1", greet(2, message.Hello{Site: "a", Gateway: "near", Format: "texts"})},
		"another name":        {"good", "ringwood-site/1", greet(frame.Version, message.Hello{Site: "a", Gateway: "other", Format: "texts"})},
		"another form":        {"good", "ringwood-site/1", greet(frame.Version, message.Hello{Site: "a", Gateway: "near", Format: "postgres"})},
		"garbage":             {"good", "ringwood-site/1", []byte(strings.Repeat("\xff", 1000))},
		"without end":         {"good", "ringwood-site/1", endless},
	} {
		c, err := net.Dial("tcp", b.Runner.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if tt.keys != "-" {
			cfg := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{tt.alpn}}
			if tt.keys != "" {
				cert, err := tls.LoadX509KeyPair(filepath.Join(dir, tt.keys+".pem"), filepath.Join(dir, tt.keys+".key"))
				if err != nil {
					t.Fatal(err)
				}
				cfg.Certificates = []tls.Certificate{cert}
			}
			c = tls.Client(c, cfg)
		}
		_, _ = c.Write(tt.say) // it may be closed by then
		if _, err := io.Copy(io.Discard, c); err != nil && errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		var timeout net.Error
		if _, err := c.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%s: it was not ended in 5 s", name)
		}
		_ = c.Close()
	}
	b.Now(func() {
		if n := b.Service.Overview().Peers[0].Served; n != 0 {
			t.Errorf("%d requests of them are open", n)
		}
	})
	_, got := a.ask("lookup", "after", "SELECT 1", "", 3*time.Second)
	want(t, got, core.Served)
}

// Keys that can't be used are named with their file, and change nothing.
func TestBadKeys(t *testing.T) {
	ca, err := testca.New("test")
	if err != nil {
		t.Fatal(err)
	}
	other, err := testca.New("other")
	if err != nil {
		t.Fatal(err)
	}
	dir, wrong := t.TempDir(), t.TempDir()
	_, err1 := ca.Issue(dir, "far", "b", "far", testca.DefaultExpiry())
	_, err2 := ca.Issue(dir, "near", "a", "near", testca.DefaultExpiry())
	if err := errors.Join(err1, err2, ca.WriteFiles(dir), other.WriteFiles(wrong)); err != nil {
		t.Fatal(err)
	}
	f := sitelink.Files(dir, "far")
	if _, err := link.LoadKeys(f, sitelink.Far); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]link.Files{
		"no certificate":     {Certificate: "nowhere", Key: f.Key, Authority: f.Authority},
		"another's key":      {Certificate: f.Certificate, Key: filepath.Join(dir, "near.key"), Authority: f.Authority},
		"another gateway's":  sitelink.Files(dir, "near"),
		"no authority":       {Certificate: f.Certificate, Key: f.Key, Authority: f.Key},
		"a list by another":  {Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Revoked: filepath.Join(wrong, "revoked.pem")},
		"a list that isn't":  {Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Revoked: f.Key},
		"a list that is off": {Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Revoked: "nowhere"},
	} {
		if _, err := link.LoadKeys(bad, sitelink.Far); !errors.Is(err, link.ErrKeys) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
