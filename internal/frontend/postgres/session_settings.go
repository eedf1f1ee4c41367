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

// statementTimeoutSetting is the one setting that the gateway itself carries out.
const statementTimeoutSetting = "statement_timeout"

// session is what a client has set. Its settings follow it to whatever engine its statements run on.
type session struct {
	statementTimeout time.Duration // 0: the class's
	// settings are in the order of their names. The slice is never changed in place: statements in
	// flight keep the one that they were sent with.
	settings []pgproto.Setting
}

// timeoutOf returns how long a statement of a class may take.
func (s *session) timeoutOf(class policy.Class) time.Duration {
	if s.statementTimeout > 0 {
		return s.statementTimeout
	}
	return class.Timeout
}

func (s *session) set(setting pgproto.Setting) {
	s.reset(setting.Name)
	s.settings = append(slices.Clone(s.settings), setting)
	slices.SortFunc(s.settings, func(a, b pgproto.Setting) int { return strings.Compare(a.Name, b.Name) })
}

// reset gives a setting the value that the engines have.
func (s *session) reset(name string) {
	s.settings = slices.DeleteFunc(slices.Clone(s.settings), func(set pgproto.Setting) bool { return set.Name == name })
}

func (s *session) resetAll() {
	s.settings = nil
	s.statementTimeout = 0
}

func (s *session) setStatementTimeout(text string) *pgproto.Error {
	timeout, ok := parseTimeout(text)
	if !ok {
		return newError(codeInvalidParameterValue, "invalid value for parameter \"statement_timeout\": %q", trimTimeout(text))
	}
	s.statementTimeout = timeout
	return nil
}

var timeoutUnits = map[string]time.Duration{
	"":    time.Millisecond,
	"us":  time.Microsecond,
	"ms":  time.Millisecond,
	"s":   time.Second,
	"min": time.Minute,
	"h":   time.Hour,
	"d":   24 * time.Hour,
}

func trimTimeout(text string) string { return strings.Trim(strings.TrimSpace(text), "'") }

// parseTimeout reads a time as PostgreSQL writes it: milliseconds, or a number with a unit.
func parseTimeout(text string) (timeout time.Duration, ok bool) {
	text = trimTimeout(text)
	if strings.EqualFold(text, "default") {
		return 0, true
	}
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyz ")
	unit, known := timeoutUnits[strings.TrimSpace(text[len(digits):])]
	const bitSize = 31 // as PostgreSQL's
	n, err := strconv.ParseUint(digits, 10, bitSize)
	if !known || err != nil {
		return 0, false
	}
	return time.Duration(n) * unit, true
}

// readSetStatementTimeout reads SET [SESSION] statement_timeout { = | TO } value.
func readSetStatementTimeout(query string) (value string, ok bool) {
	const keyword = "SET"
	text := sqltext.SkipComments(query)
	if len(text) < len(keyword) || !strings.EqualFold(text[:len(keyword)], keyword) { // nearly all
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

// sessionControl are the statements that change a session's settings.
var sessionControl = map[string]bool{"SET": true, "RESET": true, "DISCARD": true}

// sharedSettings belong to an engine's session itself, which clients share.
var sharedSettings = map[string]bool{
	"role": true, "session_authorization": true, "client_encoding": true,
	"transaction_isolation": true, "transaction_read_only": true, "transaction_deferrable": true,
}

// otherSetForms are words behind SET that begin another form of it than that of a setting.
var otherSetForms = map[string]bool{
	"local": true, "characteristics": true, "authorization": true, "constraints": true, "transaction": true,
	"role": true, "xml": true, "names": true,
}

// parseSet reads which setting a SET changes, and to what; name is "" where it is none that can
// follow a client.
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
	for t.Kind == sqltext.Dot { // the setting of an extension
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

// lowerIdentifier is the text of an identifier in lower case; "": the token is none.
func lowerIdentifier(l *sqltext.Lexer, t sqltext.Token) string {
	if t.Kind != sqltext.Ident {
		return ""
	}
	return strings.ToLower(l.Text(t))
}

func trimmedFrom(query string, from int) string { return strings.TrimRight(query[from:], "; \t\r\n") }

// controlSession carries out SET, RESET and DISCARD outside of a transaction; done is given the tag.
func (c *connection) controlSession(s *statement, done func(tag string)) *pgproto.Error {
	words := upperWords(s.query)
	switch s.control {
	case "DISCARD":
		return c.discard(words, done)
	case "RESET":
		return c.reset(words, done)
	}
	return c.set(s, words, done)
}

func (c *connection) discard(words []string, done func(tag string)) *pgproto.Error {
	if len(words) != 2 {
		return newError(codeSyntaxError, "syntax error at or near DISCARD")
	}
	if words[1] == "ALL" {
		c.session.resetAll()
		clear(c.statements)
		c.dropPortals()
	}
	done("DISCARD " + words[1])
	return nil
}

func (c *connection) reset(words []string, done func(tag string)) *pgproto.Error {
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
	done("RESET")
	return nil
}

func (c *connection) set(s *statement, words []string, done func(tag string)) *pgproto.Error {
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
	default:
		return c.setAtEngine(pgproto.Setting{Name: name, Text: s.query}, done)
	}
	done("SET")
	return nil
}

// setAtEngine has an engine carry out a SET, and keeps it for the statements that follow where that
// succeeds.
func (c *connection) setAtEngine(setting pgproto.Setting, done func(tag string)) *pgproto.Error {
	if len(setting.Text) > maxSettingSize || len(c.session.settings) >= maxSettings {
		return newError(codeProgramLimitExceeded, "more than %d settings, or one of more than %d bytes", maxSettings, maxSettingSize)
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
			c.out.raw(res.ParameterStatus)
			done(res.Tag)
		},
	})
	return nil
}
