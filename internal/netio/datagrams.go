package netio

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// mostDatagram is more than any user takes: what is longer is told with this length, cut.
	mostDatagram = 512
	// mostWaiting bounds the datagrams that wait for the loop. Guards against a flood: what is beyond is dropped, as it
	// would be in a full socket.
	mostWaiting = 512
)

// DatagramSocket is a UDP socket of a loop. One goroutine reads it and posts what came.
type DatagramSocket struct {
	loop    *Loop
	conn    *net.UDPConn
	raw     func(func(uintptr) bool) error
	waiting atomic.Int64
	dropped atomic.Int64
	four    bool // of IPv4
}

// ListenDatagrams opens a UDP socket. take is called on the loop's goroutine; the bytes are its own.
func (l *Loop) ListenDatagrams(addr string, take func(from netip.AddrPort, b []byte)) (*DatagramSocket, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	rc, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	d := &DatagramSocket{loop: l, conn: conn, raw: rc.Write, four: at.IP.To4() != nil}
	go d.read(take)
	return d, nil
}

// Addr is where it is open.
func (d *DatagramSocket) Addr() netip.AddrPort {
	return conn4(d.conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Dropped is how many were not told, as too many waited.
func (d *DatagramSocket) Dropped() int64 { return d.dropped.Load() }

// Close ends it.
func (d *DatagramSocket) Close() { _ = d.conn.Close() }

func (d *DatagramSocket) read(take func(netip.AddrPort, []byte)) {
	buf := make([]byte, mostDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // word of ICMP on what was sent before, say
			time.Sleep(time.Millisecond)
			continue
		}
		if d.waiting.Add(1) > mostWaiting {
			d.waiting.Add(-1)
			d.dropped.Add(1)
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		d.loop.Post(func() {
			d.waiting.Add(-1)
			take(conn4(from), b)
		})
	}
}

// conn4 is an address as it is written in settings, whichever socket it came through.
func conn4(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Send sends one, or drops it where the socket has no room: the loop waits for nothing.
func (d *DatagramSocket) Send(to netip.AddrPort, b []byte) (err error) {
	var sa unix.Sockaddr = &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
	if d.four {
		if !to.Addr().Unmap().Is4() {
			return fmt.Errorf("datagrams: %s can't be reached from an IPv4 address", to)
		}
		sa = &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	}
	if rerr := d.raw(func(fd uintptr) bool {
		err = unix.Sendto(int(fd), b, unix.MSG_DONTWAIT, sa)
		return true
	}); rerr != nil {
		return rerr
	}
	return err
}
