package postgres

import "gannetspur/internal/pgproto"

// unnamed is the name of the unnamed statement, and of the unnamed portal.
var unnamed = []byte{0}

// appendPrelude adds the messages that run a statement ahead of another. No Sync follows: what is behind them runs
// only if they succeed.
func appendPrelude(messages []byte, query string) []byte {
	noParameterTypes := []byte{0, 0}
	noValues := make([]byte, 6) // of parameters; neither their formats nor the results'
	messages = pgproto.AppendMessage(messages, pgproto.MessageParse, unnamed, pgproto.CString(query), noParameterTypes)
	messages = pgproto.AppendMessage(messages, pgproto.MessageBind, unnamed, unnamed, noValues)
	return appendExecute(messages)
}

// appendExecute adds an Execute of the unnamed portal for all of its rows.
func appendExecute(messages []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageExecute, unnamed, pgproto.Int32(0))
}

// appendBind adds a Bind of a prepared statement to the unnamed portal.
func appendBind(messages, statementName, values []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageBind, unnamed, statementName, values)
}

func appendDescribeStatement(messages, name []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageDescribe, []byte("S"), name)
}

func appendDescribePortal(messages []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageDescribe, []byte("P\x00"))
}
