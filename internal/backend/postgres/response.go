package postgres

import (
	"errors"
	"fmt"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
)

var (
	errTransactionStatus  = errors.New("unexpected transaction status in ReadyForQuery")
	errIncompleteResponse = errors.New("ReadyForQuery before the response was complete")
)

// response is the received part of the response to a statement.
type response struct {
	result              *pgproto.Result // received part of the result; nil without an attempt
	bound               bool            // BindComplete was received: the statement may be running
	precedingStatements int             // number of statements sent ahead of the statement (SET, RESET, BEGIN) whose CommandComplete was not received yet
	complete            bool            // CommandComplete or EmptyQueryResponse was received
	failure             *pgproto.Error  // latest error from the engine; nil if there is none
}

// resetResponse prepares the connection for the next response.
func (c *connection) resetResponse() { c.response = response{result: &pgproto.Result{}} }

// handleResponseMessage handles one message of a response.
func (c *connection) handleResponseMessage(kind byte, body, message []byte) error {
	result := c.response.result
	switch kind {
	case pgproto.MessageParseComplete:
		c.recordPrepared()
	case pgproto.MessageBindComplete:
		c.response.bound = true
	case pgproto.MessageCloseComplete:
	case pgproto.MessageParameterDescription:
		result.ParameterDescription = append([]byte{}, body...)
	case pgproto.MessageRowDescription:
		result.RowDescription = append([]byte{}, body...)
	case pgproto.MessageNoData:
		result.RowDescription = nil
	case pgproto.MessageDataRow:
		c.handleRow(message)
	case pgproto.MessageCommandComplete:
		return c.handleCommandComplete(body)
	case pgproto.MessageEmptyQueryResponse:
		result.EmptyQuery = true
		c.response.complete = true
	default:
		return fmt.Errorf("%w %q in a response", errUnexpectedMessage, kind)
	}
	return nil
}

// handleRow buffers a row, or rejects the result if it exceeds a limit.
func (c *connection) handleRow(message []byte) {
	result := c.response.result
	switch {
	case len(result.Rows)+len(message) > MaxResultBytes:
		c.rejectResult(sqlstateProgramLimitExceeded, fmt.Sprintf("the result is larger than %d bytes", MaxResultBytes))
		return
	case c.backend.bufferedBytes+len(message) > c.backend.options.MaxBufferedBytes:
		c.rejectResult(sqlstateOutOfMemory, "the gateway holds too many results")
		return
	}
	result.Rows = append(result.Rows, message...)
	result.RowCount++
	c.backend.bufferedBytes += len(message)
}

// rejectResult cancels and ends an attempt whose response is too large and not yet complete.
func (c *connection) rejectResult(code, text string) {
	a := c.query.attempt
	c.backend.Cancel(a)
	reason := &pgproto.Error{Severity: "ERROR", Code: code, Message: text}
	c.backend.core.EndAttempt(a, core.OutcomeResultTooLarge, core.Report{EngineError: reason})
}

// handleCommandComplete handles the end of a preceding statement, or of the statement itself.
func (c *connection) handleCommandComplete(body []byte) error {
	if c.response.precedingStatements > 0 {
		c.response.precedingStatements--
		c.response.bound = false
		return nil
	}
	tag := pgproto.Reader{Rest: body}
	c.response.result.Tag = tag.CString()
	c.response.complete = true
	if !tag.Complete() {
		return fmt.Errorf("%w: invalid CommandComplete", pgproto.ErrMalformed)
	}
	return nil
}

// handleParameterStatus adds a changed parameter to the result if a client's SET is running. Any other
// ParameterStatus concerns the session, which belongs to no client.
func (c *connection) handleParameterStatus(message []byte) {
	statement := c.statement()
	if statement == nil || statement.ChangedSetting == "" || c.response.precedingStatements > 0 {
		return
	}
	c.response.result.ParameterStatus = append(c.response.result.ParameterStatus, message...)
}

// handleError stores an error from the engine. Errors during the startup and FATAL errors close the connection.
func (c *connection) handleError(body []byte) error {
	failure, err := pgproto.ReadError(body)
	if err != nil {
		return err
	}
	c.response.failure = failure
	if c.response.precedingStatements > 0 { // it is unknown which settings the session has now
		c.retired = true
	}
	if !c.startup.done || failure.Severity == "FATAL" {
		c.close(c.fatalOutcome())
	}
	return nil
}

// handleReadyForQuery handles the end of the startup, of a session reset, of a statement, or of one response within
// a transaction.
func (c *connection) handleReadyForQuery(body []byte) error {
	if len(body) != 1 {
		return errTransactionStatus
	}
	inTransaction := body[0] != pgproto.TransactionIdle
	mayBeInTransaction := c.startup.done && c.query.attempt != nil && c.query.attempt.Request.Streaming
	switch {
	case inTransaction && !mayBeInTransaction:
		return errTransactionStatus
	case c.session.resetting:
		return c.completeReset()
	case inTransaction:
		return c.relayPart()
	case !c.startup.done:
		c.completeStartup()
		return nil
	case c.query.attempt == nil:
		return fmt.Errorf("%w ReadyForQuery on an idle connection", errUnexpectedMessage)
	}
	return c.finishStatement()
}

// finishStatement ends the attempt at the end of its response, with the outcome that the response shows.
func (c *connection) finishStatement() error {
	statement := c.statement()
	failure := c.response.failure
	described := statement.DescribeOnly && c.response.result.ParameterDescription != nil
	switch {
	case failure != nil && statement.EndsTransaction: // the transaction was rolled back, and the error gives the reason
		c.finish(core.OutcomeStatementRejected, core.Report{EngineError: failure})
	case failure != nil && c.dropStaleName(failure.Code):
		c.finish(core.OutcomeNotSent, core.Report{})
	case failure != nil:
		c.finish(c.failureOutcome(statement), core.Report{EngineError: failure})
	case c.response.complete || described:
		c.finish(core.OutcomeServed, core.Report{Result: c.response.result})
	default:
		return errIncompleteResponse
	}
	return nil
}

// relayPart relays a response within a transaction to the client: a result, or the error that failed the transaction.
func (c *connection) relayPart() error {
	if c.response.failure == nil && !c.response.complete {
		return errIncompleteResponse
	}
	report := core.Report{Result: c.response.result}
	if c.response.failure != nil {
		report = core.Report{EngineError: c.response.failure}
	}
	c.backend.bufferedBytes -= len(c.response.result.Rows)
	c.resetResponse()
	c.query.continued = true
	c.backend.core.RelayPart(c.query.attempt, report)
	return nil
}
