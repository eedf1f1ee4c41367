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

// node is a gateway with its test.
type node struct {
	*sitelink.Node
	t *testing.T
}

// must fails the test on an error.
func (n node) must(err error) {
	n.t.Helper()
	if err != nil {
		n.t.Fatal(err)
	}
}

// send sends a request to a node. If it is the near one, which has no engine, it first waits until the other
// node has granted work to it.
func (n node) send(class, id, text, key string, within time.Duration) (*core.Request, sitelink.Answers) {
	n.t.Helper()
	if n.isNear() {
		n.must(n.Until(func(s forwarding.PeerStatus) bool { return s.Credit > 0 }))
	}
	return n.Ask(class, id, []byte(text), key, within)
}

// isNear reports whether this is the near node.
func (n node) isNear() bool {
	name := ""
	n.Now(func() { name = n.Service.Overview().Name })
	return name == sitelink.Near.String()
}

// wantVerdict waits for an answer and checks its verdict.
func wantVerdict(t *testing.T, answers sitelink.Answers, verdict core.Verdict) core.Answer {
	t.Helper()
	got := next(t, answers)
	if got.Verdict != verdict {
		t.Fatalf("answer = %+v, want verdict %v", got, verdict)
	}
	return got
}

// next receives the next value, and fails the test if there is none within 10 s.
func next[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("received nothing within 10 s, want a value")
	}
	return v
}

// rows returns the result of a statement at the test's engine.
func rows(statement []byte) []byte { return append([]byte("rows of "), statement...) }

// pair starts two nodes that are peers: a, the near one without an engine, and b with one. dir holds their
// keys; serial is the serial number of b's certificate.
func pair(t *testing.T) (ca *testca.Authority, dir string, a, b node, serial int64) {
	t.Helper()
	dir = t.TempDir()
	ca, serial, err := sitelink.Keys(dir)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.LoadPostgres("../../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	near, far, err := sitelink.Pair(dir, sitelink.Options{Settings: settings.SiteSettings.Policy, Engines: 1, Pack: true, Answer: rows}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return ca, dir, node{near, t}, node{far, t}, serial
}

// stopAnswering stops the node's engine from answering.
func (n node) stopAnswering() { n.Now(func() { n.Answer = nil }) }

// startAnswering lets the node's engine answer again.
func (n node) startAnswering() { n.Now(func() { n.Answer = rows }) }

// Forwarded requests return their complete result, a large one compressed. When a client disconnects, its
// request is cancelled at the other site. The other site gets no more time than the client, and a write
// without an answer before its deadline is reported as failed and in doubt.
func TestForwardedRequest(t *testing.T) {
	_, _, a, b, _ := pair(t)
	large := strings.Repeat("a line of rows\n", 100_000)
	for id, text := range map[string]string{"small": "SELECT 1", "large": large} {
		_, got := a.send("lookup", id, text, "", 3*time.Second)
		if r := wantVerdict(t, got, core.Served).Result.(sitelink.Text); string(r) != "rows of "+text {
			t.Errorf("%s: result of %d bytes, want %d bytes with equal content", id, len(r), len("rows of "+text))
		}
	}
	b.stopAnswering()
	r, _ := a.send("lookup", "leaves", "SELECT 2", "", 3*time.Second)
	next(t, b.Sent)
	a.Now(func() { a.Core.ClientDisconnected(r) })
	if id := next(t, b.Dropped); id != "leaves" {
		t.Errorf("cancelled request = %q, want %q", id, "leaves")
	}
	_, got := a.send("write", "late", "UPDATE", "", 300*time.Millisecond)
	attempt := next(t, b.Sent)
	if deadline := attempt.Request.Deadline; deadline > b.Loop.Now()+300*time.Millisecond {
		t.Errorf("deadline at the other site = %v, want at most 300ms from now", deadline)
	}
	if ans := wantVerdict(t, got, core.Failed); !ans.InDoubt {
		t.Errorf("answer = %+v, want in doubt for a write that may have run", ans)
	}
}

// A site stops replying while it has a forwarded load. The local gateway answers the client within 2 s,
// long before the client's timeout, and a repeat with the same key within the deduplication window is
// served. internal/testbed/simulation covers a repeat after the window.
func TestUnresponsiveSite(t *testing.T) {
	_, _, a, b, _ := pair(t)
	b.stopAnswering()
	_, got := a.send("load", "load", "INSERT", "key-1", 10*time.Second)
	next(t, b.Sent)
	b.Now(func() { time.Sleep(1200 * time.Millisecond) }) // blocks the process: it neither reads nor writes
	b.startAnswering()
	start := time.Now()
	wantVerdict(t, got, core.Rejected) // there is no engine here; the idempotency key makes a repeat safe
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("answer after %v, want at most 2s", took)
	}
	a.must(a.Count("site.taken-back.silent", 1))
	a.must(a.Until(func(s forwarding.PeerStatus) bool { return s.State == "up" }))
	_, got = a.send("load", "again", "INSERT", "key-1", 3*time.Second) // within the deduplication window
	wantVerdict(t, got, core.Served)
}

