package postgres

import (
	"strconv"

	"gannetspur/internal/pgproto"
)

const (
	maxPreparedStatements = 32      // on one connection
	maxPreparedBytes      = 4 << 10 // of the text and types of each, which are kept
)

// SQLSTATEs of an engine that can't run a prepared statement any more.
const (
	sqlstateInvalidStatementName = "26000" // it has dropped the name
	sqlstateFeatureNotSupported  = "0A000" // its result would have other columns than when it was prepared
)

// preparedStatements are the statements that stay prepared on one connection.
type preparedStatements struct {
	names      map[string]string // by key
	lastNumber int               // in the last name given
}

func newPreparedStatements() preparedStatements {
	return preparedStatements{names: map[string]string{}}
}

// preparedKey identifies what a name stands for: text and parameter types.
func preparedKey(statement *pgproto.Statement) string {
	return statement.Query + "\x00" + string(statement.ParameterTypes)
}

// newName returns a name for a statement that is about to be prepared; "" if it is not to be kept.
func (p *preparedStatements) newName(key string) string {
	if len(p.names) >= maxPreparedStatements || len(key) > maxPreparedBytes {
		return ""
	}
	p.lastNumber++
	return "s" + strconv.Itoa(p.lastNumber)
}

func (p *preparedStatements) clear() { clear(p.names) }

// prepare returns the name of the statement, and adds a Parse if it is not prepared on this connection. A long
// one, one past maxPreparedStatements and one of a transaction use the unnamed statement: in a transaction, a name
// that the engine has dropped would abort it.
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
	c.query.newName = c.prepared.newName(c.query.preparedKey)
	name = pgproto.CString(c.query.newName)
	return name, appendParse(messages, name, statement)
}

func appendParse(messages, name []byte, statement *pgproto.Statement) []byte {
	return pgproto.AppendMessage(messages, pgproto.MessageParse, name, pgproto.CString(statement.Query), statement.ParameterTypes)
}

// recordPrepared keeps the name of the statement that the engine has just prepared.
func (c *connection) recordPrepared() {
	if c.query.newName != "" {
		c.prepared.names[c.query.preparedKey] = c.query.newName
	}
}

// dropStaleName reports whether an error concerns a name from an earlier attempt, and drops the name: the engine has
// dropped it, or what it stands for has changed. Both show before BindComplete, so
// nothing has run, and without the name the statement may well succeed.
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
