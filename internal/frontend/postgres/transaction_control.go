package postgres

import (
	"slices"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// transactionControlWords are the first words of statements that begin, end or divide transactions.
var transactionControlWords = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// Command tags of statements that end transactions.
const (
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
)

// beginsTransaction reports whether the statement begins a transaction.
func (s *statement) beginsTransaction() bool {
	return s.controlWord == "BEGIN" || s.controlWord == "START"
}

// endsTransaction reports whether the statement ends its transaction. A ROLLBACK to a savepoint does
// not.
func (s *statement) endsTransaction() bool {
	switch s.controlWord {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return !s.rollsBackToSavepoint()
	}
	return false
}

// commits reports whether the statement commits its transaction.
func (s *statement) commits() bool { return s.endsTransaction() && s.endTag() == tagCommit }

// endTag returns the command tag of a successful statement that ends a transaction.
func (s *statement) endTag() string {
	if s.controlWord == "COMMIT" || s.controlWord == "END" {
		return tagCommit
	}
	return tagRollback
}

// rollsBackToSavepoint reports whether a ROLLBACK only goes back to a savepoint.
func (s *statement) rollsBackToSavepoint() bool {
	return slices.Contains(upperCaseWords(s.query), "TO")
}

// upperCaseWords returns the words of a statement in upper case, without leading comments and trailing
// semicolons.
func upperCaseWords(query string) []string {
	text := strings.TrimRight(sqltext.SkipComments(query), "; \t\r\n")
	return strings.Fields(strings.ToUpper(text))
}

// executeControl executes a statement that concerns the transaction or the session's settings. done
// receives its command tag on success. Work that requires an engine is sent to the transaction's
// engine.
func (c *connection) executeControl(s *statement, done func(tag string)) *pgproto.Error {
	if sessionControlWords[s.controlWord] {
		if c.transaction != nil { // the statement was prepared outside of a transaction
			return newError(codeFeatureNotSupported, "%s is not supported in a transaction; SET LOCAL is", s.controlWord)
		}
		return c.executeSessionControl(s, done)
	}
	if e := unsupportedControlError(s); e != nil {
		return e
	}
	if e := c.reportLossTo(s); e != nil {
		return e
	}
	switch {
	case s.beginsTransaction():
		return c.executeBegin(s, done)
	case s.endsTransaction():
		c.executeEnd(s, done)
		return nil
	}
	return c.runSavepoint(s, done)
}

// reportLossTo returns the error with which a statement learns that its transaction was lost, or nil. A ROLLBACK
// succeeds, as the transaction is rolled back.
func (c *connection) reportLossTo(s *statement) *pgproto.Error {
	switch {
	case s.commits():
		return c.commitLost()
	case s.endsTransaction():
		return nil
	}
	return c.reportLoss()
}

// unsupportedControlError returns an error for chained and prepared transactions, which are not supported,
// else nil.
func unsupportedControlError(s *statement) *pgproto.Error {
	words := upperCaseWords(s.query)
	text := strings.Join(words, " ")
	chains := words[len(words)-1] == "CHAIN" && !strings.Contains(text, "NO CHAIN")
	isPrepared := len(words) > 1 && words[1] == "PREPARED"
	if chains || isPrepared {
		return newError(codeFeatureNotSupported, "%s is not supported", text)
	}
	return nil
}

// executeBegin executes BEGIN or START TRANSACTION.
func (c *connection) executeBegin(s *statement, done func(tag string)) *pgproto.Error {
	if c.transaction != nil {
		c.out.warning(codeActiveTransaction, "there is already a transaction in progress")
	} else if e := c.beginTransaction(s.query); e != nil {
		return e
	}
	if s.controlWord == "START" {
		done("START TRANSACTION")
		return nil
	}
	done("BEGIN")
	return nil
}

// executeEnd executes a statement that ends the transaction.
func (c *connection) executeEnd(s *statement, done func(tag string)) {
	tx := c.transaction
	switch {
	case tx == nil:
		c.out.warning(codeNoActiveTransaction, "there is no transaction in progress")
		done(s.endTag())
	case tx.request != nil:
		c.endTransactionAtEngine(s, done)
	default: // no engine has received a statement, or the engine connection is lost
		c.closeTransaction()
		if tx.failed {
			done(tagRollback)
			return
		}
		done(s.endTag())
	}
}

// endTransactionAtEngine commits or rolls back at the transaction's engine.
func (c *connection) endTransactionAtEngine(s *statement, done func(tag string)) {
	tx := c.transaction
	tx.committing = s.endTag() == tagCommit && !tx.failed
	tx.rollingBack = !tx.committing
	query := s.query
	if tx.failed { // the engine may be unaware, because the failed statement may never have reached it
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
		case engineError != nil: // the engine has rolled back, for example because of a deferred constraint
			c.fail(engineError)
		case wasCommitting:
			c.fail(errCommitInDoubt())
		default: // closing the engine connection also rolls back
			done(tagRollback)
		}
	})
}

// runSavepoint sends a savepoint statement to the transaction's engine.
func (c *connection) runSavepoint(s *statement, done func(tag string)) *pgproto.Error {
	tx := c.transaction
	if tx == nil {
		return newError(codeNoActiveTransaction, "%s can only be used in transaction blocks", s.controlWord)
	}
	mayRecover := tx.request != nil && s.controlWord == "ROLLBACK"
	if tx.failed && !mayRecover {
		return errInFailedTransaction()
	}
	c.runInTransaction(newSimpleStatement(s.query), func(res *pgproto.Result) {
		c.transaction.failed = false
		done(res.Tag)
	})
	return nil
}
