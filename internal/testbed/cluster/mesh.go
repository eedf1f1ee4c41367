// Package cluster runs several gateway processes as one cluster with emulated engines, event bus and clients. It puts
// proxies between them, injects the faults of a schedule, merges the logs of all processes, and checks the invariants.
package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// path holds the faults of the one-way path from one front end to another. Its zero value has none.
type path struct {
	cut        bool          // all datagrams are dropped
	loss       float64       // share of dropped datagrams, 0 to 1
	duplicated float64       // share of duplicated datagrams, 0 to 1
	corrupted  float64       // share of datagrams with one changed byte, 0 to 1
	delay      time.Duration // additional latency, plus a random part of up to as much
}

// mesh relays datagrams between front ends. For each pair of front ends, it has a socket that stands for the one towards
// the other: the other sends to its address and receives from it.
type mesh struct {
	size  int
	addrs []netip.AddrPort
	socks [][]*net.UDPConn // [a][b] stands for b towards a

	mu      sync.Mutex
	paths   [][]path
	rng     *rand.Rand
	passed  int
	dropped int
	relays  sync.WaitGroup
}

// newMesh opens the sockets and starts a relay for each ordered pair of front ends.
func newMesh(addrs []netip.AddrPort, seed uint64) (m *mesh, err error) {
	m = &mesh{size: len(addrs), addrs: addrs, rng: rand.New(rand.NewPCG(seed, 0x6d657368))}
	defer func() {
		if err != nil {
			m.close()
		}
	}()
	for a := range m.size {
		m.paths = append(m.paths, make([]path, m.size))
		m.socks = append(m.socks, make([]*net.UDPConn, m.size))
		for b := range m.size {
			if a == b {
				continue
			}
			if m.socks[a][b], err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				return m, fmt.Errorf("mesh: %w", err)
			}
		}
	}
	for a := range m.size {
		for b := range m.size {
			if a != b {
				m.relays.Go(func() { m.relay(a, b) })
			}
		}
	}
	return m, nil
}

// addressSeenBy returns the address at which front end a reaches front end b; for a itself, its own address.
func (m *mesh) addressSeenBy(a, b int) string {
	if a == b {
		return m.addrs[a].String()
	}
	return m.socks[a][b].LocalAddr().String()
}

// relay forwards the datagrams from a to b, with the faults of the path.
func (m *mesh) relay(a, b int) {
	buf := make([]byte, 2048)
	for {
		n, from, err := m.socks[a][b].ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil || from != m.addrs[a]:
			continue // an ICMP error, or a datagram of another sender
		}
		m.mu.Lock()
		p, copies := m.paths[a][b], 1
		switch {
		case p.cut || m.rng.Float64() < p.loss:
			copies = 0
			m.dropped++
		case m.rng.Float64() < p.duplicated:
			copies = 2
		}
		if copies > 0 && n > 0 && m.rng.Float64() < p.corrupted {
			buf[m.rng.IntN(n)] ^= byte(1 + m.rng.IntN(255))
		}
		delay := p.delay
		if p.delay > 0 {
			delay += time.Duration(m.rng.Int64N(int64(p.delay)))
		}
		m.passed += copies
		m.mu.Unlock()
		back := m.socks[b][a]
		to := net.UDPAddrFromAddrPort(m.addrs[b])
		for range copies {
			if delay == 0 {
				_, _ = back.WriteToUDP(buf[:n], to) // fails if b is down
				continue
			}
			payload := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() { _, _ = back.WriteToUDP(payload, to) })
		}
	}
}

// change applies f to all paths from one group of front ends to another.
func (m *mesh) change(from, to []int, f func(*path)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				f(&m.paths[a][b])
			}
		}
	}
}

// close closes the sockets and waits for the relays to end. Datagrams that are still delayed are lost.
func (m *mesh) close() {
	for _, row := range m.socks {
		for _, s := range row {
			if s != nil {
				_ = s.Close()
			}
		}
	}
	m.relays.Wait()
}
