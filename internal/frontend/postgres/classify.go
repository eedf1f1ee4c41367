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

// classification is what a statement's comment or a rule says of it.
type classification struct {
	class        policy.Class
	keyParameter int  // number of the parameter that holds the key, from 1; 0: none
	classByShape bool // nobody has named a class for it: its shape may
}

// classRequest is the class that is wanted for a statement.
type classRequest struct {
	name         string
	keyParameter int
	readOnly     bool // an operator's rule says that the statement only reads
	explicit     bool // a rule or a comment names the class
}

// classify finds a statement's class: its leading comment goes before the rules, and these before
// the default. What the statement may do goes before all three: one that may write is never given a
// class that is idempotent. It has the class for writes instead, of which one attempt is made.
func (f *Frontend) classify(query string, shape *queryshape.Statement) (classification, *pgproto.Error) {
	wanted := f.classByRule(query)
	if e := wanted.readComment(query); e != nil {
		return classification{}, e
	}
	class, ok := f.core.Class(wanted.name)
	if !ok {
		return classification{}, newError(codeUndefinedObject, "class %q is not known here", wanted.name)
	}
	if class.Idempotency != policy.Idempotent {
		return classification{class: class, keyParameter: wanted.keyParameter}, nil
	}
	effect := f.effectOf(query, shape)
	onlyReads := effect.Effect == sqltext.Reads || effect.Effect == sqltext.Unknown && wanted.readOnly
	if onlyReads {
		return classification{class: class, keyParameter: wanted.keyParameter, classByShape: !wanted.explicit}, nil
	}
	f.counters.Inc("pgwire.may-write")
	if wanted.explicit {
		e := newError(codeInvalidParameterValue, "class %s is safe to repeat, and the statement may write (%v)", wanted.name, effect)
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

// readComment takes class and key from a statement's leading comment, as in /* class=load key=$1 */.
func (w *classRequest) readComment(query string) *pgproto.Error {
	text, ok := sqltext.LeadingComment(query)
	if !ok {
		return nil
	}
	isSeparator := func(c rune) bool { return c == ' ' || c == ',' || c == ';' }
	for _, word := range strings.FieldsFunc(text, isSeparator) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "class":
			w.name = value
			w.explicit = true
		case "key":
			number, err := strconv.Atoi(strings.TrimPrefix(value, "$"))
			if err != nil || number < 1 || number > maxParameters {
				return newError(codeSyntaxError, "the comment's key=%s names no parameter such as $1", value)
			}
			w.keyParameter = number
		}
	}
	return nil
}

func (f *Frontend) effectOf(query string, shape *queryshape.Statement) sqltext.EffectVerdict {
	if shape != nil {
		return shape.Effect()
	}
	return sqltext.EffectOf(query, f.opts.ReadOnlyFunctions)
}

// readKey returns the key of an execution from the bound values: what retries are deduplicated by,
// or what keeps the order. A class that needs a key is never sent without one.
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

// unsupportedStatements need a session of their own at an engine, which all clients share.
var unsupportedStatements = map[string]bool{
	"COPY": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "LOCK": true,
	"DISCARD": true, "RESET": true, "SET": true,
}

// leadingWords are what decides whether a statement is supported.
type leadingWords struct {
	first    string // in upper case; "": the statement is empty
	multiple bool   // more than one statement follows
}

func firstWordsOf(query string, shape *queryshape.Statement) (w leadingWords) {
	if shape != nil {
		return leadingWords{first: strings.ToUpper(shape.FirstWord()), multiple: shape.MultipleStatements()}
	}
	w.first, w.multiple = sqltext.FirstWord(query)
	return w
}

// isControl reports whether the gateway itself carries the statement out.
func (w leadingWords) isControl(context statementContext) bool {
	return transactionControl[w.first] || sessionControl[w.first] && !context.inTransaction
}

// unsupported returns why a statement is not supported, or nil.
func (w leadingWords) unsupported(query string, context statementContext) *pgproto.Error {
	switch {
	case w.multiple:
		return newError(codeFeatureNotSupported, "only one statement at a time is supported")
	case w.isControl(context) || !unsupportedStatements[w.first]:
		return nil
	case context.inTransaction && endsWithTransaction(w.first, query):
		return nil
	}
	return newError(codeFeatureNotSupported, "%s is not supported: statements share their engines' sessions", w.first)
}

// endsWithTransaction reports whether all that a statement leaves in the engine's session ends with
// its transaction.
func endsWithTransaction(firstWord, query string) bool {
	words := upperWords(query)
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

// declaresHeldCursor reports whether a DECLARE makes a cursor WITH HOLD, which outlives its
// transaction.
func declaresHeldCursor(words []string, query string) bool {
	if strings.Contains(strings.ToUpper(query), "WITHOUT HOLD") {
		return false
	}
	return slices.ContainsFunc(words, func(word string) bool { return strings.Trim(word, ";") == "HOLD" })
}
