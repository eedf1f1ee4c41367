package netio

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// maxPositionAttempts bounds how often reading a position is tried while the socket changes.
const maxPositionAttempts = 8

// errPositionUnstable is returned if the socket changed during each attempt to read its position.
var errPositionUnstable = errors.New("the socket's stream position changed during every attempt to read it")

// StreamPosition is the number of bytes read from and written to a TCP socket, by all processes that have used it,
// as the kernel reports it (tcp(7): TCP_INFO, SIOCINQ, SIOCOUTQ). The origin of either count is arbitrary, so
// positions may only be compared with other positions of the same socket.
type StreamPosition struct {
	Read    int64 // bytes that a process has read; peeked and queued ones don't count
	Written int64 // bytes that a process has written, including those the peer has not acknowledged
}

// StreamPositionOf returns the position of a TCP socket. Once the peer has closed its side, the kernel counts
// one more received byte (the FIN), which is subtracted here.
func StreamPositionOf(fd int) (StreamPosition, error) {
	for range maxPositionAttempts {
		before, err := tcpInfo(fd)
		if err != nil {
			return StreamPosition{}, err
		}
		inQueue, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		if err != nil {
			return StreamPosition{}, fmt.Errorf("SIOCINQ: %w", err)
		}
		outQueue, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil {
			return StreamPosition{}, fmt.Errorf("SIOCOUTQ: %w", err)
		}
		after, err := tcpInfo(fd)
		if err != nil {
			return StreamPosition{}, err
		}
		if before.Bytes_acked != after.Bytes_acked || before.Bytes_received != after.Bytes_received || before.State != after.State {
			continue // the stream advanced between the two calls
		}
		p := StreamPosition{
			Read:    int64(after.Bytes_received) - int64(inQueue),
			Written: int64(after.Bytes_acked) + int64(outQueue),
		}
		if peerHasClosed(after.State) {
			p.Read--
		}
		return p, nil
	}
	return StreamPosition{}, errPositionUnstable
}

// tcpInfo returns the TCP_INFO of a socket.
func tcpInfo(fd int) (*unix.TCPInfo, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return nil, fmt.Errorf("TCP_INFO: %w", err)
	}
	return info, nil
}

// States of a TCP socket whose peer has closed its side, with the kernel's numbers.
const (
	tcpTimeWait  = 6
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// peerHasClosed reports whether a socket in this state has received the peer's FIN.
func peerHasClosed(state uint8) bool {
	switch state {
	case tcpCloseWait, tcpLastAck, tcpClosing, tcpTimeWait:
		return true
	}
	return false
}
