package netio

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// maxPositionAttempts bounds how often a position is read while the socket changes.
const maxPositionAttempts = 8

// errPositionUnstable is returned where the socket changed during each attempt to read its position.
var errPositionUnstable = errors.New("the socket's position did not hold still")

// StreamPosition is how far a TCP stream has got at this end, in bytes since its start, as the kernel
// reports of a socket whichever process used it (tcp(7), TCP_INFO; SIOCINQ, SIOCOUTQ). The origins of
// both are arbitrary: positions of one socket are compared, nothing else.
type StreamPosition struct {
	Read    int64 // consumed by a process
	Written int64 // given to the kernel by a process
}

// StreamPositionOf returns the position of a TCP socket. Once the peer has closed its side, the kernel counts
// one more received byte, which is subtracted here.
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
			continue // something came in between
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

func tcpInfo(fd int) (*unix.TCPInfo, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return nil, fmt.Errorf("TCP_INFO: %w", err)
	}
	return info, nil
}

// States of a TCP socket whose peer has closed its side, as the kernel numbers them.
const (
	tcpTimeWait  = 6
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

func peerHasClosed(state uint8) bool {
	switch state {
	case tcpCloseWait, tcpLastAck, tcpClosing, tcpTimeWait:
		return true
	}
	return false
}
