package postgres

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// statementTimeoutSetting is the only setting that the gateway implements itself.
const statementTimeoutSetting = "statement_timeout"

// session holds the settings of a client. They apply at every engine that runs its statements.
type session struct {
	statementTimeout time.Duration // 0 means the timeout of the statement's class
	// settings are sorted by name. The slice is never modified in place, because statements in flight
	// still refer to the slice that they were sent with.
	settings []pgproto.Setting
}

// timeoutOf returns the timeout of a statement of the class.
func (s *session) timeoutOf(class policy.Class) time.Duration {
	if s.statementTimeout > 0 {
		return s.statementTimeout
	}
	return class.Timeout
}

// set adds a setting or replaces the one of the same name.
func (s *session) set(setting pgproto.Setting) {
	s.reset(setting.Name)
	s.settings = append(slices.Clone(s.settings), setting)
	slices.SortFunc(s.settings, func(a, b pgproto.Setting) int { return strings.Compare(a.Name, b.Name) })
}

// reset removes a setting, so that the engine's own value applies.
func (s *session) reset(name string) {
	s.settings = slices.DeleteFunc(slices.Clone(s.settings), func(setting pgproto.Setting) bool { return setting.Name == name })
}

// resetAll removes all settings, including the statement timeout.
func (s *session) resetAll() {
	s.settings = nil
	s.statementTimeout = 0
}

// setStatementTimeout sets the statement timeout from the text of a setting's value.
func (s *session) setStatementTimeout(text string) *pgproto.Error {
	timeout, ok := parseTimeout(text)
	if !ok {
		return newError(codeInvalidParameterValue, "invalid value for parameter \"statement_timeout\": %q", trimTimeout(text))
	}
	s.statementTimeout = timeout
	return nil
}

// timeoutUnits are the units of times in PostgreSQL; a number without a unit is in milliseconds.
var timeoutUnits = map[string]time.Duration{
	"":    time.Millisecond,
	"us":  time.Microsecond,
	"ms":  time.Millisecond,
	"s":   time.Second,
	"min": time.Minute,
	"h":   time.Hour,
	"d":   24 * time.Hour,
}

// trimTimeout removes surrounding spaces and quotes.
func trimTimeout(text string) string { return strings.Trim(strings.TrimSpace(text), "'") }

// parseTimeout parses a time in PostgreSQL's syntax: a number of milliseconds, or a number with a unit.
// "default" gives 0.
func parseTimeout(text string) (timeout time.Duration, ok bool) {
	text = trimTimeout(text)
	if strings.EqualFold(text, "default") {
		return 0, true
	}
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyz ")
	unit, known := timeoutUnits[strings.TrimSpace(text[len(digits):])]
	const bitSize = 31 // PostgreSQL stores the value as a signed 32-bit integer
	n, err := strconv.ParseUint(digits, 10, bitSize)
	if !known || err != nil {
		return 0, false
	}
	return time.Duration(n) * unit, true
}

// readSetStatementTimeout parses SET [SESSION] statement_timeout { = | TO } value. ok is false for any
// other statement.
func readSetStatementTimeout(query string) (value string, ok bool) {
	const keyword = "SET"
	text := sqltext.SkipComments(query)
	if len(text) < len(keyword) || !strings.EqualFold(text[:len(keyword)], keyword) { // most statements return here
		return "", false
	}
	text = strings.TrimRight(text, "; \t\r\n")
	words := strings.Fields(strings.ReplaceAll(text, "=", " = "))
	if len(words) > 1 && strings.EqualFold(words[1], "SESSION") {
		words = slices.Delete(words, 1, 2)
	}
	if len(words) < 4 {
		return "", false
	}
	isSetting := strings.EqualFold(words[0], keyword) && strings.EqualFold(words[1], statementTimeoutSetting)
	isAssignment := words[2] == "=" || strings.EqualFold(words[2], "TO")
	return strings.Join(words[3:], " "), isSetting && isAssignment
}

// answerSetStatementTimeout answers a Query that sets statement_timeout.
func (c *connection) answerSetStatementTimeout(value string) *pgproto.Error {
	if e := c.session.setStatementTimeout(value); e != nil {
		return e
	}
	c.out.commandComplete("SET")
	c.endSimpleQuery()
	return nil
}

// sessionControlWords are the first words of statements that change a session's settings.
var sessionControlWords = map[string]bool{"SET": true, "RESET": true, "DISCARD": true}

// sharedSettings are settings of an engine's session, which clients share. A SET of one of them is
// rejected.
var sharedSettings = map[string]bool{
	"role": true, "session_authorization": true, "client_encoding": true,
	"transaction_isolation": true, "transaction_read_only": true, "transaction_deferrable": true,
}

// otherSetForms are words that, after SET, begin a form that does not assign a setting.
var otherSetForms = map[string]bool{
	"local": true, "characteristics": true, "authorization": true, "constraints": true, "transaction": true,
	"role": true, "xml": true, "names": true,
}

