package postgres

import (
	"bytes"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
)

// statement is a prepared statement, or that of a Query.
type statement struct {
	classification
	query          string
	parameterTypes []byte // their count and OIDs, as in Parse
	empty          bool
	// control is the first word of a statement that the gateway itself carries out, about the
	// transaction or the session's settings: BEGIN, SET, ...; "": the statement is for an engine.
	control       string
	taintsSession bool                  // it may leave a setting in its engine's session
	shape         *queryshape.Statement // nil: shapes are not read, or no engine runs it
	description   *pgproto.Result       // nil: no engine has described it yet
}

// runsAtEngine reports whether an engine runs the statement.
func (s *statement) runsAtEngine() bool { return !s.empty && s.control == "" }

// parameterOIDs are the types of the statement's parameters: those that an engine described, else
// those that the client gave.
func (s *statement) parameterOIDs() []byte {
	const countSize = 2
	if s.description != nil && len(s.description.ParameterDescription) > countSize {
		return s.description.ParameterDescription[countSize:]
	}
	if len(s.parameterTypes) > countSize {
		return s.parameterTypes[countSize:]
	}
	return nil
}

// parameterCount is the number of parameters that an engine described; ok: one has.
func (s *statement) parameterCount() (n int, ok bool) {
	if s.description == nil || len(s.description.ParameterDescription) < 2 {
		return 0, false
	}
	r := pgproto.Reader{Rest: s.description.ParameterDescription}
	return r.Count(), true
}

// statementContext is where a statement stands.
type statementContext struct {
	runsOnce      bool // it comes in a Query
	inTransaction bool // a transaction is open when it runs
}

// prepare checks and classifies a statement.
func (f *Frontend) prepare(query string, parameterTypes []byte, context statementContext) (*statement, *pgproto.Error) {
	shape := f.readShape(query, context)
	words := firstWordsOf(query, shape)
	if e := words.unsupported(query, context); e != nil {
		return nil, e
	}
	s := &statement{
		query:          query,
		parameterTypes: parameterTypes,
		empty:          words.first == "",
		taintsSession:  sqltext.ContainsName(query, "set_config"),
	}
	if words.isControl(context) {
		s.control = words.first
	}
	if s.runsAtEngine() {
		var e *pgproto.Error
		if s.classification, e = f.classify(query, shape); e != nil {
			return nil, e
		}
		s.shape = shape
	}
	return s, nil
}

// readShape reads a statement's shape; nil: shapes are off.
func (f *Frontend) readShape(query string, context statementContext) *queryshape.Statement {
	shapes := f.opts.Shapes
	switch {
	case shapes == nil:
		return nil
	case context.runsOnce:
		return shapes.ReadOnce(query, f.opts.ReadOnlyFunctions)
	}
	return shapes.Read(query, f.opts.ReadOnlyFunctions)
}

func (c *connection) handleParse(body []byte) *pgproto.Error {
	r := pgproto.Reader{Rest: body}
	name := r.CString()
	query := r.CString()
	parameterTypes := bytes.Clone(r.Rest) // the statement keeps them
	r.Bytes(4 * r.Count())
	if !r.Complete() {
		return errMalformed("Parse")
	}
	if name != "" && c.statements[name] != nil {
		return newError(codeDuplicateStatement, "prepared statement %q already exists", name)
	}
	if len(c.statements) >= maxStatements {
		return newError(codeProgramLimitExceeded, "more than %d prepared statements", maxStatements)
	}
	s, e := c.frontend.prepare(query, parameterTypes, statementContext{inTransaction: c.transaction != nil})
	if e != nil {
		return e
	}
	c.statements[name] = s
	c.out.parseComplete()
	return nil
}

// readTarget reads a Describe or a Close: whether it names a statement or a portal, and which.
func readTarget(body []byte, message string) (kind byte, name string, e *pgproto.Error) {
	r := pgproto.Reader{Rest: body}
	kind = r.Byte()
	name = r.CString()
	if !r.Complete() || kind != pgproto.TargetStatement && kind != pgproto.TargetPortal {
		return 0, "", errMalformed(message)
	}
	return kind, name, nil
}

func (c *connection) handleDescribe(body []byte) *pgproto.Error {
	kind, name, e := readTarget(body, "Describe")
	if e != nil {
		return e
	}
	if kind == pgproto.TargetPortal {
		return c.describePortalLater(name)
	}
	s := c.statements[name]
	if s == nil {
		return newError(codeInvalidStatementName, "prepared statement %q does not exist", name)
	}
	c.describeStatement(s, func() { c.sendStatementDescription(s) })
	return nil
}

func (c *connection) sendStatementDescription(s *statement) {
	if s.description == nil { // it is empty, or the gateway carries it out
		c.out.parameterDescription(s.parameterTypes)
		c.out.rowDescription(nil)
		return
	}
	c.out.parameterDescription(s.description.ParameterDescription)
	c.out.rowDescription(s.description.RowDescription)
}

// describeStatement has an engine describe a statement, unless one has, and calls done.
func (c *connection) describeStatement(s *statement, done func()) {
	if s.description != nil || !s.runsAtEngine() {
		done()
		return
	}
	c.execute(execution{
		statement: s,
		message:   &pgproto.Statement{Query: s.query, ParameterTypes: s.parameterTypes, DescribeOnly: true},
		onResult: func(res *pgproto.Result) {
			s.description = res
			done()
		},
	})
}

func (c *connection) handleClose(body []byte) *pgproto.Error {
	kind, name, e := readTarget(body, "Close")
	if e != nil {
		return e
	}
	if kind == pgproto.TargetStatement {
		delete(c.statements, name)
	} else {
		c.dropPortal(name)
	}
	c.out.closeComplete()
	return nil
}
