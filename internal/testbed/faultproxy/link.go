// Package faultproxy is a TCP relay on loopback that injects network faults into connections: delay
// with jitter, a bandwidth limit, silence, closed and reset connections, half-closes, garbage and
// lost replies. A schedule and a seed decide what happens when, so that a run can be repeated.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Options configure a link.
type Options struct {
	Delay     time.Duration // latency in each direction
	Jitter    time.Duration // added to Delay: uniformly distributed from 0 to Jitter; chunks stay in order
	Bandwidth int           // bytes per second in each direction; 0: unlimited
	Stall     float64       // fraction of chunks, 0 to 1, that are delayed by StallFor, along with all chunks behind them
	StallFor  time.Duration // additional delay of a stalled chunk
	Faults    []Fault       // scheduled faults; nil: none
	Seed      uint64        // seeds jitter, stalls and corruption
}

const (
	// dialTimeout limits how long a connection to the server may take to open.
	dialTimeout = 2 * time.Second
	// randomStream is the second word of the PCG seed. It makes this random stream differ from others
	// with the same first word.
	randomStream = 0x6c696e6b
)

// Link is a relay between clients and one server.
type Link struct {
	opts     Options
	server   string
	listener net.Listener
	start    time.Time

	mu          sync.Mutex
	connections map[*connection]bool
	random      *rand.Rand
	change      chan struct{} // closed and replaced when a fault begins or ends
	timers      []*time.Timer
	closed      bool
}

// Listen opens a relay to a server. Both addresses must be on loopback.
func Listen(server string, opts Options) (*Link, error) {
	for i, f := range opts.Faults {
		if !slices.Contains(Kinds, f.Kind) {
			return nil, fmt.Errorf("faultproxy: fault %d has unknown kind %q; use one of %q", i, f.Kind, Kinds)
		}
	}
	host, _, err := net.SplitHostPort(server)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("faultproxy: server address %q must be a loopback IP address with a port, such as 127.0.0.1:5432", server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	l := &Link{
		opts:        opts,
		server:      server,
		listener:    listener,
		start:       time.Now(),
		connections: map[*connection]bool{},
		change:      make(chan struct{}),
		random:      rand.New(rand.NewPCG(opts.Seed, randomStream)),
	}
	for _, f := range opts.Faults {
		l.schedule(f, f.From)
	}
	go l.accept()
	return l, nil
}

// Addr returns the address that clients connect to.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Close closes the relay and all its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for _, t := range l.timers {
		t.Stop()
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	l.forEach((*connection).close)
}

// accept accepts client connections and relays each to the server, until the listener closes.
func (l *Link) accept() {
	for {
		accepted, err := l.listener.Accept()
		if err != nil {
			return
		}
		client := accepted.(*net.TCPConn) // from a TCP listener
		if l.active(Cut) {
			reset(client)
			continue
		}
		dialed, err := net.DialTimeout("tcp", l.server, dialTimeout)
		if err != nil {
			reset(client)
			continue
		}
		c := &connection{link: l, client: client, server: dialed.(*net.TCPConn), done: make(chan struct{})}
		if !l.add(c) {
			c.close()
			return
		}
		go c.relay(requests)
		go c.relay(replies)
	}
}

// add registers a connection. It returns false if the link is closed.
func (l *Link) add(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.connections[c] = true
	return true
}

// remove unregisters a connection that has ended.
func (l *Link) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// forEach calls do for each connection. It does not hold the lock meanwhile, so do may close the
// connection.
func (l *Link) forEach(do func(*connection)) {
	l.mu.Lock()
	all := make([]*connection, 0, len(l.connections))
	for c := range l.connections {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}
