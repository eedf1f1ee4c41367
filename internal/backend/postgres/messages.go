package postgres

import "gannetspur/internal/pgproto"

// unnamed is the encoded name of the unnamed statement and of the unnamed portal.
var unnamed = []byte{0}

// appendPrecedingStatement appends the messages that run a statement without parameters before another one. They
// include no Sync, so the engine skips all later messages, up to the next Sync, if this statement fails.
func appendPrecedingStatement(messages []byte, query string) []byte {
	noParameterTypes := []byte{0, 0}
	noValues := make([]byte, 6) // three zero counts: parameter formats, parameter values and result formats
	messages = pgproto.AppendMessage(messages, pgproto.MessageParse, unnamed, pgproto.CString(query), noParameterTypes)
	messages = pgproto.AppendMessage(messages, pgproto.MessageBind, unnamed, unnamed, noValues)
	return appendExecute(messages)
}

// appendExecute appends an Execute of the unnamed portal, without a limit on the rows.
func appendExecute(messages []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageExecute, unnamed, pgproto.Int32(0))
}

// appendBind appends a Bind of a prepared statement to the unnamed portal. values is the body of the Bind after
// the two names.
func appendBind(messages, statementName, values []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageBind, unnamed, statementName, values)
}

// appendDescribeStatement appends a Describe of a prepared statement.
func appendDescribeStatement(messages, name []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageDescribe, []byte("S"), name)
}

// appendDescribePortal appends a Describe of the unnamed portal.
func appendDescribePortal(messages []byte) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageDescribe, []byte("P\x00"))
}