// parseSet returns the name and the value of the setting that a SET assigns. The name is empty if the
// statement does not assign a setting that the gateway can keep per client.
func parseSet(query string) (name, value string) {
	l := sqltext.Lexer{Src: query}
	l.Next() // SET
	t := l.Next()
	if lowerIdentifier(&l, t) == "session" {
		t = l.Next()
	}
	name = lowerIdentifier(&l, t)
	switch {
	case name == "" || otherSetForms[name]:
		return "", ""
	case name == "time": // TIME ZONE
		if t = l.Next(); lowerIdentifier(&l, t) != "zone" {
			return "", ""
		}
		return "timezone", trimmedFrom(query, t.End)
	}
	parts := []string{name}
	t = l.Next()
	for t.Kind == sqltext.Dot { // a setting with a prefix, such as that of an extension
		part := lowerIdentifier(&l, l.Next())
		if part == "" {
			return "", ""
		}
		parts = append(parts, part)
		t = l.Next()
	}
	name = strings.Join(parts, ".")
	isAssignment := l.Text(t) == "=" || lowerIdentifier(&l, t) == "to"
	if !isAssignment || sharedSettings[name] {
		return "", ""
	}
	return name, trimmedFrom(query, t.End)
}

// lowerIdentifier returns the text of an identifier in lower case, or "" for any other token.
func lowerIdentifier(l *sqltext.Lexer, t sqltext.Token) string {
	if t.Kind != sqltext.Ident {
		return ""
	}
	return strings.ToLower(l.Text(t))
}

// trimmedFrom returns the rest of a query without trailing semicolons and spaces.
func trimmedFrom(query string, from int) string { return strings.TrimRight(query[from:], "; \t\r\n") }

// executeSessionControl executes SET, RESET and DISCARD outside of a transaction. done receives the
// command tag on success.
func (c *connection) executeSessionControl(s *statement, done func(tag string)) *pgproto.Error {
	words := upperCaseWords(s.query)
	switch s.controlWord {
	case "DISCARD":
		return c.executeDiscard(words, done)
	case "RESET":
		return c.executeReset(words, done)
	}
	return c.executeSet(s, words, done)
}

// executeDiscard executes DISCARD. Only DISCARD ALL has an effect; other forms concern an engine's
// session.
func (c *connection) executeDiscard(words []string, done func(tag string)) *pgproto.Error {
	if len(words) != 2 {
		return newError(codeSyntaxError, "syntax error at or near DISCARD")
	}
	if words[1] == "ALL" {
		c.session.resetAll()
		c.countSettings()
		c.dropStatements()
		c.dropPortals()
	}
	done("DISCARD " + words[1])
	return nil
}

// executeReset executes RESET of one setting or of all.
func (c *connection) executeReset(words []string, done func(tag string)) *pgproto.Error {
	if len(words) != 2 {
		return newError(codeFeatureNotSupported, "%s is not supported", strings.Join(words, " "))
	}
	switch name := strings.ToLower(words[1]); name {
	case "all":
		c.session.resetAll()
	case statementTimeoutSetting:
		c.session.statementTimeout = 0
	default:
		c.session.reset(name)
	}
	c.countSettings()
	done("RESET")
	return nil
}

// executeSet executes SET. A statement timeout and DEFAULT are handled by the gateway alone; an engine
// runs any other SET.
func (c *connection) executeSet(s *statement, words []string, done func(tag string)) *pgproto.Error {
	name, value := parseSet(s.query)
	switch {
	case len(words) > 1 && words[1] == "LOCAL":
		c.out.warning(codeNoActiveTransaction, "SET LOCAL can only be used in transaction blocks")
	case name == "":
		return newError(codeFeatureNotSupported, "this SET is not supported: it would change an engine's session, which clients share")
	case name == statementTimeoutSetting:
		if e := c.session.setStatementTimeout(value); e != nil {
			return e
		}
	case strings.EqualFold(strings.TrimSpace(value), "default"):
		c.session.reset(name)
		c.countSettings()
	default:
		return c.setAtEngine(pgproto.Setting{Name: name, Text: s.query}, done)
	}
	done("SET")
	return nil
}

// setAtEngine runs a SET at an engine, which validates it. On success the setting is kept for all
// further statements of the session.
func (c *connection) setAtEngine(setting pgproto.Setting, done func(tag string)) *pgproto.Error {
	if len(setting.Text) > maxSettingSize || len(c.session.settings) >= maxSettings {
		return newError(codeProgramLimitExceeded, "more than %d settings, or one of more than %d bytes", maxSettings, maxSettingSize)
	}
	if e := c.checkMemory(settingOverhead + len(setting.Text)); e != nil { // counted once the engine has accepted it
		return e
	}
	class, ok := c.frontend.core.Class(c.frontend.opts.DefaultClass)
	if !ok || class.Idempotency != policy.Idempotent {
		return newError(codeFeatureNotSupported, "SET needs a default class that is safe to repeat")
	}
	message := newSimpleStatement(setting.Text)
	message.ChangedSetting = setting.Name
	c.execute(execution{
		statement: &statement{
			query:          setting.Text,
			parameterTypes: noParameterTypes,
			classification: classification{class: class},
		},
		message: message,
		onResult: func(res *pgproto.Result) {
			c.session.set(setting)
			c.countSettings()
			c.out.raw(res.ParameterStatus)
			done(res.Tag)
		},
	})
	return nil
}
