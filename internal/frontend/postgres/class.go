package postgres

import (
	"fmt"
	"strconv"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// Rule gives a class to statements that begin with some words, and names the
// parameter that holds their key.
type Rule struct {
	Starts   string // words, in any case, after comments
	Class    string
	Key      int  // the parameter's number from 1; 0: none
	ReadOnly bool // the operator's word that such statements only read, where their text can't tell
}

// sorted is what a statement's comment or a rule says of it.
type sorted struct {
	class policy.Class
	key   int
	shape bool // nobody has named a class for it: its shape may
}

// sort finds a statement's class: its leading comment goes before the rules, and
// these before the default. What the statement may do goes before all three: one that
// may write is never given a class that is safe to repeat. Unless it is a keyed load it
// has the class for writes, of which one attempt is made.
func (f *Frontend) sort(query string, read *queryshape.Statement) (sorted, *pgproto.Error) {
	name, key, readOnly, named := f.opts.DefaultClass, 0, false, false
	for _, r := range f.opts.Rules {
		if sqltext.Begins(query, r.Starts) {
			name, key, readOnly, named = r.Class, r.Key, r.ReadOnly, true
			break
		}
	}
	if text, ok := sqltext.LeadingComment(query); ok {
		for _, word := range strings.FieldsFunc(text, func(c rune) bool { return c == ' ' || c == ',' || c == ';' }) {
			k, v, _ := strings.Cut(word, "=")
			switch k {
			case "class":
				name, named = v, true
			case "key":
				n, err := strconv.Atoi(strings.TrimPrefix(v, "$"))
				if err != nil || n < 1 || n > maxParams {
					return sorted{}, fail("42601", "the comment's key=%s names no parameter such as $1", v)
				}
				key = n
			}
		}
	}
	class, ok := f.core.Class(name)
	if !ok {
		return sorted{}, fail("42704", "class %q is not known here", name)
	}
	if class.Idempotency != policy.Idempotent {
		return sorted{class: class, key: key}, nil
	}
	var effect sqltext.Verdict
	if read != nil {
		effect = read.Effect()
	} else {
		effect = sqltext.EffectOf(query, f.opts.ReadOnlyFunctions)
	}
	if effect.Effect == sqltext.Reads || effect.Effect == sqltext.Untold && readOnly {
		return sorted{class: class, key: key, shape: !named}, nil
	}
	f.stats.Add("pgwire.may-write")
	if named {
		e := fail("22023", "class %s is safe to repeat, and the statement may write (%v)", name, effect)
		e.Hint = "Name no class, or one for writes or loads. Functions that only read belong in the gateway's read_only_functions."
		return sorted{}, e
	}
	class, ok = f.core.Class(f.opts.WriteClass)
	if !ok || class.Idempotency != policy.NotIdempotent {
		return sorted{}, fail("0A000", "the statement may write (%v), and this gateway has no class for writes", effect)
	}
	return sorted{class: class}, nil
}

// keyOf reads the key of a load from the bound values: what repeats are dropped by, or what
// keeps the order. Without one it is never sent.
func keyOf(s sorted, values [][]byte) (string, *pgproto.Error) {
	if s.class.Idempotency != policy.IdempotentWithKey && !s.class.Ordered {
		return "", nil
	}
	switch {
	case s.key == 0:
		return "", fail("22023", "class %s needs a key: name its parameter, as in /* class=%s key=$1 */", s.class.Name, s.class.Name)
	case s.key > len(values):
		return "", fail("22023", "the key of class %s is parameter $%d, and only %d are bound", s.class.Name, s.key, len(values))
	case len(values[s.key-1]) == 0:
		return "", fail("22004", "the key of class %s, parameter $%d, is null or empty", s.class.Name, s.key)
	}
	return string(values[s.key-1]), nil
}

// unsupported names statements that need a session of their own at an engine,
// which is shared here by all clients.
var unsupported = map[string]bool{
	"COPY": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "LOCK": true,
	"DISCARD": true, "RESET": true, "SET": true,
}

// check refuses what is not supported, and tells whether the text is empty, or about a
// transaction. open tells whether one is open.
func check(query string, read *queryshape.Statement, open bool) (empty bool, control string, e *pgproto.Error) {
	var word string
	var more bool
	if read != nil {
		word, more = strings.ToUpper(read.FirstWord()), read.MultipleStatements()
	} else {
		word, more = sqltext.FirstWord(query)
	}
	switch {
	case more:
		return false, "", fail("0A000", "only one statement at a time is supported")
	case controls[word]:
		return false, word, nil
	case (word == "SET" || word == "RESET" || word == "DISCARD") && !open:
		return false, word, nil
	case unsupported[word] && open && within(word, query):
	case unsupported[word]:
		return false, "", fail("0A000", "%s is not supported: statements share their engines' sessions", word)
	}
	return word == "", "", nil
}

func fail(code, format string, args ...any) *pgproto.Error {
	return &pgproto.Error{Severity: "ERROR", Code: code, Message: fmt.Sprintf(format, args...)}
}
