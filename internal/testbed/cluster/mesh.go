// Package cluster runs several gateway processes as one cluster with emulated engines, event bus and clients. It puts
// relays between them, injects the faults of a schedule, merges what all processes logged, and checks the invariants.
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

// path is what happens on the path from one front end to another.
type path struct {
	cut        bool
	loss       float64
	duplicated float64       // share that comes twice
	corrupted  float64       // share of which a byte is changed
	delay      time.Duration // each takes longer by this, and by up to as much again
}

// mesh relays datagrams between front ends: each has an address of its own for each other one, which is where that
// other seems to be, for all that it sends and hears.
type mesh struct {
	n     int
	addrs []netip.AddrPort
	socks [][]*net.UDPConn // [a][b]: b as a sees it

	mu      sync.Mutex
	paths   [][]path
	rng     *rand.Rand
	passed  int
	dropped int
	wait    sync.WaitGroup
}

func newMesh(addrs []netip.AddrPort, seed uint64) (m *mesh, err error) {
	m = &mesh{n: len(addrs), addrs: addrs, rng: rand.New(rand.NewPCG(seed, 0x6d657368))}
	defer func() {
		if err != nil {
			m.close()
		}
	}()
	for a := range m.n {
		m.paths = append(m.paths, make([]path, m.n))
		m.socks = append(m.socks, make([]*net.UDPConn, m.n))
		for b := range m.n {
			if a == b {
				continue
			}
			if m.socks[a][b], err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				return m, fmt.Errorf("mesh: %w", err)
			}
		}
	}
	for a := range m.n {
		for b := range m.n {
			if a != b {
				m.wait.Go(func() { m.relay(a, b) })
			}
		}
	}
	return m, nil
}

// seen is where a front end sees another one, and itself.
func (m *mesh) seen(a, b int) string {
	if a == b {
		return m.addrs[a].String()
	}
	return m.socks[a][b].LocalAddr().String()
}

// relay passes on what a sends to b.
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
		w, times := m.paths[a][b], 1
		switch {
		case w.cut || m.rng.Float64() < w.loss:
			times = 0
			m.dropped++
		case m.rng.Float64() < w.duplicated:
			times = 2
		}
		if times > 0 && n > 0 && m.rng.Float64() < w.corrupted {
			buf[m.rng.IntN(n)] ^= byte(1 + m.rng.IntN(255))
		}
		later := w.delay
		if w.delay > 0 {
			later += time.Duration(m.rng.Int64N(int64(w.delay)))
		}
		m.passed += times
		m.mu.Unlock()
		back := m.socks[b][a]
		to := net.UDPAddrFromAddrPort(m.addrs[b])
		for range times {
			if later == 0 {
				_, _ = back.WriteToUDP(buf[:n], to) // one that is down receives nothing
				continue
			}
			payload := append([]byte(nil), buf[:n]...)
			time.AfterFunc(later, func() { _, _ = back.WriteToUDP(payload, to) })
		}
	}
}

// change changes the ways from some to others.
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

func (m *mesh) close() {
	for _, row := range m.socks {
		for _, s := range row {
			if s != nil {
				_ = s.Close()
			}
		}
	}
	m.wait.Wait()
}
