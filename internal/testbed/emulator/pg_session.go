package emulator

import (
	"maps"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// pgSession is the state that an engine keeps for one connection between statements: its transaction and its
// settings.
type pgSession struct {
	engine, name string // names of the engine and of the session in the store
	store        *Store
	status       byte              // transaction status, as in ReadyForQuery
	skip         bool              // whether messages are skipped up to the next Sync, after an error
	settings     map[string]string // values that SET assigned, by the setting's name
	transaction  *pgTransaction    // nil if no transaction is open
}

// pgTransaction is an open transaction: a block from BEGIN to COMMIT, or the implicit transaction of the
// statements up to a Sync.
type pgTransaction struct {
	savepoint                   // the state at the start of the transaction
	savepoints []namedSavepoint // in the order in which they were set
	local      map[string]bool  // settings that SET LOCAL has changed
	writes     []string         // writes that COMMIT makes permanent
}

// savepoint is a state of a session to which a transaction can roll back.
type savepoint struct {
	settings map[string]string
	writes   int // number of writes
}

type namedSavepoint struct {
	name string
	savepoint
}

func newPGSession(opts *Options, name string) *pgSession {
	return &pgSession{engine: opts.Name, name: name, store: opts.Store, status: pgproto.TransactionIdle, settings: map[string]string{}}
}

// begin opens a transaction unless one is open.
func (s *pgSession) begin() {
	if s.transaction == nil {
		s.transaction = &pgTransaction{savepoint: savepoint{settings: maps.Clone(s.settings)}, local: map[string]bool{}}
	}
}

// commit makes the writes and settings of the open transaction, if any, permanent.
func (s *pgSession) commit() {
	s.status = pgproto.TransactionIdle
	if s.transaction == nil {
		return
	}
	for name := range s.transaction.local {
		s.assign(name, s.transaction.settings[name])
	}
	s.store.commit(s.engine, s.name, s.transaction.writes)
	s.transaction = nil
}

// rollback undoes the writes and settings of the open transaction, if any.
func (s *pgSession) rollback() {
	s.status = pgproto.TransactionIdle
	if s.transaction == nil {
		return
	}
	s.settings = s.transaction.settings
	s.transaction = nil
}

// fail handles the error of a statement: it rolls back an implicit transaction, marks a transaction block as
// failed, and skips the messages up to the next Sync.
func (s *pgSession) fail() {
	s.skip = true
	if s.status == pgproto.TransactionIdle {
		s.rollback()
		return
	}
	s.status = pgproto.TransactionFailed
}

// sync ends an implicit transaction.
func (s *pgSession) sync() {
	s.skip = false
	if s.status == pgproto.TransactionIdle {
		s.commit()
	}
}

// assign sets a setting. The empty value restores the default.
func (s *pgSession) assign(name, value string) {
	if value == "" {
		delete(s.settings, name)
		return
	}
	s.settings[name] = value
}

// dateOrders are the values of DateStyle that set only the order of day, month and year.
var dateOrders = map[string]bool{"DMY": true, "MDY": true, "YMD": true}

// set executes the assignment of a SET. As in PostgreSQL, an order of the date leaves the style of DateStyle as it is.
func (s *pgSession) set(name, value string) {
	style, _, _ := strings.Cut(s.settings[name], ", ")
	if name == "datestyle" && dateOrders[value] && style != "" && !dateOrders[style] {
		value = style + ", " + value
	}
	s.assign(name, value)
}

// setting returns the value of a setting, "default" if none was set.
func (s *pgSession) setting(name string) string {
	if value, ok := s.settings[name]; ok {
		return value
	}
	return "default"
}

// rollbackTo restores the state at a savepoint of the open transaction.
func (s *pgSession) rollbackTo(name string) {
	for i, candidate := range s.transaction.savepoints {
		if candidate.name != name {
			continue
		}
		s.settings = maps.Clone(candidate.settings)
		s.transaction.writes = s.transaction.writes[:candidate.writes]
		s.transaction.savepoints = s.transaction.savepoints[:i+1]
	}
	s.status = pgproto.TransactionOpen
}

// recordWrite adds a statement that was executed to the writes of its transaction, if it is one.
func (s *pgSession) recordWrite(statement string) {
	word, _ := sqltext.FirstWord(statement)
	switch word {
	case "INSERT", "UPDATE", "DELETE":
		s.transaction.writes = append(s.transaction.writes, statement)
	}
}

// control executes statements that control transactions, savepoints and settings. It returns an error for
// any other statement in a failed transaction, for a savepoint outside of a transaction, for a setting with
// an invalid value and for a division by zero. tag is the command tag of a completed statement; if tag is ""
// and e is nil, the caller must execute the statement.
func (s *pgSession) control(statement string) (tag string, e *pgproto.Error) {
	s.begin()
	words := statementWords(statement)
	first := words[0]
	switch {
	case first == "ROLLBACK" && rollsBackToSavepoint(words) && s.status != pgproto.TransactionIdle:
		s.rollbackTo(words[len(words)-1])
		return "ROLLBACK", nil
	case first == "COMMIT" || first == "END":
		if s.status == pgproto.TransactionFailed {
			s.rollback()
			return "ROLLBACK", nil
		}
		s.commit()
		return "COMMIT", nil
	case first == "ROLLBACK" || first == "ABORT":
		s.rollback()
		return "ROLLBACK", nil
	case s.status == pgproto.TransactionFailed:
		return "", newEngineError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	case first == "BEGIN" || first == "START":
		s.status = pgproto.TransactionOpen
		return "BEGIN", nil
	case first == "SET" || first == "RESET":
		return s.changeSetting(statement, words)
	case first == "SAVEPOINT" || first == "RELEASE":
		if s.status == pgproto.TransactionIdle {
			return "", newEngineError("25P01", first+" can only be used in transaction blocks")
		}
		if first == "SAVEPOINT" {
			now := savepoint{settings: maps.Clone(s.settings), writes: len(s.transaction.writes)}
			s.transaction.savepoints = append(s.transaction.savepoints, namedSavepoint{words[len(words)-1], now})
		}
		return first, nil
	case strings.Contains(statement, "1/0"):
		return "", newEngineError("22012", "division by zero")
	}
	return "", nil
}

// changeSetting executes SET or RESET. The caller must answer SET LOCAL and SET TRANSACTION.
func (s *pgSession) changeSetting(statement string, words []string) (tag string, e *pgproto.Error) {
	const setLocal = 4 // words of SET LOCAL name TO
	switch {
	case len(words) < 2 || words[1] == "TRANSACTION":
		return "", nil
	case strings.Contains(statement, "invalid"):
		return "", newEngineError("22023", "invalid value for parameter")
	case words[0] == "RESET":
		s.assign(strings.ToLower(words[1]), "")
		return "RESET", nil
	case words[1] == "LOCAL" && len(words) > setLocal:
		name := strings.ToLower(words[2])
		s.transaction.local[name] = true
		s.set(name, settingValue(statement))
		return "", nil
	case words[1] == "LOCAL":
		return "", nil
	}
	s.set(strings.ToLower(words[1]), settingValue(statement))
	return "SET", nil
}

// query executes a statement that the gateway itself sends as a Query: DISCARD ALL, which can't run in a
// transaction block.
func (s *pgSession) query(statement string) (tag string, e *pgproto.Error) {
	if s.status != pgproto.TransactionIdle {
		return "", newEngineError("25001", statement+" cannot run inside a transaction block")
	}
	clear(s.settings)
	return statement, nil
}

// statementWords returns the words of a statement in upper case, without comments and semicolons, and at
// least one, which may be empty.
func statementWords(statement string) []string {
	text := strings.TrimRight(sqltext.SkipComments(statement), "; ")
	text, _, _ = strings.Cut(text, "/*")
	words := strings.Fields(strings.ToUpper(text))
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// rollsBackToSavepoint reports whether the words are those of ROLLBACK [WORK | TRANSACTION] TO.
func rollsBackToSavepoint(words []string) bool {
	return len(words) > 1 && (words[1] == "TO" || len(words) > 2 && words[2] == "TO")
}

// settingValue returns the value that a SET assigns: its last word without quotes.
func settingValue(statement string) string {
	words := strings.Fields(strings.TrimRight(statement, "; "))
	return strings.Trim(words[len(words)-1], "'")
}

func newEngineError(code, text string) *pgproto.Error {
	return &pgproto.Error{Severity: "ERROR", Code: code, Message: text}
}
