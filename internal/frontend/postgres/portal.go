package postgres

import (
	"bytes"
	"strconv"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// portal is a statement with bound values. It runs only once: later fetches are served from the rows
// that are held here, so they work even after the engine has been drained.
type portal struct {
	statement *statement
	bind      []byte          // body of its Bind after the two names
	values    sqltext.Binds   // bound values, as slices of bind; set only if the statement has a shape
	key       string          // key of the execution; empty if its class needs none
	result    *pgproto.Result // complete result without the rows; nil if it has not run
	remaining []byte          // DataRow messages that have not been sent yet
	sentRows  int             // number of rows that have been sent
	completed bool            // CommandComplete or EmptyQueryResponse was sent
}

func (c *connection) handleBind(body []byte) *pgproto.Error {
	r := pgproto.Reader{Rest: body}
	portalName := r.CString()
	statementName := r.CString()
	bind := r.Rest
	values, ok := readBind(&r)
	if !ok {
		return errMalformed("Bind")
	}
	s := c.statements[statementName]
	switch {
	case s == nil:
		return newError(codeInvalidStatementName, "prepared statement %q does not exist", statementName)
	case portalName != "" && c.portals[portalName] != nil:
		return newError(codeDuplicateCursor, "portal %q already exists", portalName)
	case len(c.portals) >= maxPortals:
		return newError(codeProgramLimitExceeded, "more than %d portals", maxPortals)
	}
	if want, known := s.parameterCount(); known && want != len(values.Values) {
		return newError(codeProtocolViolation, "bind message supplies %d parameters, but the prepared statement requires %d", len(values.Values), want)
	}
	key := ""
	if s.runsAtEngine() {
		var e *pgproto.Error
		if key, e = s.readKey(values.Values); e != nil {
			return e
		}
	}
	c.dropPortal(portalName) // only the unnamed portal can exist here; it is replaced
	return c.openPortal(portalName, &portal{statement: s, bind: bind, values: values, key: key})
}

// openPortal keeps a portal whose bind is a part of the connection's buffer.
func (c *connection) openPortal(name string, p *portal) *pgproto.Error {
	if p.statement.shape == nil { // nothing reads the values
		p.values = sqltext.Binds{}
	}
	if e := c.reserveMemory(p.size()); e != nil {
		return e
	}
	p.bind = bytes.Clone(p.bind)
	if p.statement.shape != nil {
		p.values, _ = readBind(&pgproto.Reader{Rest: p.bind}) // refers to the copy; it was read before without an error
	}
	c.portals[name] = p
	c.out.bindComplete()
	return nil
}

// minValueSize is the size in bytes of the shortest value in a Bind, a null: its length.
const minValueSize = 4

// readBind reads the part of a Bind after the names: formats, values and result formats.
func readBind(r *pgproto.Reader) (b sqltext.Binds, ok bool) {
	formats := r.Count()
	b.Formats = r.Rest[:min(2*formats, len(r.Rest))]
	if !readFormats(r, formats) {
		return b, false
	}
	values := r.Count()
	oneForEach := formats <= 1 || formats == values
	if !oneForEach || r.Invalid {
		return b, false
	}
	b.Values = make([][]byte, 0, min(values, len(r.Rest)/minValueSize))
	for range values {
		value, ok := readValue(r)
		if !ok {
			return b, false
		}
		b.Values = append(b.Values, value)
	}
	if !readFormats(r, r.Count()) {
		return b, false
	}
	return b, r.Complete()
}

// readFormats reads n format codes, each of which must be text (0) or binary (1).
func readFormats(r *pgproto.Reader, n int) (ok bool) {
	for range n {
		if format := r.Int16(); format != 0 && format != 1 {
			return false
		}
	}
	return true
}

// readValue reads one value. A nil value is an SQL NULL.
func readValue(r *pgproto.Reader) (value []byte, ok bool) {
	const sizeOfNull = -1
	size := r.Int32()
	if size >= 0 {
		value = r.Bytes(size)
	} else if size != sizeOfNull {
		return nil, false
	}
	return value, !r.Invalid
}

// deferPortalDescription defers the answer to a portal's Describe, because an Execute is likely to follow
// whose result contains the description.
func (c *connection) deferPortalDescription(name string) *pgproto.Error {
	if c.portals[name] == nil {
		return newError(codeInvalidCursorName, "portal %q does not exist", name)
	}
	c.describePending = true
	c.describedPortal = name
	return nil
}

// resolveDescribe answers a deferred Describe, unless the next message is an Execute whose result
// will contain the description. It reports whether that message must wait for an engine's answer.
func (c *connection) resolveDescribe(kind byte, body []byte) (wait bool) {
	p := c.portals[c.describedPortal]
	r := pgproto.Reader{Rest: body}
	if kind == pgproto.MessageExecute && r.CString() == c.describedPortal && p.result == nil && !p.statement.empty {
		return false // handleExecute sends the description
	}
	c.describePending = false
	c.describeStatement(p.statement, func() { c.sendPortalDescription(p) })
	return c.inFlight.request != nil
}

// sendPortalDescription sends the row description of a portal in the formats that its Bind requests.
func (c *connection) sendPortalDescription(p *portal) {
	description := p.statement.description
	switch {
	case p.result != nil:
		c.out.rowDescription(p.result.RowDescription)
	case description == nil || description.RowDescription == nil:
		c.out.rowDescription(nil)
	default:
		fields, err := pgproto.WithResultFormats(description.RowDescription, p.bind)
		if err != nil {
			c.fail(errMalformed("RowDescription"))
			return
		}
		c.out.rowDescription(fields)
	}
}

// handleExecute runs a portal, or sends further rows if it has run before.
func (c *connection) handleExecute(body []byte) *pgproto.Error {
	describe := c.describePending
	c.describePending = false
	r := pgproto.Reader{Rest: body}
	name := r.CString()
	maxRows := r.Int32()
	if !r.Complete() {
		return errMalformed("Execute")
	}
	p := c.portals[name]
	switch {
	case p == nil:
		return newError(codeInvalidCursorName, "portal %q does not exist", name)
	case p.statement.empty:
		c.out.emptyQueryResponse()
		return nil
	case p.statement.controlWord != "":
		if describe {
			c.out.rowDescription(nil)
		}
		return c.executeControl(p.statement, c.out.commandComplete)
	case p.result != nil:
		c.releaseRows(p)
		e := c.sendRows(p, maxRows)
		c.holdRows(p)
		return e
	}
	c.runPortal(p, func() {
		if describe {
			c.out.rowDescription(p.result.RowDescription)
		}
		_ = c.sendRows(p, maxRows) // can't fail because the portal has not run before
		c.holdRows(p)
	})
	return nil
}

// runPortal runs a portal at an engine and calls done on success.
func (c *connection) runPortal(p *portal, done func()) {
	s := p.statement
	p.values.Types = s.parameterOIDs()
	c.execute(execution{
		statement: s,
		message:   &pgproto.Statement{Query: s.query, ParameterTypes: s.parameterTypes, Bind: p.bind},
		key:       p.key,
		values:    &p.values,
		onResult: func(res *pgproto.Result) {
			p.result = res
			p.remaining = res.Rows
			res.Rows = nil
			done()
		},
	})
}

// sendRows sends rows of a portal that has run: at most maxRows, or all if maxRows is not positive.
func (c *connection) sendRows(p *portal, maxRows int) *pgproto.Error {
	res := p.result
	if p.completed && res.RowDescription == nil {
		return newError(codeObjectNotInPrerequisiteState, "the portal has run and cannot be run again")
	}
	sent := c.takeRows(p, maxRows)
	switch {
	case maxRows > 0 && sent == maxRows:
		c.out.portalSuspended()
	case res.EmptyQuery:
		c.out.emptyQueryResponse()
		p.completed = true
	default:
		c.out.commandComplete(completionTag(res, sent))
		p.completed = true
	}
	return nil
}

// takeRows moves up to maxRows rows of a portal to the output, or all if maxRows is not positive. It
// returns their number.
func (c *connection) takeRows(p *portal, maxRows int) (n int) {
	size := 0
	for size < len(p.remaining) && (maxRows <= 0 || n < maxRows) {
		_, _, rowSize, _ := pgproto.ReadMessage(p.remaining[size:], len(p.remaining))
		size += rowSize
		n++
	}
	c.out.raw(p.remaining[:size])
	p.remaining = p.remaining[size:]
	p.sentRows += n
	return n
}

// completionTag returns the engine's command tag with its row count replaced by the number of rows that
// one Execute returned.
func completionTag(res *pgproto.Result, rows int) string {
	verb, _, hasCount := strings.Cut(res.Tag, " ")
	if !hasCount || rows == res.RowCount {
		return res.Tag
	}
	return verb + " " + strconv.Itoa(rows)
}

// sendResult sends the complete result of a statement of a Query.
func (c *connection) sendResult(s *statement, res *pgproto.Result) {
	if res.RowDescription != nil {
		c.out.rowDescription(res.RowDescription)
	}
	const allRows = 0
	_ = c.sendRows(&portal{statement: s, result: res, remaining: res.Rows}, allRows) // can't fail because the portal is new
}

// holdRows adds the unsent rows of a portal to heldBytes. If that exceeds Options.MaxHeldBytes, the
// rows are dropped and the batch fails.
func (c *connection) holdRows(p *portal) {
	f := c.frontend
	if f.heldBytes+len(p.remaining) > f.opts.MaxHeldBytes {
		p.remaining = nil
		c.fail(newError(codeOutOfMemory, "open portals hold too many rows; fetch them, or ask for all at once"))
		return
	}
	f.heldBytes += len(p.remaining)
}

// releaseRows subtracts the unsent rows of a portal from heldBytes.
func (c *connection) releaseRows(p *portal) { c.frontend.heldBytes -= len(p.remaining) }

// dropPortal closes a portal if it exists.
func (c *connection) dropPortal(name string) {
	if p := c.portals[name]; p != nil {
		c.releaseRows(p)
		c.releaseMemory(p.size())
		delete(c.portals, name)
	}
}

// dropPortals closes all portals.
func (c *connection) dropPortals() {
	for name := range c.portals {
		c.dropPortal(name)
	}
}
