package postgres

import "gannetspur/internal/pgproto"

// Kinds of messages from an engine.
const (
	messageAuthentication       byte = 'R'
	messageBackendKeyData       byte = 'K'
	messageBindComplete         byte = '2'
	messageCloseComplete        byte = '3'
	messageCommandComplete      byte = 'C'
	messageDataRow              byte = 'D'
	messageEmptyQueryResponse   byte = 'I'
	messageErrorResponse        byte = 'E'
	messageNoData               byte = 'n'
	messageNoticeResponse       byte = 'N'
	messageNotificationResponse byte = 'A'
	messageParameterDescription byte = 't'
	messageParameterStatus      byte = 'S'
	messageParseComplete        byte = '1'
	messageReadyForQuery        byte = 'Z'
	messageRowDescription       byte = 'T'
)

// Kinds of messages to an engine.
const (
	messageBind         byte = 'B'
	messageDescribe     byte = 'D'
	messageExecute      byte = 'E'
	messageParse        byte = 'P'
	messageQuery        byte = 'Q'
	messageSASLResponse byte = 'p'
	messageSync         byte = 'S'
)

// transactionIdle is the status in a ReadyForQuery outside of a transaction.
const transactionIdle byte = 'I'

// unnamed is the name of the unnamed statement, and of the unnamed portal.
var unnamed = []byte{0}

// appendPrelude adds the messages that run a statement ahead of another. No Sync follows: what is behind them runs
// only if they succeed.
func appendPrelude(messages []byte, query string) []byte {
	noParameterTypes := []byte{0, 0}
	noValues := make([]byte, 6) // of parameters; neither their formats nor the results'
	messages = pgproto.AppendMessage(messages, messageParse, unnamed, pgproto.CString(query), noParameterTypes)
	messages = pgproto.AppendMessage(messages, messageBind, unnamed, unnamed, noValues)
	return appendExecute(messages)
}

// appendExecute adds an Execute of the unnamed portal for all of its rows.
func appendExecute(messages []byte) []byte {
	return pgproto.AppendMessage(messages, messageExecute, unnamed, pgproto.Int32(0))
}

// appendBind adds a Bind of a prepared statement to the unnamed portal.
func appendBind(messages, statementName, values []byte) []byte {
	return pgproto.AppendMessage(messages, messageBind, unnamed, statementName, values)
}

func appendDescribeStatement(messages, name []byte) []byte {
	return pgproto.AppendMessage(messages, messageDescribe, []byte("S"), name)
}

func appendDescribePortal(messages []byte) []byte {
	return pgproto.AppendMessage(messages, messageDescribe, []byte("P\x00"))
}
