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
	// maxDatagramSize is the size, in bytes, to which longer datagrams are truncated. It is more than any
	// user of the socket accepts.
	maxDatagramSize = 512
	// maxWaitingDatagrams bounds the datagrams that wait for the loop's goroutine. In a flood, further ones
	// are dropped, as they would be by a full socket.
	maxWaitingDatagrams = 512
	// datagramErrorPause is the delay after a failed read.
	datagramErrorPause = time.Millisecond
)

// DatagramSocket is a UDP socket of a loop. ListenDatagrams starts a goroutine that reads it and posts each
// datagram to the loop; Close ends that goroutine. Its methods may be called from any goroutine.
type DatagramSocket struct {
	loop     *Loop
	conn     *net.UDPConn
	rawWrite func(func(uintptr) bool) error // calls a function with the socket's descriptor, see syscall.RawConn.Write
	isIPv4   bool                           // the socket's family is AF_INET rather than AF_INET6
	waiting  atomic.Int64                   // datagrams posted to the loop and not received yet
	dropped  atomic.Int64                   // datagrams dropped because of maxWaitingDatagrams
}

// ListenDatagrams opens a UDP socket bound to addr. receive is called on the loop's goroutine for each datagram
// and owns its bytes.
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

// Dropped returns the number of datagrams that were dropped because too many waited for the loop.
func (d *DatagramSocket) Dropped() int64 { return d.dropped.Load() }

// Close closes the socket and ends the goroutine that reads it.
func (d *DatagramSocket) Close() { _ = d.conn.Close() }

// read posts each datagram to the loop until the socket is closed.
func (d *DatagramSocket) read(receive func(netip.AddrPort, []byte)) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example an ICMP error for a datagram that was sent before
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

// unmapped returns an IPv4-mapped IPv6 address as IPv4, the form that the settings use, whichever family
// the socket has. Other addresses are unchanged.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Send sends one datagram. It never blocks: if the socket's buffer is full, it drops the datagram and returns
// an error.
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

// sockaddr converts an address to the socket's address family.
func (d *DatagramSocket) sockaddr(to netip.AddrPort) (unix.Sockaddr, error) {
	if !d.isIPv4 {
		return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}, nil
	}
	if !to.Addr().Unmap().Is4() {
		return nil, fmt.Errorf("datagrams: %s can't be reached from an IPv4 socket", to)
	}
	return &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}, nil
}
