package postgres

import (
	"strconv"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

const (
	// maxPreparedStatements is the maximum number of named statements on one connection.
	maxPreparedStatements = 32
	// maxPreparedBytes is the maximum size in bytes of the key of a named statement, which stays in memory.
	maxPreparedBytes = 4 << 10
)

// SQLSTATE codes with which an engine reports that it can no longer run a prepared statement.
const (
	sqlstateInvalidStatementName = "26000" // the engine has dropped the name
	sqlstateFeatureNotSupported  = "0A000" // the columns of the result have changed since the statement was prepared
)

// preparedStatements is the set of named statements that stay prepared on one connection.
type preparedStatements struct {
	names      map[string]string // by the key that preparedKey returns
	lastNumber int               // number in the latest name
}

// newPreparedStatements returns an empty set.
func newPreparedStatements() preparedStatements {
	return preparedStatements{names: map[string]string{}}
}

// preparedKey returns the key of a statement: its text, its parameter types and the settings under which it is
// prepared. An engine converts constants and resolves names when it parses a statement, by the settings of that
// moment, and does not parse it anew when the settings change.
func preparedKey(statement *pgproto.Statement) string {
	var key strings.Builder
	key.WriteString(statement.Query)
	key.WriteByte(0)
	key.Write(statement.ParameterTypes)
	for _, setting := range statement.Settings {
		key.WriteByte(0)
		key.WriteString(setting.Text)
	}
	return key.String()
}

// newName returns a name for a statement that is about to be prepared under a key. The name is empty if there are
// already maxPreparedStatements names, if the key is longer than maxPreparedBytes, or if the statement must be parsed
// anew each time because a constant in it may name the current time.
func (p *preparedStatements) newName(key, query string) string {
	if len(p.names) >= maxPreparedStatements || len(key) > maxPreparedBytes || sqltext.MayNameCurrentTime(query) {
		return ""
	}
	p.lastNumber++
	return "s" + strconv.Itoa(p.lastNumber)
}

// clear removes all names.
func (p *preparedStatements) clear() { clear(p.names) }

// prepare returns the encoded name of the statement, and appends a Parse if it is not prepared on this connection.
// Statements that get no name (see newName) and those of a transaction use the unnamed statement: in a transaction, a
// name that the engine has dropped would abort the transaction.
func (c *connection) prepare(messages []byte, statement *pgproto.Statement) (name, appended []byte) {
	c.query.preparedKey = ""
	c.query.newName = ""
	if c.query.attempt.Request.Streaming {
		return unnamed, appendParse(messages, unnamed, statement)
	}
	c.query.preparedKey = preparedKey(statement)
	known, ok := c.prepared.names[c.query.preparedKey]
	if ok {
		return pgproto.CString(known), messages
	}
	c.query.newName = c.prepared.newName(c.query.preparedKey, statement.Query)
	name = pgproto.CString(c.query.newName)
	return name, appendParse(messages, name, statement)
}

// appendParse appends a Parse that prepares the statement under a name.
func appendParse(messages, name []byte, statement *pgproto.Statement) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageParse, name, pgproto.CString(statement.Query), statement.ParameterTypes)
}

// recordPrepared stores the name of the statement that the engine has just prepared, unless it is unnamed.
func (c *connection) recordPrepared() {
	if c.query.newName != "" {
		c.prepared.names[c.query.preparedKey] = c.query.newName
	}
}

// dropStaleName reports whether an error concerns a name from an earlier attempt, and if so removes the name: the
// engine has dropped it, or the statement's columns have changed. Engines report both errors before BindComplete,
// so the statement has not run, and it may succeed when it is prepared again.
func (c *connection) dropStaleName(code string) bool {
	_, reused := c.prepared.names[c.query.preparedKey]
	if !reused || c.query.newName != "" || c.response.bound {
		return false
	}
	if code != sqlstateInvalidStatementName && code != sqlstateFeatureNotSupported {
		return false
	}
	delete(c.prepared.names, c.query.preparedKey)
	return true
}
