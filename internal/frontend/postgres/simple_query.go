package postgres

import (
	"slices"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// noParameterTypes and noValues are what a Query has of a Parse and a Bind: counts of zero. Nobody
// writes to them.
var (
	noParameterTypes = make([]byte, 2)
	noValues         = make([]byte, 6)
)

// newSimpleStatement returns the message to an engine for a statement without parameters.
func newSimpleStatement(query string) *pgproto.Statement {
	return &pgproto.Statement{Query: query, ParameterTypes: noParameterTypes, Bind: noValues}
}

func (c *connection) handleQuery(body []byte) *pgproto.Error {
	c.inSimpleQuery = true
	r := pgproto.Reader{Rest: body}
	query := r.CString()
	if !r.Complete() {
		return errMalformed("Query")
	}
	if value, ok := readSetStatementTimeout(query); ok {
		return c.answerSetStatementTimeout(value)
	}
	if strings.Contains(query, ";") {
		if parts := sqltext.SplitStatements(query); len(parts) > 1 {
			return c.runStatements(parts)
		}
	}
	s, e := c.frontend.prepare(query, noParameterTypes, statementContext{runsOnce: true, inTransaction: c.transaction != nil})
	switch {
	case e != nil:
		return e
	case s.empty:
		c.out.emptyQueryResponse()
		c.endSimpleQuery()
		return nil
	case s.control != "":
		return c.control(s, func(tag string) {
			c.out.commandComplete(tag)
			c.endSimpleQuery()
		})
	}
	return c.runSimpleStatement(s)
}

// runSimpleStatement has an engine run the one statement of a Query.
func (c *connection) runSimpleStatement(s *statement) *pgproto.Error {
	if _, e := s.readKey(nil); e != nil && c.transaction == nil {
		return e
	}
	c.execute(execution{
		statement: s,
		message:   newSimpleStatement(s.query),
		onResult: func(res *pgproto.Result) {
			c.sendResult(s, res)
			c.endSimpleQuery()
		},
	})
	return nil
}

// runStatements answers a Query of several statements, one after the other up to the first error.
// They are one transaction, unless the message itself begins and ends transactions around them.
func (c *connection) runStatements(queries []string) *pgproto.Error {
	implicit := c.transaction == nil && !slices.ContainsFunc(queries, controlsTransaction)
	statements, e := c.prepareAll(queries, c.transaction != nil || implicit)
	if e != nil {
		return e
	}
	if implicit {
		if e := c.beginTransaction("BEGIN"); e != nil {
			return e
		}
		c.transaction.implicit = true
	}
	c.runNext(statements)
	return nil
}

func controlsTransaction(query string) bool {
	word, _ := sqltext.FirstWord(query)
	return transactionControl[word]
}

// prepareAll prepares the statements of a Query. inTransaction is set where the first of them runs
// in a transaction; each must.
func (c *connection) prepareAll(queries []string, inTransaction bool) ([]*statement, *pgproto.Error) {
	context := statementContext{runsOnce: true, inTransaction: inTransaction}
	statements := make([]*statement, len(queries))
	for i, query := range queries {
		s, e := c.frontend.prepare(query, noParameterTypes, context)
		if e != nil {
			return nil, e
		}
		statements[i] = s
		switch {
		case s.beginsTransaction():
			context.inTransaction = true
		case s.endsTransaction():
			context.inTransaction = false
		case !context.inTransaction:
			return nil, newError(codeFeatureNotSupported, "statements beside a transaction in one message are not supported: send them by themselves")
		}
	}
	return statements, nil
}

// runNext runs the first of the statements that remain, and from its answer the next one.
func (c *connection) runNext(remaining []*statement) {
	if c.ended {
		return
	}
	if len(remaining) == 0 {
		c.endStatements()
		return
	}
	s := remaining[0]
	if s.control == "" {
		c.executeInTransaction(newSimpleStatement(s.query), func(res *pgproto.Result) {
			c.sendResult(s, res)
			c.runNext(remaining[1:])
		})
		return
	}
	e := c.control(s, func(tag string) {
		c.out.commandComplete(tag)
		c.runNext(remaining[1:])
	})
	if e != nil {
		c.fail(e)
	}
}

// endStatements commits the transaction that was begun for a Query, if one was, and ends the answer.
func (c *connection) endStatements() {
	if c.transaction == nil || !c.transaction.implicit {
		c.endSimpleQuery()
		return
	}
	commit := &statement{query: tagCommit, control: tagCommit}
	if e := c.control(commit, func(string) { c.endSimpleQuery() }); e != nil {
		c.fail(e)
	}
}
