package link

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/site"
	"gannetspur/internal/lab/authority"
	"gannetspur/internal/netio"
	"gannetspur/internal/site/crossing"
	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/head"
	"gannetspur/internal/stats"
	"gannetspur/policy"
)

// texts carries texts as statements and rows.
type texts struct{}

func (texts) Form() string                        { return "texts" }
func (texts) Statement(s any) ([]byte, error)     { return []byte(s.(string)), nil }
func (texts) Result(s any) ([]byte, error)        { return []byte(s.(string)), nil }
func (texts) ReadStatement(b []byte) (any, error) { return string(b), nil }
func (texts) ReadResult(b []byte) (any, error)    { return string(b), nil }
func (texts) Detail(any) []byte                   { return nil }
func (texts) ReadDetail([]byte) (any, error)      { return nil, errors.New("none") }

// node is a gateway at a site of its own. Its one engine answers at once, or when it is let.
type node struct {
	t        *testing.T
	name     crossing.Name
	loop     *netio.Loop
	core     *core.Core
	service  *crossing.Service
	runner   *Runner
	counters *stats.Counters
	sent     chan *core.Attempt // attempts that wait, where hold is set
	hold     bool
	dropped  chan string
}

func (n *node) Engine(core.Engine)       {}
func (n *node) Hurry(*core.Attempt, int) {}
func (n *node) Drop(a *core.Attempt)     { n.dropped <- a.Request.ID }
func (n *node) Send(a *core.Attempt) {
	if n.hold {
		n.sent <- a
		return
	}
	n.loop.Post(func() { n.core.End(a, core.EndServed, core.Report{Result: "rows of " + a.Request.Statement.(string)}) })
}

// did waits for a counter to reach a number.
func (n *node) did(name string, want int64) {
	n.t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(2 * time.Millisecond) {
		got := make(chan int64, 1)
		n.loop.Post(func() { got <- n.counters.All()[name] })
		if <-got >= want {
			return
		}
	}
	n.t.Fatalf("%s: %s never was %d", n.name, name, want)
}

// now runs something on the node's goroutine.
func (n *node) now(f func()) {
	done := make(chan struct{})
	n.loop.Post(func() { f(); close(done) })
	<-done
}

type answers chan core.Answer

func (a answers) Answer(_ *core.Request, answer core.Answer) { a <- answer }

// ask puts a request of a class to the node.
func (n *node) ask(class, id, text, key string, within time.Duration) (*core.Request, answers) {
	n.t.Helper()
	if n.name == near { // which has no engine of its own
		n.until(func(s crossing.Status) bool { return s.Credit > 0 })
	}
	got := make(answers, 2)
	r := &core.Request{ID: id, Class: class, Statement: text, Token: key, Client: got}
	n.now(func() {
		r.Deadline = n.loop.Now() + within
		n.core.Take(r)
	})
	return r, got
}

