package load

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"time"

	"gannetspur/internal/pgproto"
)

// Postgres is a client of the PostgreSQL frontend. It prepares its statements when it connects.
type Postgres struct {
	transport
	n int // number of the latest request, from 1; determines how the request is sent
}

// DialPostgres connects to a PostgreSQL frontend, logs in and prepares the client's statements.
func DialPostgres(addr string) (*Postgres, error) {
	w, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c := &Postgres{transport: w}
	_ = c.conn.SetDeadline(time.Now().Add(setupTimeout))
	if err := c.prepare(); err != nil {
		c.Close()
		return nil, err
	}
	_ = c.conn.SetDeadline(time.Time{})
	return c, nil
}

// prepare logs in and prepares a statement for each kind of request, in one round trip.
func (c *Postgres) prepare() error {
	out := pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("lab")...), 0))
	for _, s := range [][2]string{
		{"q", "SELECT part, note FROM stock_3.parts WHERE tag = $1"},
		{"r", "/* class=report */ SELECT day, count(*) FROM stock_3.orders WHERE tag = $1 GROUP BY day"},
		{"k", "INSERT INTO stock_3.batches VALUES ($1)"},
		{"w", "UPDATE stock_3.parts SET seen = seen + 1 WHERE tag = $1"},
	} {
		out = pgproto.AppendMessage(out, 'P', pgproto.CString(s[0]), pgproto.CString(s[1]), []byte{0, 0})
	}
	out = pgproto.AppendMessage(out, 'S')
	if _, err := c.conn.Write(out); err != nil {
		return err
	}
	for ready := 0; ready < 2; { // after the login and after the Sync
		kind, body, err := c.message()
		if err != nil {
			return err
		}
		switch kind {
		case 'Z':
			ready++
		case 'E':
			return fmt.Errorf("the gateway refused the login or a statement: %.200q", body)
		}
	}
	return nil
}

// maxMessageBytes bounds a message that a client accepts.
const maxMessageBytes = 8 << 20

// message reads a backend message.
func (c *Postgres) message() (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.in, head); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > maxMessageBytes {
		return 0, nil, fmt.Errorf("message of %d bytes, want 0 to %d", n, maxMessageBytes)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(c.in, body)
	return head[0], body, err
}

// messages returns what a client sends for a recorded statement: a Query, or with bound values Parse,
// Bind, Execute and Sync.
func (s *Statement) messages(mark string) []byte {
	text := s.Text + " /* " + mark + " */"
	if len(s.Values) == 0 {
		return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text))
	}
	count := func(n int) []byte { return binary.BigEndian.AppendUint16(nil, uint16(n)) }
	out := pgproto.AppendMessage(nil, 'P', []byte{0}, pgproto.CString(text), append(count(len(s.Types)/4), s.Types...))
	body := append(append(count(len(s.Formats)/2), s.Formats...), count(len(s.Values))...)
	for _, v := range s.Values {
		if v == nil {
			body = append(body, pgproto.Int32(-1)...)
			continue
		}
		body = append(append(body, pgproto.Int32(len(v))...), v...)
	}
	out = pgproto.AppendMessage(out, 'B', []byte{0, 0}, append(body, 0, 0))
	return pgproto.AppendMessage(pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(0)), 'S')
}

// fetch is how a request fetches its rows.
type fetch int

const (
	fetchAll   fetch = iota // all rows at once
	fetchPaged              // the first row alone, the others once the portal is suspended
)

// appendExecute appends an Execute of at most rows rows (0: all) and the message of type end, a Sync
// (S) or a Flush (H).
func appendExecute(out []byte, rows int, end byte) []byte {
	out = pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(rows))
	return pgproto.AppendMessage(out, end)
}

// request returns the messages of the client's own statement for request number n. A lookup
// whose number is a multiple of 3 sends its value in the text of a Query; all other requests bind it.
// A lookup that binds its value fetches its rows in two pages if its number is a multiple of 5.
func (c *Postgres) request(kind Kind, mark string) (out []byte, rows fetch) {
	if kind == Lookup && c.n%3 == 0 {
		text := fmt.Sprintf("SELECT part, note FROM stock_3.parts WHERE tag = '%s'", mark)
		return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text)), fetchAll
	}
	out = pgproto.AppendMessage(nil, 'B', []byte{0}, pgproto.CString(string(rune(kind))), []byte{0, 0, 0, 1}, pgproto.Int32(len(mark)), []byte(mark), []byte{0, 0})
	if kind == Lookup && c.n%5 == 0 {
		return appendExecute(out, 1, 'H'), fetchPaged
	}
	return appendExecute(out, 0, 'S'), fetchAll
}

// Send sends one request, with the client's own statement or the recorded one, and waits for its answer.
func (c *Postgres) Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string) {
	c.n++
	_ = c.conn.SetDeadline(time.Now().Add(within + grace))
	var out []byte
	rows := fetchAll
	if statement != nil {
		out = statement.messages(mark)
	} else {
		out, rows = c.request(kind, mark)
	}
	if _, err := c.conn.Write(out); err != nil {
		return connectionError(err)
	}
	return c.response(mark, rows)
}

// response reads the answer to a request, up to the message that ends it.
func (c *Postgres) response(mark string, rows fetch) (Verdict, string) {
	verdict := Corrupt
	detail := "ReadyForQuery without CommandComplete or an error"
	seen := false
	for {
		kind, body, err := c.message()
		if err != nil {
			return connectionError(err)
		}
		switch kind {
		case 'D':
			seen = seen || strings.Contains(string(body), mark)
		case 's': // PortalSuspended: fetch the remaining rows
			if _, err := c.conn.Write(appendExecute(nil, 0, 'S')); err != nil {
				return connectionError(err)
			}
		case 'C':
			verdict, detail = Served, ""
			if !seen {
				verdict, detail = Corrupt, "no row holds the request's mark"
			}
		case 'E':
			e, err := pgproto.ReadError(body)
			if err != nil {
				return Corrupt, err.Error()
			}
			verdict, detail = verdictOf(e.Code), e.Code+" "+e.Message
			if e.Severity == "FATAL" {
				return Reset, detail
			}
			if rows == fetchPaged { // the Sync after the second page was not sent yet
				if _, err := c.conn.Write(pgproto.AppendMessage(nil, 'S')); err != nil {
					return connectionError(err)
				}
			}
		case 'Z':
			return verdict, detail
		}
	}
}

// verdictOf returns the verdict of an error by its SQLSTATE.
func verdictOf(code string) Verdict {
	switch code {
	case "53000":
		return Refused
	case "40003":
		return Ambiguous
	case "57014":
		return Late
	}
	return Failed
}
