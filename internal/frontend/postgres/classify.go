package postgres

import (
	"slices"
	"strconv"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// classification is the policy class of a statement, as derived from its leading comment, the
// configured rules and its effect.
type classification struct {
	class        policy.Class
	keyParameter int  // number of the parameter that holds the key, from 1; 0 means no key
	classByShape bool // neither a rule nor a comment names a class, so the query shape may choose it
}

// classRequest is the class that a rule, a comment or the default requests for a statement.
type classRequest struct {
	name         string
	keyParameter int  // number of the parameter that holds the key, from 1; 0 means no key
	readOnly     bool // the matching rule declares that the statement only reads
	explicit     bool // a rule or a comment names the class, so it is not the default
}

// classify returns the class of a statement. The leading comment takes precedence over the rules, and
// the rules over the default. The effect of the statement overrides all three: a statement that may
// write never gets an idempotent class, because requests of those classes are retried. It gets the class
// for writes, whose requests are attempted only once. It is rejected if an idempotent class was named
// explicitly or if the gateway has no class for writes.
func (f *Frontend) classify(query string, shape *queryshape.Statement) (classification, *pgproto.Error) {
	requested := f.classByRule(query)
	if e := requested.readComment(query); e != nil {
		return classification{}, e
	}
	class, ok := f.core.Class(requested.name)
	if !ok {
		return classification{}, newError(codeUndefinedObject, "class %q is not known here", requested.name)
	}
	if class.Idempotency != policy.Idempotent {
		return classification{class: class, keyParameter: requested.keyParameter}, nil
	}
	effect := f.effectOf(query, shape)
	onlyReads := effect.Effect == sqltext.Reads || effect.Effect == sqltext.Unknown && requested.readOnly
	if onlyReads {
		return classification{class: class, keyParameter: requested.keyParameter, classByShape: !requested.explicit}, nil
	}
	f.counters.Inc("pgwire.may-write")
	if requested.explicit {
		e := newError(codeInvalidParameterValue, "class %s is safe to repeat, and the statement may write (%v)", requested.name, effect)
		e.Hint = "Name no class, or one for writes or loads. Functions that only read belong in the gateway's read_only_functions."
		return classification{}, e
	}
	class, ok = f.core.Class(f.opts.WriteClass)
	if !ok || class.Idempotency != policy.NotIdempotent {
		return classification{}, newError(codeFeatureNotSupported, "the statement may write (%v), and this gateway has no class for writes", effect)
	}
	return classification{class: class}, nil
}

// classByRule returns the class of the first rule that matches, or the default.
func (f *Frontend) classByRule(query string) classRequest {
	matches := func(r Rule) bool { return sqltext.HasTokenPrefix(query, r.Starts) }
	i := slices.IndexFunc(f.opts.Rules, matches)
	if i < 0 {
		return classRequest{name: f.opts.DefaultClass}
	}
	rule := f.opts.Rules[i]
	return classRequest{name: rule.Class, keyParameter: rule.Key, readOnly: rule.ReadOnly, explicit: true}
}

// readComment overrides the class and the key parameter with those in the statement's leading
// comment, such as /* class=load key=$1 */.
func (r *classRequest) readComment(query string) *pgproto.Error {
	text, ok := sqltext.LeadingComment(query)
	if !ok {
		return nil
	}
	isSeparator := func(c rune) bool { return c == ' ' || c == ',' || c == ';' }
	for _, word := range strings.FieldsFunc(text, isSeparator) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "class":
			r.name = value
			r.explicit = true
		case "key":
			number, err := strconv.Atoi(strings.TrimPrefix(value, "$"))
			if err != nil || number < 1 || number > maxParameters {
				return newError(codeSyntaxError, "the comment's key=%s names no parameter such as $1", value)
			}
			r.keyParameter = number
		}
	}
	return nil
}

