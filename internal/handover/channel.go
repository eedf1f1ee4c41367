// Package handover carries out what internal/decide/handover decides: it starts the process
// that takes over, moves descriptors and state to it over a private unix socket, keeps what
// is needed to take everything back, and takes it back.
//
// Old runs in the process that serves, New in the one that was started to take over. Both
// belong to the loop's goroutine; the channel is read by a goroutine of its own.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// A frame is the length of what follows it (4 bytes, big-endian), the number of descriptors
// that came with it (1), the kind of message (1) and the message in CBOR. Descriptors travel
// as SCM_RIGHTS with the frame's first byte (unix(7)), so they are here when the frame is.
const (
	frameHead = 6
	// MaxFrameBytes bounds a frame, in bytes: a state with all held results fits by far.
	MaxFrameBytes = 64 << 20
	mostFDs       = 4
)

// Errors of a channel.
var (
	ErrMalformedFrame = errors.New("handover: a frame that can't be read")
	ErrUnknownKind    = errors.New("handover: a message of unknown kind")
)

// decoder bounds what a message may hold: its sender may be of another version, or broken.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Channel carries messages and descriptors between the two processes. Send may be called
// from anywhere.
type Channel struct {
	conn *net.UnixConn
	mu   sync.Mutex
	out  []byte
}

// NewChannelPair makes a channel: this process's end, and the file that the other one inherits.
func NewChannelPair() (*Channel, *os.File, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: socketpair: %w", err)
	}
	theirs := os.NewFile(uintptr(fds[1]), "handover")
	ch, err := ChannelFromFile(os.NewFile(uintptr(fds[0]), "handover"))
	if err != nil {
		_ = theirs.Close()
		return nil, nil, err
	}
	return ch, theirs, nil
}

// ChannelFromFile is a channel over an inherited file, which it takes.
func ChannelFromFile(f *os.File) (*Channel, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("handover: channel: %w", err)
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		_ = c.Close()
		return nil, errors.New("handover: channel: no unix socket")
	}
	_ = u.SetWriteBuffer(4 << 20) // a smaller one only makes the sender wait
	return &Channel{conn: u}, nil
}

// Close ends the channel at this end.
func (c *Channel) Close() error { return c.conn.Close() }

// Send sends a message with descriptors, which stay the caller's. Once it returns, the
// message is in the kernel: it arrives though this process may die at once.
func (c *Channel) Send(m Message, fds ...int) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %T: %w", m, err)
	}
	if len(body) > MaxFrameBytes || len(fds) > mostFDs {
		return fmt.Errorf("handover: %T: %d bytes and %d descriptors are too many", m, len(body), len(fds))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = binary.BigEndian.AppendUint32(c.out[:0], uint32(len(body)))
	c.out = append(append(c.out, byte(len(fds)), m.kind()), body...)
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	n, _, err := c.conn.WriteMsgUnix(c.out, rights, nil)
	if err == nil && n < len(c.out) {
		_, err = c.conn.Write(c.out[n:])
	}
	if cap(c.out) > 1<<20 {
		c.out = nil
	}
	if err != nil {
		return fmt.Errorf("handover: send: %w", err)
	}
	return nil
}

// Read reads messages until the channel's end, which is no error, and has each taken with
// its descriptors, which are the taker's then.
func (c *Channel) Read(take func(Message, []int)) error {
	var in []byte
	var fds []int
	defer func() {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
	}()
	buf, oob := make([]byte, 64<<10), make([]byte, unix.CmsgSpace(64*4))
	for {
		n, oobn, _, _, err := c.conn.ReadMsgUnix(buf, oob)
		if oobn > 0 {
			got, perr := received(oob[:oobn])
			if fds = append(fds, got...); perr != nil {
				return perr
			}
		}
		in = append(in, buf[:max(n, 0)]...) // it is -1 with some errors
		for {
			m, count, used, perr := parse(in)
			if perr != nil {
				return perr
			}
			if used == 0 {
				break
			}
			if count > len(fds) {
				return fmt.Errorf("%w: %d descriptors are missing", ErrMalformedFrame, count-len(fds))
			}
			mine := append([]int(nil), fds[:count]...)
			fds = fds[count:]
			in = in[used:]
			take(m, mine)
		}
		switch {
		// A process that dies with something unread in its end resets the channel; what it had
		// written was read before that is told.
		case errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET) || err == nil && n == 0 && oobn == 0:
			if len(in) > 0 {
				return fmt.Errorf("%w: it stops in the middle", ErrMalformedFrame)
			}
			return nil
		case err != nil:
			return fmt.Errorf("handover: read: %w", err)
		}
	}
}

func received(oob []byte) (fds []int, err error) {
	all, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	for i := range all {
		got, err := unix.ParseUnixRights(&all[i])
		if err != nil {
			return fds, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
		}
		for _, fd := range got {
			unix.CloseOnExec(fd)
		}
		fds = append(fds, got...)
	}
	return fds, nil
}

// parse reads one frame; used is 0 while it is not whole.
func parse(b []byte) (m Message, fds, used int, err error) {
	if len(b) < frameHead {
		return nil, 0, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length > MaxFrameBytes || b[4] > mostFDs {
		return nil, 0, 0, fmt.Errorf("%w: %d bytes and %d descriptors", ErrMalformedFrame, length, b[4])
	}
	used = frameHead + int(length)
	if len(b) < used {
		return nil, 0, 0, nil
	}
	if m = blank(b[5]); m == nil {
		return nil, 0, 0, fmt.Errorf("%w: %d", ErrUnknownKind, b[5])
	}
	if err := decoder.Unmarshal(b[frameHead:used], m); err != nil {
		return nil, 0, 0, fmt.Errorf("%w: %T: %w", ErrMalformedFrame, m, err)
	}
	return m, int(b[4]), used, nil
}
