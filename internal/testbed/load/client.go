// Package load sends traffic to a gateway as its clients do and writes down what became of
// each request. Arrivals don't wait for answers: a gateway that stands still for a while is
// seen by all that would have come meanwhile.
package load

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/pgproto"
)

// Verdict is what a client was told.
type Verdict string

// Verdicts.
const (
	Served      Verdict = "served"
	Refused     Verdict = "refused" // trying again is harmless
	Failed      Verdict = "failed"
	Ambiguous   Verdict = "doubt"   // it may have run (40003)
	Late        Verdict = "late"    // its time was over (57014)
	Reset       Verdict = "reset"   // the connection ended without an answer
	Silent      Verdict = "silent"  // no answer in time
	Corrupt     Verdict = "spoilt"  // an answer to something else, or what can't be read
	Unreachable Verdict = "unasked" // no connection could be had
)

// Kind is what a request does.
type Kind byte

// Kinds of request; its letter begins the mark.
const (
	Lookup Kind = 'q'
	Report Kind = 'r'
	Load   Kind = 'k'
	Write  Kind = 'w'
)

// Statement is a recorded statement that a request sends in place of the client's own; nil:
// the own one. Its mark is put behind it as a comment.
type Statement struct {
	Text           string
	Values         [][]byte // bound; none: it goes as a Query, or as the body of a call
	Formats, Types []byte   // of them, as in Bind and Parse but without their counts
}

// Client is one connection of a client.
type Client interface {
	// Send sends one request and waits for its answer.
	Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string)
	// Idle tells whether the connection still stands, between two requests.
	Idle() Verdict
	Close()
}

// grace is how much later than the request's own time an answer still counts.
const grace = time.Second

// wire is what both have in common.
type wire struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(addr string) (wire, error) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return wire{}, err
	}
	return wire{c, bufio.NewReader(c)}, nil
}

func (w *wire) Close() { _ = w.conn.Close() }

// Idle reads nothing for a moment: what comes is an answer that nobody asked for, or the end.
func (w *wire) Idle() Verdict {
	_ = w.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := w.in.Peek(1)
	_ = w.conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return Corrupt
	case errors.Is(err, io.EOF) || !isTimeout(err):
		return Reset
	}
	return Served
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func broken(err error) (Verdict, string) {
	if isTimeout(err) {
		return Silent, err.Error()
	}
	return Reset, err.Error()
}

// HTTP is a client of the platform's front.
type HTTP struct {
	wire
	n    uint64
	addr string
	used time.Time
}

// idleMost is how long a client keeps a connection that it does not use: the gateway closes those that
// are idle for 30 s.
const idleMost = 20 * time.Second

// DialHTTP connects and asks how the gateway is: a connection that makes no call within 2 s
// is closed.
func DialHTTP(addr string, seed uint64) (*HTTP, error) {
	w, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c := &HTTP{wire: w, n: seed << 24, addr: addr, used: time.Now()}
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = io.WriteString(c.conn, "GET /health HTTP/1.1\r\nHost: lab\r\n\r\n"); err == nil {
		_, _, err = c.answer()
	}
	if err != nil {
		_ = c.conn.Close()
		return nil, err
	}
	return c, nil
}

// Send sends one request.
func (c *HTTP) Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string) {
	path, text, head := "lookup", fmt.Sprintf("SELECT part, note FROM stock_3.parts WHERE tag = '%s'", mark), ""
	if kind == Load {
		path, text, head = "load", fmt.Sprintf("INSERT INTO stock_3.batches VALUES ('%s')", mark), "Req-Token: "+mark+"\r\n"
	}
	if statement != nil {
		text = statement.Text + " /* " + mark + " */"
	}
	c.n++
	if time.Since(c.used) > idleMost {
		w, err := dial(c.addr)
		if err != nil {
			return Unreachable, err.Error()
		}
		c.Close()
		c.wire = w
	}
	c.used = time.Now()
	_ = c.conn.SetDeadline(time.Now().Add(within + grace))
	if _, err := fmt.Fprintf(c.conn, "POST /rpc/%s HTTP/1.1\r\nHost: lab\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		path, c.n, within.Milliseconds(), head, len(text), text); err != nil {
		return broken(err)
	}
	status, body, err := c.answer()
	if err != nil {
		return broken(err)
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

func (c *HTTP) answer() (status int, body string, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return 0, "", err
	}
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
		return 0, "", fmt.Errorf("%q is no status: %w", line, err)
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

// Postgres is a client of the PostgreSQL front. It prepares its statements when it connects
// and binds them from then on.
type Postgres struct {
	wire
	n int
}

// DialPostgres connects and prepares.
func DialPostgres(addr string) (*Postgres, error) {
	w, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c := &Postgres{wire: w}
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
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = c.conn.Write(out); err == nil {
		for ready := 0; ready < 2 && err == nil; {
			var kind byte
			var body []byte
			if kind, body, err = c.message(); kind == 'Z' {
				ready++
			} else if kind == 'E' {
				err = fmt.Errorf("%.200q", body)
			}
		}
	}
	if err != nil {
		_ = c.conn.Close()
		return nil, err
	}
	_ = c.conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *Postgres) message() (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.in, head); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 8<<20 {
		return 0, nil, fmt.Errorf("a message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(c.in, body)
	return head[0], body, err
}

// messages are what a client sends for a recorded statement: a Query, or a Parse and a Bind.
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

// Send sends one request: a recorded statement as it was recorded; of its own, every third lookup has its value in the text of a Query, every fifth
// fetches its rows one by one by way of a portal, all others bind.
func (c *Postgres) Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string) {
	c.n++
	_ = c.conn.SetDeadline(time.Now().Add(within + grace))
	var out []byte
	paged := false
	switch {
	case statement != nil:
		out = statement.messages(mark)
	case kind == Lookup && c.n%3 == 0:
		out = pgproto.AppendMessage(nil, 'Q', pgproto.CString(fmt.Sprintf("SELECT part, note FROM stock_3.parts WHERE tag = '%s'", mark)))
	default:
		out = pgproto.AppendMessage(nil, 'B', []byte{0}, pgproto.CString(string(rune(kind))), []byte{0, 0, 0, 1}, pgproto.Int32(len(mark)), []byte(mark), []byte{0, 0})
		if paged = kind == Lookup && c.n%5 == 0; paged {
			out = pgproto.AppendMessage(pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(1)), 'H')
		} else {
			out = pgproto.AppendMessage(pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(0)), 'S')
		}
	}
	if _, err := c.conn.Write(out); err != nil {
		return broken(err)
	}
	verdict, detail, seen := Corrupt, "no completion", false
	for {
		k, body, err := c.message()
		if err != nil {
			return broken(err)
		}
		switch k {
		case 'D':
			seen = seen || strings.Contains(string(body), mark)
		case 's':
			if _, err := c.conn.Write(pgproto.AppendMessage(pgproto.AppendMessage(nil, 'E', []byte{0}, pgproto.Int32(0)), 'S')); err != nil {
				return broken(err)
			}
		case 'C':
			if verdict, detail = Served, ""; !seen {
				verdict, detail = Corrupt, "another's rows"
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
			if paged { // the Sync that follows the pages was not sent yet
				if _, err := c.conn.Write(pgproto.AppendMessage(nil, 'S')); err != nil {
					return broken(err)
				}
			}
		case 'Z':
			return verdict, detail
		}
	}
}

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