// Keys are replaced while a forwarded request is open: it completes on the old link, and the next request
// uses a new link. A peer that is removed from the configuration and added again reconnects. A gateway whose
// certificate is revoked is disconnected and cannot reconnect.
func TestReplaceKeys(t *testing.T) {
	ca, dir, a, b, serial := pair(t)
	b.stopAnswering()
	_, got := a.send("lookup", "out", "SELECT 1", "", 8*time.Second)
	attempt := next(t, b.Sent)
	if _, err := ca.Issue(dir, "near", "a", "near", testca.DefaultExpiry()); err != nil {
		t.Fatal(err)
	}
	a.Now(func() {
		if err := a.Runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	a.must(a.Count("site.links", 2))
	b.Now(func() { b.Core.EndAttempt(attempt, core.OutcomeServed, core.Report{Result: sitelink.Text("rows")}) })
	wantVerdict(t, got, core.Served)
	b.startAnswering()
	_, got = a.send("lookup", "next", "SELECT 1", "", 3*time.Second)
	wantVerdict(t, got, core.Served)
	a.must(a.Count("site.links-ended", 1)) // the old link, once it has no open requests

	b.Now(func() { b.Runner.SetPeers(nil) }) // remove the peer, and add it again below
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
	_, got = a.send("lookup", "alone", "SELECT 1", "", 3*time.Second)
	wantVerdict(t, got, core.Rejected)
}

// Connections that cannot prove to be a peer, or that send invalid input, are closed and leave no open
// requests, and later requests are served.
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
	hello := func(version uint32, g message.Hello) []byte {
		encoded, err := message.Append(nil, &g)
		if err != nil {
			t.Fatal(err)
		}
		return frame.Append(nil, frame.Frame{Kind: frame.Hello, Value: version, Body: encoded})
	}
	good := hello(frame.Version, message.Hello{Site: "a", Gateway: "near", Format: "texts"})
	var oversized []byte
	encoded, err := message.Append(nil, &message.Request{ID: "i", Class: "lookup", Idempotency: 2, RemainingUS: 1e6, MaxSends: 1, Size: message.MaxBodySize})
	if err != nil {
		t.Fatal(err)
	}
	oversized = append(oversized, good...)
	oversized = frame.Append(oversized, frame.Frame{Kind: frame.Request, Stream: 1, Body: encoded})
	for range 300 {
		oversized = frame.Append(oversized, frame.Frame{Kind: frame.Data, Stream: 1, Body: make([]byte, frame.MaxBodySize)})
	}
	for name, tt := range map[string]struct {
		keys string // name of the certificate's files; "": no certificate, "-": no TLS
		alpn string // application protocol
		send []byte // input after the handshake; nil: none, the handshake must fail
	}{
		"no TLS":                        {"-", "", []byte("GET / HTTP/1.1\r\n\r\n")},
		"no certificate":                {"", "ringwood-site/1", nil},
		"expired":                       {"expired", "ringwood-site/1", nil},
		"revoked":                       {"taken-back", "ringwood-site/1", nil},
		"unknown authority":             {"forged", "ringwood-site/1", nil},
		"not a peer":                    {"stranger", "ringwood-site/1", nil},
		"wrong protocol":                {"good", "h2", nil},
		"unsupported version":           {"good", "ringwood-site/1", hello(2, message.Hello{Site: "a", Gateway: "near", Format: "texts"})},
		"name differs from certificate": {"good", "ringwood-site/1", hello(frame.Version, message.Hello{Site: "a", Gateway: "other", Format: "texts"})},
		"wrong format":                  {"good", "ringwood-site/1", hello(frame.Version, message.Hello{Site: "a", Gateway: "near", Format: "postgres"})},
		"garbage":                       {"good", "ringwood-site/1", []byte(strings.Repeat("\xff", 1000))},
		"data above announced size":     {"good", "ringwood-site/1", oversized},
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
		_, _ = c.Write(tt.send) // the connection may already be closed
		if _, err := io.Copy(io.Discard, c); err != nil && errors.Is(err, net.ErrClosed) {
			t.Errorf("%s: read error = %v, want the peer to close the connection", name, err)
		}
		var timeout net.Error
		if _, err := c.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%s: connection still open after 5 s, want closed", name)
		}
		_ = c.Close()
	}
	b.Now(func() {
		if n := b.Service.Overview().Peers[0].Served; n != 0 {
			t.Errorf("open requests of hostile peers = %d, want 0", n)
		}
	})
	_, got := a.send("lookup", "after", "SELECT 1", "", 3*time.Second)
	wantVerdict(t, got, core.Served)
}

// Unusable key files are reported as ErrKeys.
func TestInvalidKeys(t *testing.T) {
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
		"missing certificate":                  {Certificate: "nowhere", Key: f.Key, Authority: f.Authority},
		"key of another certificate":           {Certificate: f.Certificate, Key: filepath.Join(dir, "near.key"), Authority: f.Authority},
		"certificate of another gateway":       sitelink.Files(dir, "near"),
		"authority without certificate":        {Certificate: f.Certificate, Key: f.Key, Authority: f.Key},
		"revocation list of another authority": {Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Revoked: filepath.Join(wrong, "revoked.pem")},
		"invalid revocation list":              {Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Revoked: f.Key},
		"missing revocation list":              {Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Revoked: "nowhere"},
	} {
		if _, err := link.LoadKeys(bad, sitelink.Far); !errors.Is(err, link.ErrKeys) {
			t.Errorf("%s: error = %v, want %v", name, err, link.ErrKeys)
		}
	}
}
