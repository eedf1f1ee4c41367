package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	channelWriteBuffer = 4 << 20 // bytes; with a smaller one the sender only waits more often
	channelReadBuffer  = 64 << 10
	// maxDescriptorsPerRead bounds the descriptors of the frames that one read returns.
	maxDescriptorsPerRead = 64
	descriptorBytes       = 4 // of one in a control message
	// maxKeptSendBuffer bounds the buffer that is kept for the next frame to send.
	maxKeptSendBuffer = 1 << 20
)

// Channel carries messages and descriptors between the two processes. Send may be called from
// any goroutine.
type Channel struct {
	conn *net.UnixConn
	mu   sync.Mutex
	out  []byte // guarded by mu
}

// NewChannelPair returns this process's end of a new channel, and the file of the other end for
// a child process to inherit.
func NewChannelPair() (*Channel, *os.File, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: socketpair: %w", err)
	}
	peer := os.NewFile(uintptr(fds[1]), "handover")
	ch, err := ChannelFromFile(os.NewFile(uintptr(fds[0]), "handover"))
	if err != nil {
		_ = peer.Close()
		return nil, nil, err
	}
	return ch, peer, nil
}

// ChannelFromFile returns a channel over an inherited file, which it closes.
func ChannelFromFile(f *os.File) (*Channel, error) {
	defer func() { _ = f.Close() }() // FileConn has duplicated it
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("handover: channel: %w", err)
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		_ = c.Close()
		return nil, errors.New("handover: channel: no unix socket")
	}
	_ = u.SetWriteBuffer(channelWriteBuffer)
	return &Channel{conn: u}, nil
}

// Close closes this end of the channel.
func (c *Channel) Close() error { return c.conn.Close() }

// Send sends a message with descriptors, which stay the caller's. Once it returns the message
// is in the kernel: it arrives even if this process dies at once.
func (c *Channel) Send(m Message, fds ...int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	frame, err := appendFrame(c.out[:0], m, len(fds))
	if err != nil {
		return err
	}
	c.out = frame
	if cap(c.out) > maxKeptSendBuffer {
		c.out = nil
	}
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	n, _, err := c.conn.WriteMsgUnix(frame, rights, nil)
	if err == nil && n < len(frame) {
		_, err = c.conn.Write(frame[n:])
	}
	if err != nil {
		return fmt.Errorf("handover: send: %w", err)
	}
	return nil
}

// Read reads messages until the channel's end, which is no error. It calls handle for each with
// its descriptors, which the callee owns.
func (c *Channel) Read(handle func(Message, []int)) error {
	var pending received
	defer pending.close()
	buf := make([]byte, channelReadBuffer)
	control := make([]byte, unix.CmsgSpace(maxDescriptorsPerRead*descriptorBytes))
	for {
		n, controlBytes, _, _, err := c.conn.ReadMsgUnix(buf, control)
		if controlBytes > 0 {
			if err := pending.addDescriptors(control[:controlBytes]); err != nil {
				return err
			}
		}
		pending.bytes = append(pending.bytes, buf[:max(n, 0)]...) // n is -1 with some errors
		if err := pending.deliver(handle); err != nil {
			return err
		}
		switch {
		case err == nil && (n > 0 || controlBytes > 0):
		case err == nil || endOfChannel(err):
			if len(pending.bytes) > 0 {
				return fmt.Errorf("%w: the channel ends in the middle of it", ErrMalformedFrame)
			}
			return nil
		default:
			return fmt.Errorf("handover: read: %w", err)
		}
	}
}

// endOfChannel reports whether an error is the end of the channel. A process that dies with
// unread data in its end resets the channel; what it had written was read before that.
func endOfChannel(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET)
}

// received is what was read of a channel and not delivered.
type received struct {
	bytes       []byte
	descriptors []int
}

func (r *received) close() { closeDescriptors(r.descriptors) }

// addDescriptors takes the descriptors out of a control message.
func (r *received) addDescriptors(control []byte) error {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedFrame, err)
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
		}
		r.descriptors = append(r.descriptors, fds...)
	}
	return nil
}

// deliver calls handle for each complete frame.
func (r *received) deliver(handle func(Message, []int)) error {
	for {
		m, count, used, err := parseFrame(r.bytes)
		if err != nil {
			return err
		}
		if used == 0 {
			return nil
		}
		if count > len(r.descriptors) {
			return fmt.Errorf("%w: %d descriptors are missing", ErrMalformedFrame, count-len(r.descriptors))
		}
		fds := append([]int(nil), r.descriptors[:count]...)
		r.descriptors = r.descriptors[count:]
		r.bytes = r.bytes[used:]
		handle(m, fds)
	}
}
