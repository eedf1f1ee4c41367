package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
)

// maxReplyBytes bounds one reply, which may hold all counters or all sites.
const maxReplyBytes = 16 << 20

// FetchStatus returns the status of the gateway that listens at the socket path.
func FetchStatus(ctx context.Context, path string) (*Status, error) {
	last, err := Call(ctx, path, Request{Command: CommandStatus}, func(Reply) {})
	if err == nil && last.Status == nil {
		err = errors.New(last.Problem)
	}
	return last.Status, err
}

// Call sends a request to the gateway that listens at the socket path. It calls onReply for each
// reply but the last, which it returns. It fails if the connection ends before the last reply.
func Call(ctx context.Context, path string, request Request, onReply func(Reply)) (last Reply, err error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	if err != nil {
		return last, fmt.Errorf("admin: %w", err)
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	b, err := json.Marshal(request)
	if err != nil {
		return last, fmt.Errorf("admin: %w", err)
	}
	if _, err := c.Write(append(b, '\n')); err != nil {
		return last, fmt.Errorf("admin: %w", err)
	}
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, maxReplyBytes)
	for lines.Scan() {
		last = Reply{}
		if err := json.Unmarshal(lines.Bytes(), &last); err != nil {
			return last, fmt.Errorf("admin: %w", err)
		}
		if last.Done {
			return last, nil
		}
		onReply(last)
	}
	cause := errors.Join(lines.Err(), ctx.Err(), io.ErrUnexpectedEOF)
	return last, fmt.Errorf("admin: connection closed before the final reply: %w", cause)
}
