package emulator

import (
	"crypto/tls"
	"encoding/binary"
	"net"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/testbed/enginemodel"
)

// columns is the body of a RowDescription of one text column.
var columns = append([]byte{0, 1}, append([]byte("asked\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)...)

// Postgres serves the PostgreSQL wire protocol on a listener until that is closed, one statement at a time
// on each connection. The answer to a statement is two rows, its text and its first bound value; the answer to
// SHOW is the value of the setting, "default" if none was set. As in PostgreSQL, the statements up to a Sync
// are one transaction, and a rollback undoes writes and settings.
func Postgres(ln net.Listener, opts Options) {
	serveEach(ln, func(c net.Conn) {
		if err := serve(c, opts); err != nil {
			opts.Log.Warn("connection ended", "error", err)
		}
	})
}

// portal is a bound statement.
type portal struct {
	query, key string   // text, and first bound value or ""
	begun      bool     // whether the statement has been executed
	rows       []string // rows not fetched yet; empty until the statement has been executed
}

// fetch appends the next rows, at most limit (0: all), and a CommandComplete or PortalSuspended.
func (p *portal) fetch(out []byte, limit int) []byte {
	n := len(p.rows)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range p.rows[:n] {
		out = pgproto.AppendMessage(out, 'D', []byte{0, 1}, pgproto.Int32(len(row)), []byte(row))
	}
	if p.rows = p.rows[n:]; limit > 0 && n == limit { // as PostgreSQL does, even if no rows are left
		return pgproto.AppendMessage(out, 's')
	}
	return pgproto.AppendMessage(out, 'C', pgproto.CString("SELECT "+strconv.Itoa(n)))
}

// serve serves one connection of the gateway, message by message, until it ends.
func serve(c net.Conn, opts Options) error {
	log := opts.Log
	in, p := []byte{}, make([]byte, 8192)
	receive := func() error {
		n, err := c.Read(p)
		in = append(in, p[:n]...)
		return err
	}
	for {
		code, body, n, err := pgproto.ReadStartup(in)
		if err != nil {
			return err
		}
		if in = in[n:]; n > 0 {
			switch code {
			case pgproto.CancelRequest:
				log.Info("given up")
				return nil
			case pgproto.SSLRequest:
				if opts.TLS == nil {
					_, _ = c.Write([]byte("N"))
					continue
				}
				_, _ = c.Write([]byte("S"))
				c = tls.Server(c, opts.TLS)
				continue
			}
			if opts.Logins != nil {
				if in, err = authenticate(c, string(body), in, opts.Logins); err != nil {
					return err
				}
				break
			}
			if opts.User != "" && !strings.Contains(string(body), "user\x00"+opts.User+"\x00") {
				e := pgproto.Error{Severity: "FATAL", Code: "28000", Message: "this user is not trusted here"}
				_, err := c.Write(pgproto.AppendMessage(nil, 'E', e.Body()))
				return err
			}
			break
		}
		if err := receive(); err != nil {
			return err
		}
	}
	out := pgproto.AppendMessage(nil, 'R', pgproto.Int32(0))
	out = pgproto.AppendMessage(out, 'K', pgproto.Int32(1), pgproto.Int32(1))
	out = pgproto.AppendMessage(out, 'Z', []byte("I"))
	named, portals := map[string]string{}, map[string]*portal{}
	id := c.RemoteAddr().String()
	s := newPGSession(&opts, id)
	fail := func(code, text string) {
		out = pgproto.AppendMessage(out, 'E', newEngineError(code, text).Body())
		s.fail()
	}
	for {
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
		kind, body, n, err := pgproto.ReadMessage(in, 1<<20)
		if err != nil {
			return err
		}
		if n == 0 {
			if err := receive(); err != nil {
				return nil // the gateway has disconnected
			}
			continue
		}
		r := pgproto.Reader{Rest: body}
		if s.skip && kind != 'S' && kind != 'X' {
			in = in[n:]
			continue
		}
		switch kind {
		case 'Q': // the gateway's own commands; statements of clients use the extended protocol
			text := r.CString()
			if opts.Heard != nil {
				opts.Heard(id, text)
			}
			clear(named)
			if tag, e := s.query(text); e != nil {
				out = pgproto.AppendMessage(out, 'E', e.Body())
			} else {
				out = pgproto.AppendMessage(out, 'C', pgproto.CString(tag))
			}
			out = pgproto.AppendMessage(out, 'Z', []byte{s.status})
		case 'P':
			name := r.CString()
			if _, exists := named[name]; exists && name != "" {
				fail("42P05", "prepared statement already exists")
				break
			}
			named[name] = r.CString()
			log.Info("asked", "statement", short(named[name]))
			out = pgproto.AppendMessage(out, '1')
		case 'B':
			name := r.CString()
			text, exists := named[r.CString()]
			if !exists {
				fail("26000", "prepared statement does not exist")
				break
			}
			if portals[name] != nil && name != "" {
				fail("42P03", "cursor already exists")
				break
			}
			p := &portal{query: text}
			for range r.Count() {
				r.Int16()
			}
			if r.Count() > 0 {
				if n := r.Int32(); n > 0 {
					p.key = string(r.Bytes(n))
				}
			}
			portals[name] = p
			out = pgproto.AppendMessage(out, '2')
		case 'C':
			if target, name := r.Byte(), r.CString(); target == 'S' {
				delete(named, name)
			} else {
				delete(portals, name)
			}
			out = pgproto.AppendMessage(out, '3')
		case 'D':
			if r.Byte() == 'S' {
				out = pgproto.AppendMessage(out, 't', parameters(named[r.CString()]))
			}
			out = pgproto.AppendMessage(out, 'T', columns)
		case 'E':
			p := portals[r.CString()]
			if p == nil {
				fail("34000", "portal does not exist")
				break
			}
			limit := r.Int32()
			if p.begun {
				out = p.fetch(out, limit)
				break
			}
			query, key := p.query, p.key
			if opts.Heard != nil {
				opts.Heard(id, query)
			}
			if tag, e := s.control(query); e != nil {
				fail(e.Code, e.Message)
				break
			} else if tag != "" {
				if words := strings.Fields(query); tag == "SET" && len(words) > 3 {
					out = pgproto.AppendMessage(out, 'S', pgproto.CString(words[1]), pgproto.CString(strings.Trim(words[3], "'")))
				}
				out = pgproto.AppendMessage(out, 'C', pgproto.CString(tag))
				break
			}
			if opts.Fail != nil {
				if e := opts.Fail(query); e != nil {
					fail(e.Code, e.Message)
					break
				}
			}
			if opts.Ledger.Begin(opts.Name, query, key) {
				connection := watchClose(c)
				end, _, ok := opts.execute(query+" "+key, func(*enginemodel.Query) {}, nil, connection.closed)
				connection.end()
				if !ok {
					return nil // the gateway has closed the connection to cancel the statement
				}
				if end.Full {
					fail("53300", "too many sessions")
					break
				}
			}
			p.begun, p.rows = true, []string{query, key}
			if words := statementWords(query); words[0] == "SHOW" && len(words) > 1 {
				p.rows = []string{s.setting(strings.ToLower(words[1]))}
			}
			s.recordWrite(query)
			out = p.fetch(out, limit)
		case 'X':
			return nil
		case 'S':
			s.sync()
			if s.status == statusIdle {
				clear(portals)
			}
			out = pgproto.AppendMessage(out, 'Z', []byte{s.status})
		}
		in = in[n:]
	}
}

// authenticate performs a SCRAM login and returns the input that the client sent beyond it.
func authenticate(c net.Conn, startup string, in []byte, users *scramauth.Users) (rest []byte, err error) {
	_, user, _ := strings.Cut("\x00"+startup, "\x00user\x00")
	user, _, _ = strings.Cut(user, "\x00")
	l, err := users.StartLogin(user)
	if err != nil {
		return nil, err
	}
	out := pgproto.AppendMessage(nil, 'R', pgproto.Int32(pgproto.AuthSASL), pgproto.CString(scramauth.Mechanism), []byte{0})
	p := make([]byte, 4096)
	for step := 0; ; step++ {
		if _, err := c.Write(out); err != nil {
			return nil, err
		}
		var body []byte
		for n := 0; n == 0; {
			if _, body, n, err = pgproto.ReadMessage(in, 1<<16); err != nil {
				return nil, err
			} else if n > 0 {
				in = in[n:]
				break
			}
			m, err := c.Read(p)
			if err != nil {
				return nil, err
			}
			in = append(in, p[:m]...)
		}
		if step == 0 {
			r := pgproto.Reader{Rest: body}
			r.CString()
			body = r.Bytes(r.Int32())
		}
		answer, done, err := l.Step(string(body))
		if err != nil {
			e := pgproto.Error{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"}
			_, _ = c.Write(pgproto.AppendMessage(nil, 'E', e.Body()))
			return nil, err
		}
		if done {
			_, err = c.Write(pgproto.AppendMessage(nil, 'R', pgproto.Int32(pgproto.AuthSASLFinal), []byte(answer)))
			return in, err
		}
		out = pgproto.AppendMessage(nil, 'R', pgproto.Int32(pgproto.AuthSASLContinue), []byte(answer))
	}
}

// watch observes whether a connection ends while nothing reads from it.
type watch struct {
	closed  chan struct{} // closed when the connection has ended
	conn    net.Conn
	stopped chan struct{} // closed when the watch has stopped
}

// watchClose watches a connection until end is called. It only peeks at the input, so that input that the
// gateway sends ahead stays unread, and it stops at such input: the gateway sends nothing more until it
// has its answer. Connections without a file descriptor, such as TLS, are not watched.
func watchClose(c net.Conn) *watch {
	w := &watch{make(chan struct{}), c, make(chan struct{})}
	tcp, ok := c.(syscall.Conn)
	if !ok {
		close(w.stopped)
		return w
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		close(w.stopped)
		return w
	}
	go func() {
		defer close(w.stopped)
		ended := false
		err := raw.Read(func(fd uintptr) bool {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN; ended {
				return true
			}
			return n > 0 // input is pending: the connection is open
		})
		if err == nil && ended {
			close(w.closed)
		}
	}()
	return w
}

// end stops the watch by a read deadline in the past, and returns once it has stopped.
func (w *watch) end() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.stopped
	_ = w.conn.SetReadDeadline(time.Time{})
}

// parameter matches a reference to a parameter in a statement.
var parameter = regexp.MustCompile(`\$([0-9]+)`)

// parameters returns the body of a ParameterDescription with as many text parameters as the statement
// refers to, at most 100.
func parameters(query string) []byte {
	highest := 0
	for _, m := range parameter.FindAllStringSubmatch(query, -1) {
		if n, err := strconv.Atoi(m[1]); err == nil && n <= 100 {
			highest = max(highest, n)
		}
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(highest))
	for range highest {
		b = append(b, pgproto.Int32(25)...)
	}
	return b
}
