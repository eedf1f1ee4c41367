package postgres

import (
	"bytes"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
)

// statement is a prepared statement or a statement of a Query.
type statement struct {
	classification
	query          string
	parameterTypes []byte // count and OIDs, encoded as in Parse
	empty          bool   // the text contains no statement
	// controlWord is the first word, such as BEGIN or SET, of a statement that the gateway executes itself
	// because it concerns the transaction or the session's settings. It is empty for all others.
	controlWord   string
	taintsSession bool                  // it may change a setting of its engine's session
	shape         *queryshape.Statement // nil if shapes are off or no engine runs the statement
	description   *pgproto.Result       // nil if no engine has described it yet
}

// runsAtEngine reports whether an engine runs the statement.
func (s *statement) runsAtEngine() bool { return !s.empty && s.controlWord == "" }

// parameterOIDs returns the encoded type OIDs of the parameters: as described by an engine, else as
// given by the client. It returns nil if neither is known.
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

// parameterCount returns the number of parameters according to the engine's description. ok is false
// if there is no description yet.
func (s *statement) parameterCount() (n int, ok bool) {
	if s.description == nil || len(s.description.ParameterDescription) < 2 {
		return 0, false
	}
	r := pgproto.Reader{Rest: s.description.ParameterDescription}
	return r.Count(), true
}

// statementContext describes where a statement occurs.
type statementContext struct {
	runsOnce      bool // the statement is part of a Query
	inTransaction bool // a transaction is open when the statement runs
}

// prepare checks and classifies a statement. It returns an error if the statement is not supported or
// has no valid class.
func (f *Frontend) prepare(query string, parameterTypes []byte, context statementContext) (*statement, *pgproto.Error) {
	shape := f.readShape(query, context)
	words := readLeadingWords(query, shape)
	if e := words.unsupportedError(query, context); e != nil {
		return nil, e
	}
	s := &statement{
		query:          query,
		parameterTypes: parameterTypes,
		empty:          words.first == "",
		taintsSession:  sqltext.ContainsName(query, "set_config"),
	}
	if words.isControl(context) {
		s.controlWord = words.first
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

// readShape returns the query shape of a statement, or nil if shapes are off.
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
	if e := c.checkMemory(len(body) + statementOverhead); e != nil { // putStatement counts the statement
		return e
	}
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
	c.putStatement(name, s)
	c.out.parseComplete()
	return nil
}

// readTarget reads the body of a Describe or a Close: the kind of its target (statement or portal)
// and the target's name. message is the message type for the error text.
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
		return c.deferPortalDescription(name)
	}
	s := c.statements[name]
	if s == nil {
		return newError(codeInvalidStatementName, "prepared statement %q does not exist", name)
	}
	c.describeStatement(s, func() { c.sendStatementDescription(s) })
	return nil
}

func (c *connection) sendStatementDescription(s *statement) {
	if s.description == nil { // the statement is empty, or the gateway executes it itself
		c.out.parameterDescription(s.parameterTypes)
		c.out.rowDescription(nil)
		return
	}
	c.out.parameterDescription(s.description.ParameterDescription)
	c.out.rowDescription(s.description.RowDescription)
}

// describeStatement calls done once the statement's description is available. It asks an engine unless
// the description is known or not needed.
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
		c.dropStatement(name)
	} else {
		c.dropPortal(name)
	}
	c.out.closeComplete()
	return nil
}
