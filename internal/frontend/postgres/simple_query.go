package postgres

import (
	"slices"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// noParameterTypes and noValues stand for the parts of a Parse and a Bind that a Query lacks: they
// contain only counts of zero. They must not be modified.
var (
	noParameterTypes = make([]byte, 2)
	noValues         = make([]byte, 6)
)

// newSimpleStatement returns the message to an engine for a statement without parameters.
func newSimpleStatement(query string) *pgproto.Statement {
	return &pgproto.Statement{Query: query, ParameterTypes: noParameterTypes, Bind: noValues}
}

// handleQuery handles a Query, which contains any number of statements.
func (c *connection) handleQuery(body []byte) *pgproto.Error {
	c.inSimpleQuery = true
	if e := c.reserveQuery(len(body)); e != nil {
		return e
	}
	r := pgproto.Reader{Rest: body}
	query := r.CString()
	if !r.Complete() {
		return errMalformed("Query")
	}
	if value, ok := readSetStatementTimeout(query); ok {
		return c.answerSetStatementTimeout(value)
	}
	if strings.Contains(query, ";") {
		parts := sqltext.SplitStatements(query, maxQueryStatements+1)
		if len(parts) > maxQueryStatements {
			return newError(codeProgramLimitExceeded, "more than %d statements in one message", maxQueryStatements)
		}
		if len(parts) > 1 {
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
	case s.controlWord != "":
		return c.executeControl(s, func(tag string) {
			c.out.commandComplete(tag)
			c.endSimpleQuery()
		})
	}
	return c.runSimpleStatement(s)
}

// runSimpleStatement runs the only statement of a Query at an engine.
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

// runStatements runs the statements of a Query one after the other up to the first error. They form
// one implicit transaction unless one is open or the Query itself contains transaction control.
func (c *connection) runStatements(queries []string) *pgproto.Error {
	implicit := c.transaction == nil && !slices.ContainsFunc(queries, controlsTransaction)
	statements, e := c.prepareAll(queries, c.transaction != nil || implicit)
	if e != nil {
		return e
	}
	if e := c.failOrphanedStatements(statements, implicit); e != nil {
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

// failOrphanedStatements returns the error for a Query with several statements that a process that died has begun
// to run at an engine, or nil if it has not. How many of them have run is unknown, so none may be run again. If
// the last effect can't have been a COMMIT, everything was rolled back.
func (c *connection) failOrphanedStatements(statements []*statement, implicit bool) *pgproto.Error {
	orphan := c.inFlight.orphan
	if orphan == nil {
		return nil
	}
	commits := implicit || slices.ContainsFunc(statements, (*statement).commits)
	if tx := c.transaction; tx != nil {
		tx.lost = tx.lost || orphan.MustFail
		tx.failed = tx.failed || orphan.MustFail
		if commits {
			return c.commitLost()
		}
		return c.reportLoss()
	}
	if !orphan.MustFail {
		return nil
	}
	c.inFlight.orphan = nil
	if commits {
		return errCommitInDoubt()
	}
	return errTransactionLost()
}

// controlsTransaction reports whether a statement begins, ends or divides a transaction.
func controlsTransaction(query string) bool {
	word, _ := sqltext.FirstWord(query)
	return transactionControlWords[word]
}

// prepareAll prepares the statements of a Query. inTransaction says whether the first one runs in a
// transaction. It returns an error if any statement would run outside of a transaction.
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

// runNext runs the first of the remaining statements and, when it is answered, continues with the next.
func (c *connection) runNext(remaining []*statement) {
	if c.ended {
		return
	}
	if len(remaining) == 0 {
		c.endStatements()
		return
	}
	s := remaining[0]
	if s.controlWord == "" {
		c.executeInTransaction(newSimpleStatement(s.query), func(res *pgproto.Result) {
			c.sendResult(s, res)
			c.runNext(remaining[1:])
		})
		return
	}
	e := c.executeControl(s, func(tag string) {
		c.out.commandComplete(tag)
		c.runNext(remaining[1:])
	})
	if e != nil {
		c.fail(e)
	}
}

// endStatements ends the answer to a Query. It first commits the implicit transaction, if any.
func (c *connection) endStatements() {
	if c.transaction == nil || !c.transaction.implicit {
		c.endSimpleQuery()
		return
	}
	commit := &statement{query: tagCommit, controlWord: tagCommit}
	if e := c.executeControl(commit, func(string) { c.endSimpleQuery() }); e != nil {
		c.fail(e)
	}
}
