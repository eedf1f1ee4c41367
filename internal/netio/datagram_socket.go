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
	// maxDatagramSize is more than any user accepts, in bytes: what is longer is cut to this length.
	maxDatagramSize = 512
	// maxWaitingDatagrams bounds the datagrams that wait for the loop. Guards against a flood: what is beyond is
	// dropped, as it would be in a full socket.
	maxWaitingDatagrams = 512
	// datagramErrorPause is the rest after a failed read.
	datagramErrorPause = time.Millisecond
)

// DatagramSocket is a UDP socket of a loop. ListenDatagrams starts a goroutine that reads it and posts what
// came; Close ends that goroutine. Its methods may be called from any goroutine.
type DatagramSocket struct {
	loop     *Loop
	conn     *net.UDPConn
	rawWrite func(func(uintptr) bool) error
	isIPv4   bool
	waiting  atomic.Int64
	dropped  atomic.Int64
}

// ListenDatagrams opens a UDP socket. receive is called on the loop's goroutine and owns the bytes.
func (l *Loop) ListenDatagrams(addr string, receive func(from netip.AddrPort, b []byte)) (*DatagramSocket, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	d := &DatagramSocket{loop: l, conn: conn, rawWrite: raw.Write, isIPv4: local.IP.To4() != nil}
	go d.read(receive)
	return d, nil
}

// Addr returns the address that the socket is bound to.
func (d *DatagramSocket) Addr() netip.AddrPort {
	return unmapped(d.conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Dropped returns how many datagrams were dropped because too many waited for the loop.
func (d *DatagramSocket) Dropped() int64 { return d.dropped.Load() }

// Close closes the socket and ends the goroutine that reads it.
func (d *DatagramSocket) Close() { _ = d.conn.Close() }

func (d *DatagramSocket) read(receive func(netip.AddrPort, []byte)) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error for what was sent before, say
			time.Sleep(datagramErrorPause)
			continue
		}
		if d.waiting.Add(1) > maxWaitingDatagrams {
			d.waiting.Add(-1)
			d.dropped.Add(1)
			continue
		}
		b := append([]byte(nil), buffer[:n]...)
		d.loop.Post(func() {
			d.waiting.Add(-1)
			receive(unmapped(from), b)
		})
	}
}

// unmapped returns an address in the form of the settings, whichever socket it came through.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Send sends one datagram, or drops it where the socket's buffer is full: it never blocks.
func (d *DatagramSocket) Send(to netip.AddrPort, b []byte) error {
	sockaddr, err := d.sockaddr(to)
	if err != nil {
		return err
	}
	var sendErr error
	err = d.rawWrite(func(fd uintptr) bool {
		sendErr = unix.Sendto(int(fd), b, unix.MSG_DONTWAIT, sockaddr)
		return true
	})
	if err != nil {
		return err
	}
	return sendErr
}

// sockaddr returns an address in the form of the socket's family.
func (d *DatagramSocket) sockaddr(to netip.AddrPort) (unix.Sockaddr, error) {
	if !d.isIPv4 {
		return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}, nil
	}
	if !to.Addr().Unmap().Is4() {
		return nil, fmt.Errorf("datagrams: %s can't be reached from an IPv4 address", to)
	}
	return &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}, nil
}
