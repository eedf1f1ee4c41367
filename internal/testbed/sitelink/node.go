// Package sitelink runs gateways of two sites in one process, with the product's own core, links
// and TLS and with engines that answer at once. It serves to test and measure the link between them.
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

// Text is a statement, or the rows of an answer.
type Text []byte

// SQL returns the text.
func (t Text) SQL() string { return string(t) }

// Size returns the length of the text in bytes.
func (t Text) Size() int { return len(t) }

// Texts is a codec that carries statements and rows as plain bytes.
type Texts struct{}

// Form returns the name of the encoding.
func (Texts) Form() string { return "texts" }

// The following methods are the rest of forwarding's codec.
func (Texts) Statement(s core.Statement) ([]byte, error)     { return s.(Text), nil }
func (Texts) Result(r core.Result) ([]byte, error)           { return r.(Text), nil }
func (Texts) ReadStatement(b []byte) (core.Statement, error) { return Text(b), nil }
func (Texts) ReadResult(b []byte) (core.Result, error)       { return Text(b), nil }
func (Texts) Detail(error) []byte                            { return nil }
func (Texts) ReadDetail([]byte) (detail, err error) {
	return nil, errors.New("Texts encodes no error details")
}

// Near and Far are the names of the two gateways. The near one dials.
var (
	Near = forwarding.Name{Site: "a", Gateway: "near"}
	Far  = forwarding.Name{Site: "b", Gateway: "far"}
)

// Options configure a node.
type Options struct {
	Name     forwarding.Name
	Dir      string // directory of its certificate and key
	Settings policy.Settings
	Engines  int         // number of engines
	Cores    float64     // cores of each engine; 0: as in the settings
	Listen   string      // listen address for peers; "": it only dials
	Peers    []link.Peer // peers that it accepts or dials
	Pack     bool        // compress bodies
	Held     int         // as in forwarding.Options
	// Answer returns the rows that engines answer with at once; nil: attempts go to Node.Sent and wait.
	Answer func(statement []byte) []byte
}

// Node is a gateway at a site of its own.
type Node struct {
	Loop     *netio.Loop
	Core     *core.Core
	Service  *forwarding.Service
	Runner   *link.Runner
	Counters *metrics.Counters
	Sent     chan *core.Attempt            // attempts that wait, when Answer is nil
	Dropped  chan string                   // request ids of canceled attempts
	Answer   func(statement []byte) []byte // as in Options; called on the loop's goroutine
	name     forwarding.Name
}

// UpdateEngine, SetPriority, Cancel and Send implement core.Backend.
func (n *Node) UpdateEngine(core.Engine)       {}
func (n *Node) SetPriority(*core.Attempt, int) {}
func (n *Node) Cancel(a *core.Attempt) bool {
	select {
	case n.Dropped <- a.Request.ID:
	default: // the channel is full, because the caller does not read it
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

// Start starts a node. Without engines, it forwards all requests to its peer.
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

// Close stops the node.
func (n *Node) Close() { n.Now(func() { n.Runner.GoAway(); n.Loop.Stop() }) }

// Now runs f on the node's goroutine and waits until it returns.
func (n *Node) Now(f func()) {
	done := make(chan struct{})
	n.Loop.Post(func() { f(); close(done) })
	<-done
}

// Answers receives the answers of a node's clients.
type Answers chan core.Answer

// Answer sends an answer to the channel.
func (a Answers) Answer(_ *core.Request, answer core.Answer) { a <- answer }

// Ask sends a request to the node. Its deadline is within from now.
func (n *Node) Ask(class, id string, statement []byte, key string, within time.Duration) (*core.Request, Answers) {
	got := make(Answers, 2)
	r := &core.Request{ID: id, Class: class, Statement: Text(statement), IdempotencyKey: key, Client: got, Work: time.Millisecond}
	n.Now(func() {
		r.Deadline = n.Loop.Now() + within
		n.Core.Accept(r)
	})
	return r, got
}

// Until waits up to 10 s for a condition on the status of the node's only peer.
func (n *Node) Until(holds func(forwarding.PeerStatus) bool) error {
	var o forwarding.Overview
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(2 * time.Millisecond) {
		ok := false
		n.Now(func() { o = n.Service.Overview(); ok = holds(o.Peers[0]) })
		if ok {
			return nil
		}
	}
	return fmt.Errorf("sitelink: %s: the condition on the peer did not hold within 10s; last status: %+v", n.name, o)
}

// Count waits up to 10 s for a counter to reach a value.
func (n *Node) Count(name string, want int64) error {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(2 * time.Millisecond) {
		var got int64
		n.Now(func() { got = n.Counters.All()[name] })
		if got >= want {
			return nil
		}
	}
	return fmt.Errorf("sitelink: %s: counter %s did not reach %d within 10s", n.name, name, want)
}

// Files returns the paths of a gateway's certificate, key, authority and revocation list in a directory.
func Files(dir, name string) link.Files {
	f := func(s string) string { return filepath.Join(dir, s) }
	return link.Files{Certificate: f(name + ".pem"), Key: f(name + ".key"), Authority: f("authority.pem"), Revoked: f("revoked.pem")}
}

// Keys writes the files of an authority and of both gateways to a directory, and returns the
// authority and the serial number of the far gateway's certificate.
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

// Pair starts two connected nodes. The near one has no engine, so it forwards all requests. via maps
// the far node's address to the one that the near node dials; nil: the address itself.
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
