package postgres

import (
	"slices"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// transactionControl are the statements that begin, end and divide transactions.
var transactionControl = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// Tags of statements that end transactions.
const (
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
)

// beginsTransaction reports whether the statement begins a transaction.
func (s *statement) beginsTransaction() bool { return s.control == "BEGIN" || s.control == "START" }

// endsTransaction reports whether the statement ends its transaction.
func (s *statement) endsTransaction() bool {
	switch s.control {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return !s.rollsBackToSavepoint()
	}
	return false
}

// endTag is the tag of a statement that ends its transaction as it says.
func (s *statement) endTag() string {
	if s.control == "COMMIT" || s.control == "END" {
		return tagCommit
	}
	return tagRollback
}

// rollsBackToSavepoint reports whether a ROLLBACK goes back to a savepoint only.
func (s *statement) rollsBackToSavepoint() bool { return slices.Contains(upperWords(s.query), "TO") }

// upperWords are the words of a statement in upper case, behind the comments that it begins with.
func upperWords(query string) []string {
	text := strings.TrimRight(sqltext.SkipComments(query), "; \t\r\n")
	return strings.Fields(strings.ToUpper(text))
}

// control carries out a statement that is about the transaction or the session's settings; done is
// given its tag. What only an engine can do goes to the transaction's engine.
func (c *connection) control(s *statement, done func(tag string)) *pgproto.Error {
	if sessionControl[s.control] {
		if c.transaction != nil { // it was prepared outside of one
			return newError(codeFeatureNotSupported, "%s is not supported in a transaction; SET LOCAL is", s.control)
		}
		return c.controlSession(s, done)
	}
	if e := unsupportedControl(s); e != nil {
		return e
	}
	switch {
	case s.beginsTransaction():
		return c.begin(s, done)
	case s.endsTransaction():
		c.end(s, done)
		return nil
	}
	return c.runSavepoint(s, done)
}

// unsupportedControl rejects chained and prepared transactions.
func unsupportedControl(s *statement) *pgproto.Error {
	words := upperWords(s.query)
	text := strings.Join(words, " ")
	chains := words[len(words)-1] == "CHAIN" && !strings.Contains(text, "NO CHAIN")
	isPrepared := len(words) > 1 && words[1] == "PREPARED"
	if chains || isPrepared {
		return newError(codeFeatureNotSupported, "%s is not supported", text)
	}
	return nil
}

func (c *connection) begin(s *statement, done func(tag string)) *pgproto.Error {
	if c.transaction != nil {
		c.out.warning(codeActiveTransaction, "there is already a transaction in progress")
	} else if e := c.beginTransaction(s.query); e != nil {
		return e
	}
	if s.control == "START" {
		done("START TRANSACTION")
		return nil
	}
	done("BEGIN")
	return nil
}

// end carries out a COMMIT or a ROLLBACK.
func (c *connection) end(s *statement, done func(tag string)) {
	tx := c.transaction
	switch {
	case tx == nil:
		c.out.warning(codeNoActiveTransaction, "there is no transaction in progress")
		done(s.endTag())
	case tx.request != nil:
		c.endAtEngine(s, done)
	default: // no engine has any of it, or has it any more
		c.closeTransaction()
		if tx.failed {
			done(tagRollback)
			return
		}
		done(s.endTag())
	}
}

// endAtEngine has the transaction's engine commit or roll back.
func (c *connection) endAtEngine(s *statement, done func(tag string)) {
	tx := c.transaction
	tx.committing = s.endTag() == tagCommit && !tx.failed
	query := s.query
	if tx.failed { // the engine may not know: what failed may never have reached it
		query = tagRollback
	}
	message := newSimpleStatement(query)
	message.EndsTransaction = true
	c.sendInTransaction(message, func(a core.Answer) {
		wasCommitting := tx.committing
		c.closeTransaction()
		if res, ok := resultOf(a); ok && res != nil {
			done(res.Tag)
			return
		}
		switch engineError := pgproto.AsError(a.EngineError); {
		case engineError != nil: // rolled back, as a deferred constraint wants, say
			c.fail(engineError)
		case wasCommitting:
			c.fail(newError(codeCompletionUnknown, "the connection to the engine was lost while it committed; the transaction may have run"))
		default: // closing the engine connection rolls back as well
			done(tagRollback)
		}
	})
}

// runSavepoint passes a statement about a savepoint on to the transaction's engine.
func (c *connection) runSavepoint(s *statement, done func(tag string)) *pgproto.Error {
	tx := c.transaction
	if tx == nil {
		return newError(codeNoActiveTransaction, "%s can only be used in transaction blocks", s.control)
	}
	mayRecover := tx.request != nil && s.control == "ROLLBACK"
	if tx.failed && !mayRecover {
		return errInFailedTransaction()
	}
	c.runInTransaction(newSimpleStatement(s.query), func(res *pgproto.Result) {
		c.transaction.failed = false
		done(res.Tag)
	})
	return nil
}
