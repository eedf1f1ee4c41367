// Package sitelink has gateways of two sites in one process, with the product's own core, links
// and TLS and an engine that answers at once, to test the link between them and to measure it.
package sitelink

import (
	"errors"
	"fmt"

	"io"
	"log/slog"
	"path/filepath"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/site/link"
	"gannetspur/internal/testbed/testca"
	"gannetspur/policy"
)

// Text stands for a statement, or for the rows of an answer.
type Text []byte

// SQL is the text.
func (t Text) SQL() string { return string(t) }

// Size is the length of the text.
func (t Text) Size() int { return len(t) }

// Texts carries bytes as statements and rows.
type Texts struct{}

// Form names what is encoded.
func (Texts) Form() string { return "texts" }

// The rest of crossing.Codec.
func (Texts) Statement(s core.Statement) ([]byte, error)     { return s.(Text), nil }
func (Texts) Result(r core.Result) ([]byte, error)           { return r.(Text), nil }
func (Texts) ReadStatement(b []byte) (core.Statement, error) { return Text(b), nil }
func (Texts) ReadResult(b []byte) (core.Result, error)       { return Text(b), nil }
func (Texts) Detail(error) []byte                            { return nil }
func (Texts) ReadDetail([]byte) (detail, err error)          { return nil, errors.New("there is none") }

// The two gateways. The near one dials.
var (
	Near = forwarding.Name{Site: "a", Gateway: "near"}
	Far  = forwarding.Name{Site: "b", Gateway: "far"}
)

// Options say what a node is like.
type Options struct {
	Name     forwarding.Name
	Dir      string // of its keys
	Settings policy.Settings
	Engines  int
	Cores    float64 // of each; 0: as the settings say
	Listen   string
	Peers    []link.Peer
	Pack     bool
	Held     int
	// Answer is what the engines answer, at once; nil: attempts go to Node.Sent and wait.
	Answer func(statement []byte) []byte
}

// Node is a gateway at a site of its own.
type Node struct {
	Loop     *netio.Loop
	Core     *core.Core
	Service  *forwarding.Service
	Runner   *link.Runner
	Counters *metrics.Counters
	Sent     chan *core.Attempt
	Dropped  chan string
	Answer   func(statement []byte) []byte // for the loop's goroutine
	name     forwarding.Name
}

// UpdateEngine, SetPriority, Cancel and Send are those of core.Backend.
func (n *Node) UpdateEngine(core.Engine)       {}
func (n *Node) SetPriority(*core.Attempt, int) {}
func (n *Node) Cancel(a *core.Attempt) bool {
	select {
	case n.Dropped <- a.Request.ID:
	default: // nobody looks
	}
	return true
}
func (n *Node) Send(a *core.Attempt) {
	n.Core.BeginWrite(a)
	if n.Answer == nil {
		select {
		case n.Sent <- a:
		default:
		}
		return
	}
	rows := Text(n.Answer(a.Request.Statement.(Text)))
	n.Loop.Post(func() { n.Core.EndAttempt(a, core.OutcomeServed, core.Report{Result: rows, Work: time.Millisecond}) })
}

// Start starts a node. Without engines all that it is asked for crosses.
func Start(o Options) (n *Node, err error) {
	n = &Node{Counters: metrics.New(), Sent: make(chan *core.Attempt, 100), Dropped: make(chan string, 100), Answer: o.Answer, name: o.Name}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if n.Loop, err = netio.New(0); err != nil {
		return nil, err
	}
	set := o.Settings
	kind := set.Kinds[0]
	if o.Cores > 0 {
		kind.Cores = o.Cores
	}
	set.Kinds = []policy.Kind{kind}
	if n.Core, err = core.New(set, 1, n.Loop, n.Loop.Timers, n.Counters, log); err != nil {
		return nil, err
	}
	n.Core.SetBackend(n)
	cfg := decide.Defaults()
	cfg.SharedDedup, cfg.UnreachableAfter, cfg.DigestInterval, cfg.RampDuration = true, 600*time.Millisecond, 50*time.Millisecond, 0
	if n.Service, err = forwarding.New(n.Core, n.Loop.Timers, forwarding.Options{
		Name: o.Name, Start: 1, Config: cfg, Settings: set, Codec: Texts{}, Pack: o.Pack, Held: o.Held,
	}, n.Counters, log); err != nil {
		return nil, err
	}
	n.Core.SetRemoteSites(n.Service)
	keys, err := link.LoadKeys(Files(o.Dir, o.Name.Gateway), o.Name)
	if err != nil {
		return nil, err
	}
	n.Runner = link.New(n.Loop, n.Loop.Timers, n.Service, keys, o.Name, o.Peers, n.Counters, log)
	var all []core.Engine
	for i := range o.Engines {
		all = append(all, core.Engine{Engine: policy.Engine{ID: fmt.Sprint(o.Name, i), Zone: set.Zone, Kind: kind.Name, State: policy.EngineLive}})
	}
	n.Core.UpdateEndpoints(policy.ListFull, all)
	if err := n.Runner.Start(o.Listen); err != nil {
		return nil, err
	}
	go n.Loop.Run()
	return n, nil
}

