package postgres

import (
	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

// SQLSTATEs, and the classes that their first two characters name.
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

// sqlstateOutcome classifies an engine's error. What the engine is short of, or that it is
// about to stop, is no answer to the statement: another engine may serve it. A
// fault of the statement's own would be the same everywhere.
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

func interventionOutcome(code string) core.Outcome {
	switch code {
	case sqlstateCannotConnectNow, sqlstateAdminShutdown: // a statement that ran is rolled back
		return core.OutcomeEngineFull
	case sqlstateQueryCanceled:
		return core.OutcomeTimeout
	}
	return core.OutcomeEngineError
}

// failureOutcome classifies the error that ended the connection's attempt. Of what may run once only, an
// engine that was short of something in the middle may have done some for good where
// that is outside its transaction (a sequence, say): no other is asked.
func (c *connection) failureOutcome(statement *pgproto.Statement) core.Outcome {
	outcome := sqlstateOutcome(c.response.failure.Code)
	class, _ := c.backend.core.Class(c.query.attempt.Request.Class)
	if outcome == core.OutcomeEngineFull && class.Idempotency == policy.NotIdempotent && !statement.DescribeOnly {
		return core.OutcomeEngineError
	}
	return outcome
}

// fatalOutcome classifies an error with which the engine ends the connection.
func (c *connection) fatalOutcome() core.Outcome {
	outcome := sqlstateOutcome(c.response.failure.Code)
	switch {
	case !c.query.written && outcome != core.OutcomeEngineFull: // it does not concern the statement, which was not sent
		return core.OutcomeConnectionRefused
	case c.query.written && outcome != core.OutcomeTimeout: // between a commit and its answer, either may be true
		return core.OutcomeEngineError
	}
	return outcome
}
