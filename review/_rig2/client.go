package main

import (
	"errors"
	"net"
	"time"

	"gannetspur/internal/pgproto"
)

// client is a client that speaks the PostgreSQL wire protocol.
type client struct {
	conn net.Conn
	in   []byte
}

// answer is what a client was told on one statement.
type answer struct {
	rows []string
	tag  string
	code string // SQLSTATE of an error; "": none
	err  error  // the connection ended, or the client stopped waiting
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return a.err.Error()
	case a.code != "":
		return "error " + a.code
	}
	return "served"
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn}
	body := append(pgproto.CString("user"), pgproto.CString("desk")...)
	if _, err := conn.Write(pgproto.AppendStartup(nil, pgproto.Version, append(body, 0))); err != nil {
		return nil, err
	}
	a := c.read(5 * time.Second)
	if a.code != "" {
		a.err = errors.New("refused with " + a.code)
	}
	return c, a.err
}

// client connects a client, or gives the case up.
func (r *rig) client(addr string) *client {
	c, err := dialClient(addr)
	r.must(err)
	return c
}

// read reads messages up to ReadyForQuery.
func (c *client) read(within time.Duration) (a answer) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, 8192)
	for {
		kind, body, n, err := pgproto.ReadMessage(c.in, 8<<20)
		if err != nil {
			a.err = err
			return a
		}
		if n == 0 {
			m, err := c.conn.Read(b)
			c.in = append(c.in, b[:m]...)
			if err != nil {
				a.err = err
				return a
			}
			continue
		}
		c.in = c.in[n:]
		r := pgproto.Reader{Rest: body}
		switch kind {
		case pgproto.MessageDataRow:
			r.Count()
			a.rows = append(a.rows, string(r.Bytes(r.Int32())))
		case pgproto.MessageCommandComplete:
			a.tag = r.CString()
		case pgproto.MessageErrorResponse:
			if e, err := pgproto.ReadError(body); err == nil {
				a.code = e.Code
			}
		case pgproto.MessageReadyForQuery:
			return a
		}
	}
}

// query sends a Query.
func (c *client) query(text string, within time.Duration) answer {
	if _, err := c.conn.Write(pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(text))); err != nil {
		return answer{err: err}
	}
	return c.read(within)
}

// execute sends a statement with text parameters by Parse, Bind, Execute and Sync.
func (c *client) execute(text string, within time.Duration, parameters ...string) answer {
	if err := c.send(text, parameters...); err != nil {
		return answer{err: err}
	}
	return c.read(within)
}

func (c *client) send(text string, parameters ...string) error {
	count := []byte{0, byte(len(parameters))}
	bind := append([]byte{0, 0, 0, 0}, count...)
	for _, p := range parameters {
		bind = append(append(bind, pgproto.Int32(len(p))...), p...)
	}
	m := pgproto.AppendMessage(nil, pgproto.MessageParse, pgproto.CString(""), pgproto.CString(text), []byte{0, 0})
	m = pgproto.AppendMessage(m, pgproto.MessageBind, append(bind, 0, 0))
	m = pgproto.AppendMessage(m, pgproto.MessageExecute, []byte{0}, pgproto.Int32(0))
	m = pgproto.AppendMessage(m, pgproto.MessageSync)
	_, err := c.conn.Write(m)
	return err
}

func (c *client) close() { _ = c.conn.Close() }
