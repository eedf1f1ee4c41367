package emulator

import (
	"encoding/binary"
	"errors"
	"net"
	"regexp"
	"strconv"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/enginemodel"
)

const (
	// readBytes is how much is read from a connection at a time.
	readBytes = 8192
	// maxMessageBytes is the maximum length of a message.
	maxMessageBytes = 1 << 20
)

// errConnectionOver ends a connection that the gateway has closed or terminated.
var errConnectionOver = errors.New("the connection is over")

// columns is the body of a RowDescription of one text column.
var columns = append([]byte{0, 1}, append([]byte("asked\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)...)

// Postgres serves the PostgreSQL wire protocol on a listener until that is closed, one statement at a time
// on each connection. The answer to a statement is two rows, its text and its first bound value; the answer to
// SHOW is the value of the setting, "default" if none was set; the answer to a statement with a constant of type DATE
// is the date, which is read by the DateStyle and the clock of its Parse. As in PostgreSQL, the statements up to a Sync
// are one transaction, and a rollback undoes writes and settings.
func Postgres(ln net.Listener, opts Options) {
	serveEach(ln, func(c net.Conn) {
		if err := servePostgres(c, opts); err != nil && !errors.Is(err, errConnectionOver) {
			opts.Log.Warn("connection ended", "error", err)
		}
	})
}

// portal is a bound statement.
type portal struct {
	preparedStatement
	key   string   // first bound value or ""
	begun bool     // whether the statement has been executed
	rows  []string // rows not fetched yet; empty until the statement has been executed
}

// fetch appends the next rows, at most limit (0: all), and a CommandComplete or PortalSuspended.
func (p *portal) fetch(out []byte, limit int) []byte {
	n := len(p.rows)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range p.rows[:n] {
		out = pgproto.AppendMessage(out, pgproto.MessageDataRow, []byte{0, 1}, pgproto.Int32(len(row)), []byte(row))
	}
	if p.rows = p.rows[n:]; limit > 0 && n == limit { // as PostgreSQL does, even if no rows are left
		return pgproto.AppendMessage(out, pgproto.MessagePortalSuspended)
	}
	return pgproto.AppendMessage(out, pgproto.MessageCommandComplete, pgproto.CString("SELECT "+strconv.Itoa(n)))
}

// pgConnection is one connection of the gateway to an engine.
type pgConnection struct {
	opts       Options
	id         string // remote address, which names the session
	conn       net.Conn
	in         []byte // received bytes that are not handled yet
	out        []byte // messages that are not written yet
	session    *pgSession
	statements map[string]preparedStatement // by name
	portals    map[string]*portal
}

// servePostgres serves one connection, message by message, until it ends.
func servePostgres(conn net.Conn, opts Options) error {
	id := conn.RemoteAddr().String()
	c := &pgConnection{
		opts: opts, id: id, conn: conn, session: newPGSession(&opts, id),
		statements: map[string]preparedStatement{}, portals: map[string]*portal{},
	}
	if ok, err := c.startUp(); !ok || err != nil {
		return err
	}
	c.greet()
	for {
		if err := c.flush(); err != nil {
			return err
		}
		kind, body, err := c.nextMessage()
		if err != nil {
			return err
		}
		isEnd := kind == pgproto.MessageSync || kind == pgproto.MessageTerminate
		if c.session.skip && !isEnd {
			continue
		}
		if err := c.handle(kind, pgproto.Reader{Rest: body}); err != nil {
			return err
		}
	}
}

// receive reads what has arrived.
func (c *pgConnection) receive() error {
	b := make([]byte, readBytes)
	n, err := c.conn.Read(b)
	c.in = append(c.in, b[:n]...)
	return err
}

// flush writes the messages that were replied.
func (c *pgConnection) flush() error {
	if len(c.out) == 0 {
		return nil
	}
	_, err := c.conn.Write(c.out)
	c.out = c.out[:0]
	return err
}

// nextMessage returns the type and the body of the next message.
func (c *pgConnection) nextMessage() (kind byte, body []byte, err error) {
	for {
		kind, body, n, err := pgproto.ReadMessage(c.in, maxMessageBytes)
		if err != nil {
			return 0, nil, err
		}
		if n > 0 {
			c.in = c.in[n:]
			return kind, body, nil
		}
		if c.receive() != nil {
			return 0, nil, errConnectionOver
		}
	}
}

// reply appends a message to those that flush writes.
func (c *pgConnection) reply(kind byte, parts ...[]byte) {
	c.out = pgproto.AppendMessage(c.out, kind, parts...)
}

func (c *pgConnection) readyForQuery() {
	c.reply(pgproto.MessageReadyForQuery, []byte{c.session.status})
}

// fail replies an error, which fails the transaction.
func (c *pgConnection) fail(e *pgproto.Error) {
	c.reply(pgproto.MessageErrorResponse, e.Body())
	c.session.fail()
}

// handle handles one message. An error ends the connection.
func (c *pgConnection) handle(kind byte, r pgproto.Reader) error {
	switch kind {
	case pgproto.MessageQuery:
		c.handleQuery(r.CString())
	case pgproto.MessageParse:
		c.handleParse(r.CString(), r.CString())
	case pgproto.MessageBind:
		c.handleBind(&r)
	case pgproto.MessageClose:
		c.handleClose(r.Byte(), r.CString())
	case pgproto.MessageDescribe:
		c.handleDescribe(r.Byte(), r.CString())
	case pgproto.MessageExecute:
		return c.handleExecute(r.CString(), r.Int32())
	case pgproto.MessageTerminate:
		return errConnectionOver
	case pgproto.MessageSync:
		c.handleSync()
	}
	return nil
}

// handleQuery executes a command of the gateway's own: statements of clients use the extended protocol.
func (c *pgConnection) handleQuery(text string) {
	c.hear(text)
	clear(c.statements)
	if tag, e := c.session.query(text); e != nil {
		c.reply(pgproto.MessageErrorResponse, e.Body())
	} else {
		c.reply(pgproto.MessageCommandComplete, pgproto.CString(tag))
	}
	c.readyForQuery()
}

// hear tells Options.Heard of a statement.
func (c *pgConnection) hear(text string) {
	if c.opts.Heard != nil {
		c.opts.Heard(c.id, text)
	}
}

func (c *pgConnection) handleParse(name, text string) {
	if _, exists := c.statements[name]; exists && name != "" {
		c.fail(newEngineError("42P05", "prepared statement already exists"))
		return
	}
	c.statements[name] = c.session.parse(text)
	c.opts.Log.Info("asked", "statement", short(text))
	c.reply(pgproto.MessageParseComplete)
}

func (c *pgConnection) handleBind(r *pgproto.Reader) {
	name := r.CString()
	statement, exists := c.statements[r.CString()]
	switch {
	case !exists:
		c.fail(newEngineError("26000", "prepared statement does not exist"))
		return
	case c.portals[name] != nil && name != "":
		c.fail(newEngineError("42P03", "cursor already exists"))
		return
	}
	p := &portal{preparedStatement: statement}
	for range r.Count() {
		r.Int16()
	}
	if r.Count() > 0 {
		if n := r.Int32(); n > 0 {
			p.key = string(r.Bytes(n))
		}
	}
	c.portals[name] = p
	c.reply(pgproto.MessageBindComplete)
}

func (c *pgConnection) handleClose(target byte, name string) {
	if target == pgproto.TargetStatement {
		delete(c.statements, name)
	} else {
		delete(c.portals, name)
	}
	c.reply(pgproto.MessageCloseComplete)
}

func (c *pgConnection) handleDescribe(target byte, name string) {
	if target == pgproto.TargetStatement {
		c.reply(pgproto.MessageParameterDescription, parameters(c.statements[name].query))
	}
	c.reply(pgproto.MessageRowDescription, columns)
}

func (c *pgConnection) handleSync() {
	c.session.sync()
	if c.session.status == pgproto.TransactionIdle {
		clear(c.portals)
	}
	c.readyForQuery()
}

// handleExecute executes a portal, or fetches more of its rows, at most limit (0: all).
func (c *pgConnection) handleExecute(name string, limit int) error {
	p := c.portals[name]
	switch {
	case p == nil:
		c.fail(newEngineError("34000", "portal does not exist"))
		return nil
	case p.begun:
		c.out = p.fetch(c.out, limit)
		return nil
	}
	c.hear(p.query)
	tag, e := c.session.control(p.query)
	if e == nil && tag == "" {
		var err error
		if e, err = c.run(p); err != nil {
			return err
		}
	}
	switch {
	case e != nil:
		c.fail(e)
	case tag == "":
		c.out = p.fetch(c.out, limit)
	default:
		c.replyTag(p.query, tag)
	}
	return nil
}

// replyTag replies the command tag of a statement, after the value that a SET assigns.
func (c *pgConnection) replyTag(query, tag string) {
	if words := strings.Fields(query); tag == "SET" && len(words) > 3 {
		c.reply(pgproto.MessageParameterStatus, pgproto.CString(words[1]), pgproto.CString(strings.Trim(words[3], "'")))
	}
	c.reply(pgproto.MessageCommandComplete, pgproto.CString(tag))
}

// run runs the statement of a portal, and stores its rows. e is the error of the statement. err is errConnectionOver
// if the gateway closed the connection meanwhile, to cancel the statement.
func (c *pgConnection) run(p *portal) (e *pgproto.Error, err error) {
	if c.opts.Fail != nil {
		if e := c.opts.Fail(p.query); e != nil {
			return e, nil
		}
	}
	if c.opts.Ledger.Begin(c.opts.Name, p.query, p.key) {
		connection := watchClose(c.conn)
		end, _, ok := c.opts.execute(p.query+" "+p.key, func(*enginemodel.Query) {}, nil, connection.closed)
		connection.end()
		switch {
		case !ok:
			return nil, errConnectionOver
		case end.Full:
			return newEngineError("53300", "too many sessions"), nil
		}
	}
	p.begun = true
	p.rows = []string{p.query, p.key}
	if p.constant != "" {
		p.rows = []string{p.constant}
	}
	if words := statementWords(p.query); words[0] == "SHOW" && len(words) > 1 {
		p.rows = []string{c.session.setting(strings.ToLower(words[1]))}
	}
	c.session.recordWrite(p.query)
	return nil, nil
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
