package pgwire

import (
	"fmt"
	"strconv"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// Rule gives a class to statements that begin with some words, and names the
// parameter that holds their key.
type Rule struct {
	Starts string // words, in any case, after comments
	Class  string
	Key    int // the parameter's number from 1; 0: none
}

// sorted is what a statement's comment or a rule says of it.
type sorted struct {
	class policy.Class
	key   int
}

// sort finds a statement's class: its leading comment goes before the rules, and
// these before the default.
func (f *Front) sort(query string) (sorted, *pgproto.Error) {
	name, key := f.opts.DefaultClass, 0
	for _, r := range f.opts.Rules {
		if starts(query, r.Starts) {
			name, key = r.Class, r.Key
			break
		}
	}
	if text, ok := sqltext.LeadingComment(query); ok {
		for _, word := range strings.FieldsFunc(text, func(c rune) bool { return c == ' ' || c == ',' || c == ';' }) {
			k, v, _ := strings.Cut(word, "=")
			switch k {
			case "class":
				name = v
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
	return sorted{class: class, key: key}, nil
}

// starts compares word by word, so that spacing does not count.
func starts(query, words string) bool {
	have := strings.Fields(sqltext.SkipComments(query))
	want := strings.Fields(words)
	if len(want) == 0 || len(have) < len(want) {
		return false
	}
	for i, w := range want {
		if !strings.EqualFold(w, have[i]) {
			return false
		}
	}
	return true
}

// keyOf reads the key of a load from the bound values. A load without one is
// never sent: nothing would drop a repeat of it.
func keyOf(s sorted, values [][]byte) (string, *pgproto.Error) {
	if s.class.Effect != policy.Keyed {
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
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true,
	"RELEASE": true, "COPY": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "CLOSE": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "LOCK": true,
	"DISCARD": true, "RESET": true, "SET": true,
}

// check refuses what is not supported, and tells whether the text is empty.
func check(query string) (empty bool, e *pgproto.Error) {
	word, more := sqltext.FirstWord(query)
	switch {
	case more:
		return false, fail("0A000", "only one statement at a time is supported")
	case unsupported[word]:
		return false, fail("0A000", "%s is not supported: statements share their engines' sessions", word)
	}
	return word == "", nil
}

func fail(code, format string, args ...any) *pgproto.Error {
	return &pgproto.Error{Severity: "ERROR", Code: code, Message: fmt.Sprintf(format, args...)}
}
