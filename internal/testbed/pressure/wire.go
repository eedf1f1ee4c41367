package pressure

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"gannetspur/internal/pgproto"
)

// protocolVersion is version 3.0 of the PostgreSQL protocol.
const protocolVersion = 3 << 16

// waitMS is how long the clients of the platform's front end say that they wait.
const waitMS = 6000

var lastRequestID atomic.Uint64

func init() { lastRequestID.Store(uint64(time.Now().UnixNano())) }

// newRequestID returns an id that no other request has.
func newRequestID() string { return fmt.Sprintf("%016x", lastRequestID.Add(1)) }

// platformRequest returns a call of the platform's front end.
func platformRequest(class, id, statement string) []byte {
	return platformRequestWaiting(class, id, statement, waitMS)
}

// platformRequestWaiting is platformRequest with the milliseconds that the client waits.
func platformRequestWaiting(class, id, statement string, wait int) []byte {
	return fmt.Appendf(nil, "POST /rpc/%s HTTP/1.1\r\nHost: gateway\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		class, id, wait, len(statement), statement)
}

// readPlatform reads one response of the platform's front end: its status and body. The error is io.EOF if the
// connection ends before the response begins.
func (c *clientConn) readPlatform() (string, error) {
	if _, err := c.responses.Peek(1); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it was read whole
	body, err := io.ReadAll(response.Body)
	return response.Status + " " + string(body), err
}

// startupPacket returns the startup of a PostgreSQL client.
func startupPacket() []byte { return startupWith("") }

// startupWith returns a startup packet whose application name is the text.
func startupWith(applicationName string) []byte {
	return pgproto.AppendStartup(nil, protocolVersion, []byte("user\x00desk\x00application_name\x00"+applicationName+"\x00\x00"))
}

// simpleQuery returns a Query.
func simpleQuery(text string) []byte {
	return pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(text))
}

// parseMessage returns a Parse without parameter types.
func parseMessage(name, text string) []byte {
	return pgproto.AppendMessage(nil, pgproto.MessageParse, pgproto.CString(name), pgproto.CString(text), []byte{0, 0})
}

// bindMessage returns a Bind with some values of one byte.
func bindMessage(portal, statement string, values int) []byte {
	body := binary.BigEndian.AppendUint16(nil, 0)
	body = binary.BigEndian.AppendUint16(body, uint16(values))
	for range values {
		body = append(body, 0, 0, 0, 1, 'x')
	}
	body = binary.BigEndian.AppendUint16(body, 0)
	return pgproto.AppendMessage(nil, pgproto.MessageBind, pgproto.CString(portal), pgproto.CString(statement), body)
}

// syncMessage returns a Sync.
func syncMessage() []byte { return pgproto.AppendMessage(nil, pgproto.MessageSync) }

// readPostgres reads messages up to ReadyForQuery and returns their types.
func (c *clientConn) readPostgres() (types string, err error) {
	const maxMessage = 1 << 24
	for {
		kind, _, n, err := pgproto.ReadMessage(c.in, maxMessage)
		if err != nil {
			return types, err
		}
		if n == 0 {
			if err := c.receive(); err != nil {
				return types, err
			}
			continue
		}
		c.in = c.in[n:]
		types += string(kind)
		if kind == pgproto.MessageReadyForQuery {
			return types, nil
		}
	}
}

// served reports whether the answer of a usual client says that its request was served.
func served(front Front, answer string) bool {
	if front == Postgres {
		return strings.HasSuffix(answer, "CZ")
	}
	return strings.HasPrefix(answer, "200 ")
}