// effectOf returns whether a statement reads or may write. A nil shape means that the text itself is
// analyzed.
func (f *Frontend) effectOf(query string, shape *queryshape.Statement) sqltext.EffectVerdict {
	if shape != nil {
		return shape.Effect()
	}
	return sqltext.EffectOf(query, f.opts.ReadOnlyFunctions)
}

// readKey returns the key of an execution from its bound values. The key deduplicates retries, or
// identifies requests that must run in order. A statement of a class that needs a key is rejected
// if it has none. The key is empty for all other classes.
func (s classification) readKey(values [][]byte) (string, *pgproto.Error) {
	if s.class.Idempotency != policy.IdempotentWithKey && !s.class.Ordered {
		return "", nil
	}
	name := s.class.Name
	switch {
	case s.keyParameter == 0:
		return "", newError(codeInvalidParameterValue, "class %s needs a key: name its parameter, as in /* class=%s key=$1 */", name, name)
	case s.keyParameter > len(values):
		return "", newError(codeInvalidParameterValue, "the key of class %s is parameter $%d, and only %d are bound", name, s.keyParameter, len(values))
	}
	key := values[s.keyParameter-1]
	if len(key) == 0 {
		return "", newError(codeNullValueNotAllowed, "the key of class %s, parameter $%d, is null or empty", name, s.keyParameter)
	}
	return string(key), nil
}

// unsupportedFirstWords are first words of statements that need a dedicated engine session. They are
// rejected, because clients share the engines' sessions, unless the gateway executes the statement itself
// or its changes to the session end with the open transaction.
var unsupportedFirstWords = map[string]bool{
	"COPY": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "LOCK": true,
	"DISCARD": true, "RESET": true, "SET": true,
}

// leadingWords are the parts of a statement's text that decide whether it is supported.
type leadingWords struct {
	first    string // first word in upper case; empty if the statement is empty
	multiple bool   // the text contains more than one statement
}

// readLeadingWords takes the leading words from the shape, or from the text if shape is nil.
func readLeadingWords(query string, shape *queryshape.Statement) (w leadingWords) {
	if shape != nil {
		return leadingWords{first: strings.ToUpper(shape.FirstWord()), multiple: shape.MultipleStatements()}
	}
	w.first, w.multiple = sqltext.FirstWord(query)
	return w
}

// isControl reports whether the gateway executes the statement itself.
func (w leadingWords) isControl(context statementContext) bool {
	return transactionControlWords[w.first] || sessionControlWords[w.first] && !context.inTransaction
}

// unsupportedError returns the error for a statement that is not supported, or nil if it is supported.
func (w leadingWords) unsupportedError(query string, context statementContext) *pgproto.Error {
	switch {
	case w.multiple:
		return newError(codeFeatureNotSupported, "only one statement at a time is supported")
	case w.isControl(context) || !unsupportedFirstWords[w.first]:
		return nil
	case context.inTransaction && changesEndWithTransaction(w.first, query):
		return nil
	}
	return newError(codeFeatureNotSupported, "%s is not supported: statements share their engines' sessions", w.first)
}

// changesEndWithTransaction reports whether everything that a statement changes in the engine's session is
// undone when its transaction ends.
func changesEndWithTransaction(firstWord, query string) bool {
	words := upperCaseWords(query)
	switch firstWord {
	case "DECLARE":
		return !declaresHeldCursor(words, query)
	case "SET":
		return len(words) > 1 && slices.Contains([]string{"LOCAL", "TRANSACTION", "CONSTRAINTS"}, words[1])
	case "LOCK", "FETCH", "MOVE", "CLOSE":
		return true
	}
	return false
}

// declaresHeldCursor reports whether a DECLARE creates a cursor WITH HOLD, which outlives its
// transaction.
func declaresHeldCursor(words []string, query string) bool {
	if strings.Contains(strings.ToUpper(query), "WITHOUT HOLD") {
		return false
	}
	return slices.ContainsFunc(words, func(word string) bool { return strings.Trim(word, ";") == "HOLD" })
}
