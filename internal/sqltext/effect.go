package sqltext

import (
	"strings"
	"unicode/utf8"
)

// Effect is what a statement may do to what is stored.
type Effect uint8

// Effects. The zero value is the most cautious: what can't be told may write.
const (
	Unknown Effect = iota // it may write
	Writes                // it does, as far as its words tell
	Reads                 // nothing in it is known to write, and all of it is known
)

var effectNames = [...]string{"can't be told", "writes", "reads"}

func (e Effect) String() string { return effectNames[e] }

// EffectVerdict is a statement's effect, and the word of it that decided.
type EffectVerdict struct {
	Effect Effect
	Reason string // a few words
	Word   string // as it stands in the statement; "" where Why says all
}

func (v EffectVerdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// FunctionSet names functions that only read, in small letters, with their schema where
// they are not of pg_catalog.
type FunctionSet map[string]bool

// has looks a name up without an allocation for names as they are usually written.
func (f FunctionSet) has(name string) bool { return f[name] || f[strings.ToLower(name)] }

// EffectOf reads what a statement may do, and errs on the side of writing: it reads
// only where its first word says so, no word in it writes or locks, and all functions
// and operators that it names are known to read. more are the operator's own.
//
// What a text can't show is not seen: a view or an operator over a function that
// writes, a cast with a function of its own, and a column that is a function (t.f).
func EffectOf(stmt string, more FunctionSet) EffectVerdict {
	l := Lexer{Src: stmt}
	r := effectReader{more: more}
	for t := l.Next(); t.Kind != End; t = l.Next() {
		r.token(&l, t)
		if r.sure() {
			return r.worst
		}
	}
	return r.verdict(&l)
}

// sure tells that nothing more can change the verdict.
func (r *effectReader) sure() bool { return r.worst.Reason != "" && r.worst.Effect == Writes }

// effectReader judges a run of tokens.
type effectReader struct {
	more  FunctionSet
	worst EffectVerdict // the first that is no reading one; Writes goes before Unknown

	begun            bool // the first word was read
	explain, planned bool // EXPLAIN stands in front; nothing yet says that it runs
	options          bool // between EXPLAIN and its statement
	depth            int  // of parentheses

	prev, before word // of the last two tokens, where they are key words
	kind, kind2  Kind // of the last two tokens
	last         Token
	use          use
	schema       Token // of last, where it is qualified
	distinctOn   bool  // DISTINCT ON stands in the statement: a call may follow a parenthesis
	// ctes has a bit for each depth at which a list of common table expressions is
	// being read; expect one where the next name begins one.
	ctes, expect uint64
	cteName      bool // last is the name of one
}

func (r *effectReader) say(e Effect, word, why string) {
	if r.worst.Reason == "" || e == Writes && r.worst.Effect == Unknown {
		r.worst = EffectVerdict{e, why, word}
	}
}

func bit(depth int) uint64 {
	if depth < 0 || depth > 63 {
		return 0 // deeper lists are not known as such; their columns look like calls
	}
	return 1 << depth
}

func (r *effectReader) token(l *Lexer, t Token) {
	w, use := t.word(), t.use()
	schema := Token{}
	switch t.Kind {
	case Ident, QuotedIdent:
		if r.kind == Dot { // a part of a longer name: no key word
			w, use = wNone, 0
			schema = r.last
		}
		if r.kind != Dot || r.kind2 != Ident && r.kind2 != QuotedIdent {
			schema = Token{}
		}
		r.word(l, t, w, use)
	case OpenParen:
		r.open(l)
		r.depth++
		r.ctes &^= bit(r.depth)
		r.expect &^= bit(r.depth)
	case CloseParen:
		r.depth--
	case Comma:
		if r.ctes&bit(r.depth) != 0 {
			r.expect |= bit(r.depth)
		}
	case Operator:
		if !knownOperator(l.Text(t)) {
			r.say(Unknown, l.Text(t), "an operator that is not known")
		}
	}
	if t.Kind == Dot { // the name goes on
		r.kind2, r.kind = r.kind, Dot
		return
	}
	r.before, r.prev = r.prev, w
	r.kind2, r.kind = r.kind, t.Kind
	r.use, r.last, r.schema = use, t, schema
}

func (r *effectReader) word(l *Lexer, t Token, w word, use use) {
	r.cteName = false
	text := l.Text(t)
	start := !r.begun || r.kind == OpenParen
	switch {
	case !r.begun:
		r.begun = true
		switch {
		case w == wExplain:
			r.explain, r.planned, r.options = true, true, true
		case use&reader != 0:
		case use&writes != 0:
			r.say(Writes, text, "it writes")
		default:
			r.first(text, t.Kind)
		}
	case r.options:
		r.option(text, t.Kind, use)
		start = start || !r.options
	}
	if r.begun && use&writes != 0 && r.prev != wAs && !r.planned && r.last.Kind != End {
		r.say(Writes, text, "it writes")
	}
	switch {
	case w == wWith && start: // elsewhere it is WITH ORDINALITY, WITH TIES or the like
		r.ctes |= bit(r.depth)
		r.expect |= bit(r.depth)
	case w == wRecursive && r.prev == wWith:
	case r.expect&bit(r.depth) != 0:
		r.expect &^= bit(r.depth)
		r.cteName = true
	case use&(reader|writes) != 0:
		r.ctes &^= bit(r.depth)
	case w == wOn && r.prev == wDistinct:
		r.distinctOn = true
	}
	if r.prev == wFor && (w == wUpdate || w == wNo || w == wShare || w == wKey) && !r.planned {
		r.say(Writes, "FOR "+strings.ToUpper(text), "it locks rows")
	}
	if w == wOperator {
		r.say(Unknown, text, "an operator named by its schema")
	}
}

// first judges a first word that begins no reading statement.
func (r *effectReader) first(text string, k Kind) {
	if k == Ident {
		switch strings.ToUpper(text) {
		case "CREATE", "ALTER", "DROP", "TRUNCATE", "COMMENT", "GRANT", "REVOKE", "REINDEX", "CLUSTER", "VACUUM",
			"REFRESH", "IMPORT", "SECURITY", "REASSIGN", "COPY":
			r.say(Writes, text, "it writes")
			return
		case "DO", "CALL", "EXECUTE":
			r.say(Unknown, text, "what it runs can't be seen")
			return
		}
	}
	r.say(Unknown, text, "it begins no statement that is known to read")
}

// option reads what stands between EXPLAIN and its statement. ANALYZE in any form
// runs the statement; whatever is not known as an option begins it.
func (r *effectReader) option(text string, k Kind, use use) {
	if strings.EqualFold(bare(text), "analyze") || strings.EqualFold(bare(text), "analyse") {
		r.planned = false
		return
	}
	if r.depth > 0 && use&reader == 0 || strings.EqualFold(text, "verbose") {
		return
	}
	r.options = false
	if use&reader == 0 && !r.planned {
		if use&writes != 0 {
			r.say(Writes, text, "EXPLAIN ANALYZE runs it")
		} else {
			r.first(text, k)
		}
	}
}

// open judges a parenthesis: behind a name that is no key word it begins a call.
func (r *effectReader) open(l *Lexer) {
	if !r.begun || r.options || r.planned {
		return
	}
	if r.last.Kind != Ident && r.last.Kind != QuotedIdent || r.kind == Dot {
		return
	}
	qualified := r.schema.Kind != End
	if !qualified && (r.before == wAs || r.kind2 == CloseParen && !r.distinctOn && r.use&(reserved|infix) == 0) {
		return // the columns of an alias
	}
	if r.last.Kind == Ident && !qualified {
		switch {
		case r.use&(reserved|typeName) != 0, r.cteName:
			return
		case r.prev == wOver || r.prev == wFilter:
			if r.kind2 == CloseParen { // a call is over, and this belongs to it
				return
			}
		case r.use&infix != 0:
			if r.kind2 == Ident && r.before == wNone || r.kind2 == CloseParen || r.kind2 == QuotedIdent || r.kind2 == String ||
				r.kind2 == Number || r.kind2 == Param || r.kind2 == CloseBracket || r.before == wNot || r.before == wNatural ||
				r.before == wNull || r.before == wTrue || r.before == wFalse {
				return
			}
		case r.prev == wBy && (r.before == wOrder || r.before == wGroup || r.before == wPartition):
			return
		case r.prev == wSets && r.before == wGrouping, (r.prev == wFirst || r.prev == wNext) && r.before == wFetch,
			r.prev == wMaterialized && (r.before == wAs || r.before == wNot):
			return
		}
	}
	name := l.Text(r.last)
	if r.last.Kind == QuotedIdent {
		name = bare(name)
	}
	if qualified {
		schema := bare(l.Text(r.schema))
		if !equal(schema, "pg_catalog") {
			full := schema + "." + name
			if r.more.has(full) {
				return
			}
			r.say(Unknown, full, "a function not known to read only")
			return
		}
	}
	if r.last.Kind == QuotedIdent && name != strings.ToLower(name) || !readers.has(name) && !r.more.has(name) {
		r.say(Unknown, name, "a function not known to read only")
	}
}

func (r *effectReader) verdict(l *Lexer) EffectVerdict {
	switch {
	case r.worst.Reason != "":
		return r.worst
	case !r.begun:
		return EffectVerdict{Unknown, "no word begins it", ""}
	case l.Defects&UnterminatedText != 0:
		return EffectVerdict{Unknown, "a string, a name or a comment in it does not end", ""}
	case l.Defects&BackslashQuote != 0:
		return EffectVerdict{Unknown, "a backslash before a quote reads differently without standard_conforming_strings", ""}
	case l.Defects&UnicodeEscape != 0:
		return EffectVerdict{Unknown, "U& hides what it spells", ""}
	case l.Defects&InvalidCharacter != 0:
		return EffectVerdict{Unknown, "a character in it is of no statement", ""}
	case l.Defects&NonASCII != 0 && !utf8.ValidString(l.Src):
		return EffectVerdict{Unknown, "it is not UTF-8", ""}
	}
	return EffectVerdict{Reads, "all its words and functions read", ""}
}