// Close ends the node.
func (n *Node) Close() { n.Now(func() { n.Runner.GoAway(); n.Loop.Stop() }) }

// Now runs something on the node's goroutine.
func (n *Node) Now(f func()) {
	done := make(chan struct{})
	n.Loop.Post(func() { f(); close(done) })
	<-done
}

// Answers gets what the clients of a node are told.
type Answers chan core.Answer

// Answer passes an answer on.
func (a Answers) Answer(_ *core.Request, answer core.Answer) { a <- answer }

// Ask puts a request to the node.
func (n *Node) Ask(class, id string, statement []byte, key string, within time.Duration) (*core.Request, Answers) {
	got := make(Answers, 2)
	r := &core.Request{ID: id, Class: class, Statement: Text(statement), IdempotencyKey: key, Client: got, Work: time.Millisecond}
	n.Now(func() {
		r.Deadline = n.Loop.Now() + within
		n.Core.Accept(r)
	})
	return r, got
}

// Until waits for something to hold of the node's one peer.
func (n *Node) Until(holds func(forwarding.PeerStatus) bool) error {
	var o forwarding.Overview
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(2 * time.Millisecond) {
		ok := false
		n.Now(func() { o = n.Service.Overview(); ok = holds(o.Peers[0]) })
		if ok {
			return nil
		}
	}
	return fmt.Errorf("sitelink: %s: it never held: %+v", n.name, o)
}

// Count waits for a counter to reach a number.
func (n *Node) Count(name string, want int64) error {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(2 * time.Millisecond) {
		var got int64
		n.Now(func() { got = n.Counters.All()[name] })
		if got >= want {
			return nil
		}
	}
	return fmt.Errorf("sitelink: %s: %s never was %d", n.name, name, want)
}

// Files are the keys of a gateway in a folder.
func Files(dir, name string) link.Files {
	f := func(s string) string { return filepath.Join(dir, s) }
	return link.Files{Certificate: f(name + ".pem"), Key: f(name + ".key"), Authority: f("authority.pem"), Revoked: f("revoked.pem")}
}

// Keys writes an authority's and both gateways' keys to a folder, and returns the far one's
// serial number.
func Keys(dir string) (ca *testca.Authority, far int64, err error) {
	if ca, err = testca.New("sites"); err != nil {
		return nil, 0, err
	}
	if _, err = ca.Issue(dir, Near.Gateway, Near.Site, Near.Gateway, testca.DefaultExpiry()); err == nil {
		if far, err = ca.Issue(dir, Far.Gateway, Far.Site, Far.Gateway, testca.DefaultExpiry()); err == nil {
			err = ca.WriteFiles(dir)
		}
	}
	return ca, far, err
}

// Pair starts two nodes that know each other. The near one has no engine: all that it is asked
// for crosses. via is what the near one dials in place of the far one's address.
func Pair(dir string, o Options, via func(addr string) (string, error)) (near, far *Node, err error) {
	b := o
	b.Name, b.Dir, b.Listen, b.Peers = Far, dir, "127.0.0.1:0", []link.Peer{{Name: Near}}
	if far, err = Start(b); err != nil {
		return nil, nil, err
	}
	addr := far.Runner.Addr()
	if via != nil {
		if addr, err = via(addr); err != nil {
			far.Close()
			return nil, nil, err
		}
	}
	a := o
	a.Name, a.Dir, a.Engines, a.Peers = Near, dir, 0, []link.Peer{{Name: Far, Addr: addr}}
	if near, err = Start(a); err != nil {
		far.Close()
		return nil, nil, err
	}
	if err = near.Until(func(s forwarding.PeerStatus) bool { return s.State == "up" && s.Credit > 0 }); err != nil {
		near.Close()
		far.Close()
		return nil, nil, err
	}
	return near, far, nil
}