func (a answers) want(t *testing.T, v core.Verdict) core.Answer {
	t.Helper()
	select {
	case got := <-a:
		if got.Verdict != v {
			t.Fatalf("%+v, want %v", got, v)
		}
		return got
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
	}
	return core.Answer{}
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

func settings(t *testing.T) policy.Settings {
	t.Helper()
	p, err := config.LoadPostgres("../../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	return p.Site.Policy
}

// start starts a node. Without engines all that it is asked for crosses.
func start(t *testing.T, dir string, name crossing.Name, engines int, peers ...Peer) *node {
	t.Helper()
	n := &node{t: t, name: name, counters: stats.New(), sent: make(chan *core.Attempt, 100), dropped: make(chan string, 100)}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var err error
	must := func() {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	n.loop, err = netio.New(0)
	must()
	set := settings(t)
	n.core, err = core.New(set, 1, n.loop, n.loop.Timers, n.counters, log)
	must()
	n.core.SetLinks(n)
	cfg := decide.Defaults()
	cfg.KeysShared, cfg.SilentAfter, cfg.WordEvery, cfg.ColdFor = true, 600*time.Millisecond, 50*time.Millisecond, 0
	var names []crossing.Name
	for _, p := range peers {
		names = append(names, p.Name)
	}
	n.service, err = crossing.New(n.core, n.loop.Timers, crossing.Options{Name: name, Start: 1, Config: cfg, Settings: set, Peers: names, Codec: texts{}, Pack: true}, n.counters, log)
	must()
	n.core.SetSites(n.service)
	keys, err := LoadKeys(files(dir, name.Gateway), name)
	must()
	n.runner = New(n.loop, n.loop.Timers, n.service, keys, name, peers, n.counters, log)
	listen := ""
	if len(peers) == 0 || !n.runner.dials(peers[0].Name) {
		listen = "127.0.0.1:0"
	}
	must()
	var all []core.Engine
	for i := range engines {
		all = append(all, core.Engine{Engine: policy.Engine{ID: fmt.Sprint(name, i), Zone: set.Zone, Kind: set.Kinds[0].Name, State: policy.EngineLive}})
	}
	n.core.Roster(policy.ListFull, all)
	err = n.runner.Start(listen)
	must()
	go n.loop.Run()
	t.Cleanup(func() {
		n.now(func() { n.runner.Leave(); n.loop.Stop() })
	})
	return n
}

func files(dir, name string) Files {
	f := func(s string) string { return filepath.Join(dir, s) }
	return Files{f(name + ".pem"), f(name + ".key"), f("authority.pem"), f("revoked.pem")}
}

var near, far = crossing.Name{Site: "a", Gateway: "near"}, crossing.Name{Site: "b", Gateway: "far"}

// pair starts two nodes that know each other; the near one has no engine.
func pair(t *testing.T) (ca *authority.Authority, dir string, a, b *node, serial int64) {
	t.Helper()
	dir = t.TempDir()
	ca, err := authority.New("test")
	if err != nil {
		t.Fatal(err)
	}
	_, err = ca.Issue(dir, "near", "a", "near", authority.Tomorrow())
	serial, err2 := ca.Issue(dir, "far", "b", "far", authority.Tomorrow())
	if err := errors.Join(err, err2, ca.Write(dir)); err != nil {
		t.Fatal(err)
	}
	b = start(t, dir, far, 1, Peer{Name: near})
	a = start(t, dir, near, 0, Peer{Name: far, Addr: b.runner.Addr()})
	a.did("site.state.up", 1)
	a.until(func(s crossing.Status) bool { return s.Credit > 0 })
	return ca, dir, a, b, serial
}

// until waits for something to hold of the one peer.
func (n *node) until(holds func(crossing.Status) bool) {
	n.t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(2 * time.Millisecond) {
		ok := false
		n.now(func() { ok = holds(n.service.Overview().Peers[0]) })
		if ok {
			return
		}
	}
	n.t.Fatalf("it never held: %+v", n.service.Overview())
}

// A request crosses, is served and comes back whole, a large one packed; a client that leaves
// has it given up there; one whose time is over has its answer, and the late one is dropped.
func TestCrossing(t *testing.T) {
	_, _, a, b, _ := pair(t)
	large := strings.Repeat("a line of rows\n", 100_000)
	for id, text := range map[string]string{"small": "SELECT 1", "large": large} {
		_, got := a.ask("lookup", id, text, "", 3*time.Second)
		if r := got.want(t, core.Served).Result; r != "rows of "+text {
			t.Errorf("%s: %d bytes came back", id, len(r.(string)))
		}
	}
	b.now(func() { b.hold = true })
	r, _ := a.ask("lookup", "leaves", "SELECT 2", "", 3*time.Second)
	next(t, b.sent)
	a.now(func() { a.core.Gone(r) })
	if id := next(t, b.dropped); id != "leaves" {
		t.Errorf("%q was given up", id)
	}
	_, got := a.ask("write", "late", "UPDATE", "", 300*time.Millisecond)
	one := next(t, b.sent)
	if left := one.Request.Deadline; left > b.loop.Now()+300*time.Millisecond {
		t.Error("the other site has more time than the client")
	}
	if ans := got.want(t, core.Failed); !ans.Doubt {
		t.Errorf("%+v of a write that may have run", ans)
	}
}

// The reply to a load is lost and its site falls silent: it is answered for here, in doubt where
// there is no engine, and a repeat of its key within the window goes out while one past it does not,
// at either gateway.
func TestLostReply(t *testing.T) {
	_, _, a, b, _ := pair(t)
	b.now(func() { b.hold = true })
	_, got := a.ask("load", "load", "INSERT", "key-1", 10*time.Second)
	next(t, b.sent)
	b.now(func() { // the process stands still: nothing is read, nothing said
		time.Sleep(1200 * time.Millisecond)
		b.hold = false
	})
	began := time.Now()
	ans := got.want(t, core.Refused) // with no engine here the module turns it away; its key drops a repeat
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("its client heard %v later", took)
	}
	_ = ans
	a.did("site.taken-back.silent", 1)
	a.until(func(s crossing.Status) bool { return s.State == "up" })
	_, got = a.ask("load", "again", "INSERT", "key-1", 3*time.Second)
	got.want(t, core.Served)
	for _, n := range []*node{a, b} { // both know when it was first sent
		n.now(func() { n.service.Aged(13 * time.Second) })
		_, got = n.ask("load", "past", "INSERT", "key-1", 3*time.Second)
		if ans := got.want(t, core.Failed); !ans.Doubt {
			t.Errorf("%s: %+v past the window", n.name, ans)
		}
	}
}

// Keys are replaced while a request is out: it ends on the old link, the next goes on a new one.
// A gateway whose certificate is revoked is dropped at once, and can't come back.
func TestKeysReplaced(t *testing.T) {
	ca, dir, a, b, serial := pair(t)
	b.now(func() { b.hold = true })
	_, got := a.ask("lookup", "out", "SELECT 1", "", 8*time.Second)
	out := next(t, b.sent)
	if _, err := ca.Issue(dir, "near", "a", "near", authority.Tomorrow()); err != nil {
		t.Fatal(err)
	}
	a.now(func() {
		if err := a.runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	a.did("site.links", 2)
	b.now(func() { b.core.End(out, core.EndServed, core.Report{Result: "rows"}) })
	got.want(t, core.Served)
	b.now(func() { b.hold = false })
	_, got = a.ask("lookup", "next", "SELECT 1", "", 3*time.Second)
	got.want(t, core.Served)
	a.did("site.links-ended", 1) // the old one, once nothing is on it

	ca.Revoke(serial)
	if err := ca.Write(dir); err != nil {
		t.Fatal(err)
	}
	a.now(func() {
		if err := a.runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	a.until(func(s crossing.Status) bool { return s.State == "silent" })
	a.did("site.link-failed", 1)
	_, got = a.ask("lookup", "alone", "SELECT 1", "", 3*time.Second)
	got.want(t, core.Refused)
}

// Who can't prove to be a peer, or says what can't be, has no link and does no harm.
func TestHostilePeers(t *testing.T) {
	ca, dir, a, b, _ := pair(t)
	other, err := authority.New("another")
	if err != nil {
		t.Fatal(err)
	}
	revoked, err := ca.Issue(dir, "taken-back", "a", "near", authority.Tomorrow())
	ca.Revoke(revoked)
	_, err1 := ca.Issue(dir, "expired", "a", "near", time.Now().Add(-time.Minute))
	_, err2 := ca.Issue(dir, "stranger", "c", "stranger", authority.Tomorrow())
	_, err3 := other.Issue(dir, "forged", "a", "near", authority.Tomorrow())
	_, err4 := ca.Issue(dir, "good", "a", "near", authority.Tomorrow())
	if err := errors.Join(err, err1, err2, err3, err4, ca.Write(dir)); err != nil {
		t.Fatal(err)
	}
	b.now(func() {
		if err := b.runner.Reload(); err != nil {
			t.Error(err)
		}
	})
	greet := func(version uint32, g head.Greet) []byte {
		enc, err := head.Append(nil, &g)
		if err != nil {
			t.Fatal(err)
		}
		return frame.Append(nil, frame.Frame{Kind: frame.Greet, Value: version, Body: enc})
	}
	good := greet(frame.Version, head.Greet{Site: "a", Gateway: "near", Form: "texts"})
	var endless []byte
	enc, err := head.Append(nil, &head.Ask{ID: "i", Class: "lookup", Effect: 2, Left: 1e6, Sends: 1, Size: head.MostBody})
	if err != nil {
		t.Fatal(err)
	}
	endless = append(endless, good...)
	endless = frame.Append(endless, frame.Frame{Kind: frame.Ask, Stream: 1, Body: enc})
	for range 300 {
		endless = frame.Append(endless, frame.Frame{Kind: frame.Data, Stream: 1, Body: make([]byte, frame.MostBody)})
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
		"another version":     {"good", "ringwood-site/1", greet(2, head.Greet{Site: "a", Gateway: "near", Form: "texts"})},
		"another name":        {"good", "ringwood-site/1", greet(frame.Version, head.Greet{Site: "a", Gateway: "other", Form: "texts"})},
		"another form":        {"good", "ringwood-site/1", greet(frame.Version, head.Greet{Site: "a", Gateway: "near", Form: "postgres"})},
		"garbage":             {"good", "ringwood-site/1", []byte(strings.Repeat("\xff", 1000))},
		"without end":         {"good", "ringwood-site/1", endless},
	} {
		c, err := net.Dial("tcp", b.runner.Addr())
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
	b.now(func() {
		if n := b.service.Overview().Peers[0].Theirs; n != 0 {
			t.Errorf("%d requests of them are open", n)
		}
	})
	_, got := a.ask("lookup", "after", "SELECT 1", "", 3*time.Second)
	got.want(t, core.Served)
}

// Keys that can't be used are named with their file, and change nothing.
func TestBadKeys(t *testing.T) {
	ca, err := authority.New("test")
	if err != nil {
		t.Fatal(err)
	}
	other, err := authority.New("other")
	if err != nil {
		t.Fatal(err)
	}
	dir, wrong := t.TempDir(), t.TempDir()
	_, err1 := ca.Issue(dir, "far", "b", "far", authority.Tomorrow())
	_, err2 := ca.Issue(dir, "near", "a", "near", authority.Tomorrow())
	if err := errors.Join(err1, err2, ca.Write(dir), other.Write(wrong)); err != nil {
		t.Fatal(err)
	}
	f := files(dir, "far")
	if _, err := LoadKeys(f, far); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]Files{
		"no certificate":     {"nowhere", f.Key, f.Authority, ""},
		"another's key":      {f.Certificate, filepath.Join(dir, "near.key"), f.Authority, ""},
		"another gateway's":  files(dir, "near"),
		"no authority":       {f.Certificate, f.Key, f.Key, ""},
		"a list by another":  {f.Certificate, f.Key, f.Authority, filepath.Join(wrong, "revoked.pem")},
		"a list that isn't":  {f.Certificate, f.Key, f.Authority, f.Key},
		"a list that is off": {f.Certificate, f.Key, f.Authority, "nowhere"},
	} {
		if _, err := LoadKeys(bad, far); !errors.Is(err, ErrKeys) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
