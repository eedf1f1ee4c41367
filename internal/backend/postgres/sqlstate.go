package postgres

import (
	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

// SQLSTATE codes, and SQLSTATE classes (the first two characters of a code).
const (
	sqlstateOutOfMemory          = "53200"
	sqlstateProgramLimitExceeded = "54000"
	sqlstateQueryCanceled        = "57014"
	sqlstateAdminShutdown        = "57P01"
	sqlstateCannotConnectNow     = "57P03"

	classConnectionException   = "08"
	classTransactionRollback   = "40"
	classInsufficientResources = "53"
	classOperatorIntervention  = "57"
	classSystemError           = "58"
	classConfigFileError       = "F0"
	classInternalError         = "XX"
)

// sqlstateOutcome returns the outcome for an engine's error. If the engine lacks resources or shuts down, another
// engine may serve the statement. An error in the statement itself would recur on every engine.
func sqlstateOutcome(code string) core.Outcome {
	switch code[:2] {
	case classInsufficientResources:
		return core.OutcomeEngineFull
	case classOperatorIntervention:
		return interventionOutcome(code)
	case classConnectionException, classTransactionRollback, classSystemError, classInternalError, classConfigFileError:
		return core.OutcomeEngineError
	}
	return core.OutcomeStatementRejected
}

// interventionOutcome returns the outcome for an error of class 57, operator intervention.
func interventionOutcome(code string) core.Outcome {
	switch code {
	case sqlstateCannotConnectNow, sqlstateAdminShutdown: // a running statement is rolled back
		return core.OutcomeEngineFull
	case sqlstateQueryCanceled:
		return core.OutcomeTimeout
	}
	return core.OutcomeEngineError
}

// failureOutcome returns the outcome for the error that ended the statement. If the engine lacked resources, a
// statement that is not idempotent is still not sent to another engine: the first may have made changes that a
// rollback does not undo, such as advancing a sequence.
func (c *connection) failureOutcome(statement *pgproto.Statement) core.Outcome {
	outcome := sqlstateOutcome(c.response.failure.Code)
	class, _ := c.backend.core.Class(c.query.attempt.Request.Class)
	if outcome == core.OutcomeEngineFull && class.Idempotency == policy.NotIdempotent && !statement.DescribeOnly {
		return core.OutcomeEngineError
	}
	return outcome
}

// fatalOutcome returns the outcome for an error with which the engine ends the connection.
func (c *connection) fatalOutcome() core.Outcome {
	outcome := sqlstateOutcome(c.response.failure.Code)
	switch {
	case !c.query.written && outcome != core.OutcomeEngineFull: // the error does not concern the statement, which was not sent
		return core.OutcomeConnectionRefused
	case c.query.written && outcome != core.OutcomeTimeout: // the engine may have ended between the commit and its response, so the statement's effect is unknown
		return core.OutcomeEngineError
	}
	return outcome
}
