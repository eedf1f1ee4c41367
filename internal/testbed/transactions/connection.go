package transactions

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"gannetspur/internal/pgproto"
)

// answerTimeout bounds the wait for an answer, so that a lost answer becomes a fault.
const answerTimeout = 20 * time.Second

// answer is what a client received for one Query or one extended batch.
type answer struct {
	tags   []string // tags of the CommandComplete messages
	rows   []string // first columns of the rows
	code   string   // SQLSTATE of the error; empty if there was none
	status byte     // transaction status of ReadyForQuery; 0 if the connection ended before
}

// ended reports whether the connection ended before the answer was complete.
func (a answer) ended() bool { return a.status == 0 }

// connection is a connection to the gateway.
type connection struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
	key  []byte // body of BackendKeyData, which a CancelRequest repeats
}

// dial connects to the gateway.
func dial(addr string) (*connection, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("transactions: %w", err)
	}
	c := &connection{addr: addr, conn: conn, in: bufio.NewReader(conn)}
	parameters := slices.Concat(pgproto.CString("user"), pgproto.CString("t"), []byte{0})
	if _, err = conn.Write(pgproto.AppendStartup(nil, pgproto.Version, parameters)); err != nil {
		c.close()
		return nil, fmt.Errorf("transactions: %w", err)
	}
	if c.receive().ended() {
		c.close()
		return nil, errors.New("transactions: the gateway closed the connection during the startup")
	}
	return c, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// exchange sends messages that end with a Query or a Sync, and receives the answer.
func (c *connection) exchange(messages []byte) answer {
	if _, err := c.conn.Write(messages); err != nil {
		return answer{}
	}
	return c.receive()
}

// receive reads up to ReadyForQuery or the end of the connection.
func (c *connection) receive() (a answer) {
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c.in, head); err != nil {
			return a
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c.in, body); err != nil {
			return a
		}
		reader := pgproto.Reader{Rest: body}
		switch head[0] {
		case pgproto.MessageBackendKeyData:
			c.key = body
		case pgproto.MessageCommandComplete:
			a.tags = append(a.tags, reader.CString())
		case pgproto.MessageDataRow:
			reader.Count()
			a.rows = append(a.rows, string(reader.Bytes(reader.Int32())))
		case pgproto.MessageErrorResponse:
			if e, err := pgproto.ReadError(body); err == nil {
				a.code = e.Code
			}
		case pgproto.MessageReadyForQuery:
			a.status = reader.Byte()
			return a
		}
	}
}

// unread returns the number of bytes that arrive although no answer is owed.
func (c *connection) unread() int {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, _ = c.in.Peek(1)
	return c.in.Buffered()
}

// cancel sends a CancelRequest for the connection after a delay.
func (c *connection) cancel(delay time.Duration) {
	addr, key := c.addr, c.key
	time.AfterFunc(delay, func() {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		_, _ = conn.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, key))
		_ = conn.Close()
	})
}

// Simple returns a Query.
func Simple(text string) []byte {
	return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(text))
}

// Extended returns one batch of the extended protocol that runs statements.
func Extended(texts ...string) (messages []byte) {
	for _, text := range texts {
		messages = pgproto.AppendMessage(messages, pgproto.MessageParse, []byte{0}, pgproto.CString(text), []byte{0, 0})
		messages = pgproto.AppendMessage(messages, pgproto.MessageBind, []byte{0, 0}, make([]byte, 6))
		messages = pgproto.AppendMessage(messages, pgproto.MessageDescribe, []byte("P\x00"))
		messages = pgproto.AppendMessage(messages, pgproto.MessageExecute, []byte{0}, pgproto.Int32(0))
	}
	return pgproto.AppendMessage(messages, pgproto.MessageSync)
}
