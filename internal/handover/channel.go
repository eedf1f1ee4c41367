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
	channelWriteBufferBytes = 4 << 20 // a smaller buffer only makes the sender block more often
	channelReadBufferBytes  = 64 << 10
	// maxDescriptorsPerRead is the maximum number of descriptors received in one read, over all
	// frames that it returns.
	maxDescriptorsPerRead = 64
	descriptorBytes       = 4 // size of a descriptor in a control message
	// maxRetainedSendBufferBytes is the largest send buffer that is reused for the next frame.
	maxRetainedSendBufferBytes = 1 << 20
)

// Channel carries messages and file descriptors between the source and the target. Send may be
// called from any goroutine.
type Channel struct {
	conn       *net.UnixConn
	mu         sync.Mutex
	sendBuffer []byte // reused for the next frame; guarded by mu
}

// NewChannelPair creates a channel. It returns this process's end, and the other end as a file that
// a child process can inherit. The caller closes the file.
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

// ChannelFromFile returns a channel that uses a unix socket inherited as a file. It closes the file.
func ChannelFromFile(f *os.File) (*Channel, error) {
	defer func() { _ = f.Close() }() // net.FileConn duplicates the descriptor
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("handover: channel: %w", err)
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		_ = c.Close()
		return nil, errors.New("handover: channel: not a unix socket")
	}
	_ = u.SetWriteBuffer(channelWriteBufferBytes)
	return &Channel{conn: u}, nil
}

// Close closes this end of the channel.
func (c *Channel) Close() error { return c.conn.Close() }

// Send sends a message with duplicates of the descriptors fds; the caller still has to close its
// own. Once Send returns without an error, the message is in the kernel: it is delivered even if
// this process then dies.
func (c *Channel) Send(m Message, fds ...int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	frame, err := appendFrame(c.sendBuffer[:0], m, len(fds))
	if err != nil {
		return err
	}
	c.sendBuffer = frame
	if cap(c.sendBuffer) > maxRetainedSendBufferBytes {
		c.sendBuffer = nil
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

// Read reads messages until the channel ends. It calls handle with each message and its descriptors,
// which handle has to close. The end of the channel is an error only in the middle of a frame.
func (c *Channel) Read(handle func(Message, []int)) error {
	var pending receiveBuffer
	defer pending.close()
	buf := make([]byte, channelReadBufferBytes)
	control := make([]byte, unix.CmsgSpace(maxDescriptorsPerRead*descriptorBytes))
	for {
		n, controlBytes, _, _, err := c.conn.ReadMsgUnix(buf, control)
		if controlBytes > 0 {
			if err := pending.addDescriptors(control[:controlBytes]); err != nil {
				return err
			}
		}
		pending.bytes = append(pending.bytes, buf[:max(n, 0)]...) // n is -1 for some errors
		if err := pending.deliver(handle); err != nil {
			return err
		}
		switch {
		case err == nil && (n > 0 || controlBytes > 0): // the channel has not ended
		case err == nil || isEndOfChannel(err):
			if len(pending.bytes) > 0 {
				return fmt.Errorf("%w: channel ended in the middle of the frame", ErrMalformedFrame)
			}
			return nil
		default:
			return fmt.Errorf("handover: read: %w", err)
		}
	}
}

// isEndOfChannel reports whether a read error means that the other process has closed its end or
// died. If it dies with unread data in its end, the kernel resets the channel (ECONNRESET); by then
// everything that it had written has been read.
func isEndOfChannel(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET)
}

// receiveBuffer holds bytes and descriptors that were read from a channel and not yet delivered.
type receiveBuffer struct {
	bytes       []byte
	descriptors []int
}

func (r *receiveBuffer) close() { closeDescriptors(r.descriptors) }

// addDescriptors appends the descriptors of the control messages of one read.
func (r *receiveBuffer) addDescriptors(control []byte) error {
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

// deliver removes each complete frame from the buffer and calls handle with its message and
// descriptors.
func (r *receiveBuffer) deliver(handle func(Message, []int)) error {
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
