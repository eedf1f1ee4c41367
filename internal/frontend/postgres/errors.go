package postgres

import (
	"errors"
	"fmt"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
)

// SQLSTATE codes (PostgreSQL manual, appendix A).
const (
	codeProtocolViolation                 = "08P01"
	codeFeatureNotSupported               = "0A000"
	codeNullValueNotAllowed               = "22004"
	codeInvalidParameterValue             = "22023"
	codeActiveTransaction                 = "25001"
	codeNoActiveTransaction               = "25P01"
	codeInFailedTransaction               = "25P02"
	codeIdleInTransactionTimeout          = "25P03"
	codeTransactionTimeout                = "25P04"
	codeInvalidStatementName              = "26000"
	codeInvalidAuthorizationSpecification = "28000"
	codeInvalidPassword                   = "28P01"
	codeInvalidCursorName                 = "34000"
	codeTransactionRollback               = "40000"
	codeStatementCompletionUnknown        = "40003"
	codeInsufficientPrivilege             = "42501"
	codeSyntaxError                       = "42601"
	codeUndefinedObject                   = "42704"
	codeDuplicateCursor                   = "42P03"
	codeDuplicateStatement                = "42P05"
	codeInsufficientResources             = "53000"
	codeOutOfMemory                       = "53200"
	codeTooManyConnections                = "53300"
	codeProgramLimitExceeded              = "54000"
	codeObjectNotInPrerequisiteState      = "55000"
	codeQueryCanceled                     = "57014"
	codeAdminShutdown                     = "57P01"
	codeSystemError                       = "58000"
)

// Severities of ErrorResponse and NoticeResponse.
const (
	severityError   = "ERROR"
	severityFatal   = "FATAL"
	severityWarning = "WARNING"
)

// errUnknownMessageType is returned for a message type that the protocol does not define for clients.
var errUnknownMessageType = errors.New("a message of a kind that no client sends")

// newError returns an ErrorResponse of severity ERROR with the SQLSTATE code.
func newError(code, format string, args ...any) *pgproto.Error {
	return &pgproto.Error{Severity: severityError, Code: code, Message: fmt.Sprintf(format, args...)}
}

// asProtocolError returns the ErrorResponse in an error's chain, or else a protocol violation with the
// error's text.
func asProtocolError(err error) *pgproto.Error {
	if e := pgproto.AsError(err); e != nil {
		return e
	}
	return newError(codeProtocolViolation, "%v", err)
}

func errMalformed(message string) *pgproto.Error {
	return newError(codeProtocolViolation, "malformed %s message", message)
}

func errShutdown() *pgproto.Error { return newError(codeAdminShutdown, "the gateway is stopping") }

func errCanceledByUser() *pgproto.Error {
	return newError(codeQueryCanceled, "canceling statement due to user request")
}

func errStatementTimeout() *pgproto.Error {
	return newError(codeQueryCanceled, "canceling statement due to statement timeout")
}

func errTransactionTimeout() *pgproto.Error {
	return newError(codeTransactionTimeout, "terminating connection due to transaction timeout")
}

func errIdleTransactionTimeout() *pgproto.Error {
	return newError(codeIdleInTransactionTimeout, "terminating connection due to idle-in-transaction timeout")
}

func errInFailedTransaction() *pgproto.Error {
	return newError(codeInFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// errInDoubt is the answer to a statement that was sent to an engine and may have run.
func errInDoubt() *pgproto.Error {
	return newError(codeStatementCompletionUnknown, "the statement failed on its way or at its engine; it may have run")
}

// errTransactionLost is the answer to a statement of a transaction whose engine connection was lost before a
// COMMIT was sent.
func errTransactionLost() *pgproto.Error {
	return newError(codeTransactionRollback, "the connection to the engine was lost; the transaction is rolled back")
}

// errCommitInDoubt is the answer to a COMMIT that was sent, or may have been, and whose answer was lost.
func errCommitInDoubt() *pgproto.Error {
	return newError(codeStatementCompletionUnknown, "the connection to the engine was lost during COMMIT; the transaction may have been committed")
}

// errPartlyAnswered ends a connection whose latest message was answered in part by a process that died.
func errPartlyAnswered(orphan *core.Orphan) *pgproto.Error {
	if orphan.MustFail {
		return errCommitInDoubt()
	}
	return newError(codeAdminShutdown, "the process that served this connection has ended")
}

// errRejected is the answer to a statement that was rejected under load and did not run. A retryAfter
// of 0 gives no hint when to retry.
func errRejected(retryAfter time.Duration) *pgproto.Error {
	e := newError(codeInsufficientResources, "the engines are busy; the statement was refused, and trying again is harmless")
	if retryAfter > 0 {
		roundedUp := (retryAfter + time.Millisecond - 1) / time.Millisecond
		e.Hint = fmt.Sprintf("Try again in %d ms.", roundedUp)
	}
	return e
}

// answerError converts a final answer other than a completion into an ErrorResponse. Each kind of
// failure has its own SQLSTATE; an engine's error about the statement is returned unchanged.
func answerError(a core.Answer) *pgproto.Error {
	engineError := pgproto.AsError(a.EngineError)
	switch {
	case a.InDoubt && engineError == nil: // even past the deadline: a timeout error would imply that the statement did not run
		return errInDoubt()
	case a.InDoubt:
		return engineError
	case a.DeadlinePassed:
		return errStatementTimeout()
	case a.Verdict == core.Rejected:
		return errRejected(a.RetryAfter)
	case engineError != nil:
		return engineError
	case a.Sent:
		return errInDoubt()
	}
	return newError(codeSystemError, "the statement could not be sent to any engine")
}

// transactionError converts the failure of a statement within a transaction into an ErrorResponse. No
// COMMIT was sent, so a lost engine connection means that the whole transaction is rolled back.
func transactionError(a core.Answer) *pgproto.Error {
	engineError := pgproto.AsError(a.EngineError)
	switch {
	case engineError != nil:
		return engineError
	case a.Verdict == core.Rejected:
		return answerError(a)
	case a.DeadlinePassed:
		return errStatementTimeout()
	}
	return errTransactionLost()
}
