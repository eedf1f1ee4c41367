package load

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// HTTP is a client of the HTTP frontend.
type HTTP struct {
	transport
	n    uint64    // number of the latest request, sent as its Req-Id
	addr string    // host and port of the frontend
	used time.Time // when the latest request was sent
}

// maxIdle is how long a client keeps an unused connection: the gateway closes those that are idle for
// 30 s.
const maxIdle = 20 * time.Second

// DialHTTP connects to an HTTP frontend and requests the gateway's health, because the gateway closes
// a connection that makes no call within 2 s. Request numbers start from seed, so seeds must differ
// between clients.
func DialHTTP(addr string, seed uint64) (*HTTP, error) {
	w, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c := &HTTP{transport: w, n: seed << 24, addr: addr, used: time.Now()}
	_ = c.conn.SetDeadline(time.Now().Add(setupTimeout))
	if err := c.checkHealth(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *HTTP) checkHealth() error {
	if _, err := io.WriteString(c.conn, "GET /health HTTP/1.1\r\nHost: lab\r\n\r\n"); err != nil {
		return err
	}
	_, _, err := c.answer()
	return err
}

// Send sends one request as a POST and waits for its answer. It connects again first if the connection
// was idle for longer than maxIdle.
func (c *HTTP) Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string) {
	path := "lookup"
	text := fmt.Sprintf("SELECT part, note FROM stock_3.parts WHERE tag = '%s'", mark)
	keyHeader := ""
	if kind == Load {
		path = "load"
		text = fmt.Sprintf("INSERT INTO stock_3.batches VALUES ('%s')", mark)
		keyHeader = "Req-Token: " + mark + "\r\n"
	}
	if statement != nil {
		text = statement.Text + " /* " + mark + " */"
	}
	c.n++
	if time.Since(c.used) > maxIdle {
		w, err := dial(c.addr)
		if err != nil {
			return Unreachable, err.Error()
		}
		c.Close()
		c.transport = w
	}
	c.used = time.Now()
	_ = c.conn.SetDeadline(time.Now().Add(within + grace))
	if _, err := fmt.Fprintf(c.conn, "POST /rpc/%s HTTP/1.1\r\nHost: lab\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		path, c.n, within.Milliseconds(), keyHeader, len(text), text); err != nil {
		return connectionError(err)
	}
	status, body, err := c.answer()
	if err != nil {
		return connectionError(err)
	}
	switch {
	case status == 200 && strings.Contains(body, mark):
		return Served, ""
	case status == 200:
		return Corrupt, body
	case status == 503 || status == 429:
		return Refused, body
	}
	return Failed, fmt.Sprintf("%d %s", status, body)
}

// answer reads an HTTP response: its status line, its headers and a body of Content-Length bytes.
func (c *HTTP) answer() (status int, body string, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return 0, "", err
	}
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
		return 0, "", fmt.Errorf("response starts with %q, want an HTTP/1.1 status line: %w", line, err)
	}
	length := 0
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return 0, "", err
		}
		name, value, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok {
			break
		}
		if strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(value); err != nil {
				return 0, "", err
			}
		}
	}
	b := make([]byte, length)
	_, err = io.ReadFull(c.in, b)
	return status, string(b), err
}
