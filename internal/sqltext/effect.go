package sqltext

import (
	"strings"
	"unicode/utf8"
)

// Effect is what a statement may do to what is stored.
type Effect uint8

// Effects. The zero value is the most cautious: a statement whose effect is unknown may
// write.
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
	Word   string // as it stands in the statement; "" where Reason says all
}

func (v EffectVerdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// Reasons that more than one place gives. They go to operators.
const (
	reasonWrites          = "it writes"
	reasonUnknownFunction = "a function not known to read only"
)

// EffectOf reads what a statement may do, and errs on the side of writing: it reads only
// where its first word says so, no word in it writes or locks, and all functions and
// operators that it names are known to read. readOnly are the functions that the operator
// vouches for.
//
// What a text can't show is not seen: a view or an operator over a function that writes, a
// cast with a function of its own, and a column that is a function (t.f).
func EffectOf(stmt string, readOnly FunctionSet) EffectVerdict {
	l := Lexer{Src: stmt}
	c := effectClassifier{readOnly: readOnly}
	for t := l.Next(); t.Kind != End; t = l.Next() {
		c.token(&l, t)
		if c.final() {
			return c.worst
		}
	}
	return c.verdict(&l)
}

// effectClassifier finds the effect of a statement from its tokens in turn.
type effectClassifier struct {
	readOnly FunctionSet
	worst    EffectVerdict // the first that does not read; Writes goes before Unknown

	begun   bool // the first word was read
	explain explainState
	depth   int // of parentheses

	lastWord, beforeLastWord keyword // the last two tokens, where they are key words
	lastKind, beforeLastKind Kind    // of the last two tokens
	lastToken                Token   // but for dots
	lastTraits               keywordTraits
	schema                   Token // of lastToken, where it is qualified
	hasDistinctOn            bool  // DISTINCT ON stands in the statement: a call may follow a parenthesis

	ctes      depthSet // where a list of common table expressions (CTEs) is being read
	expectCTE depthSet // where the next name is the name of one
	lastIsCTE bool     // the last token is the name of one
}

// explainState is what EXPLAIN in front of a statement makes of it.
type explainState struct {
	planOnly  bool // nothing yet says that the statement runs
	inOptions bool // between EXPLAIN and its statement
}

// depthSet is a set of depths of parentheses, as bits. Deeper lists than it can hold are
// not known as such; their columns look like calls.
type depthSet uint64

const maxSetDepth = 63

func depthBit(depth int) depthSet {
	if depth < 0 || depth > maxSetDepth {
		return 0
	}
	return 1 << depth
}

func (s depthSet) has(depth int) bool { return s&depthBit(depth) != 0 }
func (s *depthSet) add(depth int)     { *s |= depthBit(depth) }
func (s *depthSet) remove(depth int)  { *s &^= depthBit(depth) }

// report takes a finding. The first one stays, but Writes goes before Unknown.
func (c *effectClassifier) report(effect Effect, word, reason string) {
	if c.worst.Reason == "" || effect == Writes && c.worst.Effect == Unknown {
		c.worst = EffectVerdict{Effect: effect, Reason: reason, Word: word}
	}
}

// final tells that nothing later can change the verdict.
func (c *effectClassifier) final() bool { return c.worst.Reason != "" && c.worst.Effect == Writes }

// token takes the next token.
func (c *effectClassifier) token(l *Lexer, t Token) {
	word, traits := t.keyword(), t.traits()
	schema := Token{}
	switch t.Kind {
	case Ident, QuotedIdent:
		if c.lastKind == Dot { // a part of a longer name: no key word
			word, traits = keywordNone, 0
			if c.beforeLastKind.isName() {
				schema = c.lastToken
			}
		}
		c.word(l.Text(t), t.Kind, word, traits)
	case OpenParen:
		c.openParen(l)
		c.depth++
		c.ctes.remove(c.depth)
		c.expectCTE.remove(c.depth)
	case CloseParen:
		c.depth--
	case Comma:
		if c.ctes.has(c.depth) {
			c.expectCTE.add(c.depth)
		}
	case Operator:
		if !isReadOnlyOperator(l.Text(t)) {
			c.report(Unknown, l.Text(t), "an operator that is not known")
		}
	}
	c.beforeLastKind = c.lastKind
	c.lastKind = t.Kind
	if t.Kind == Dot { // the name goes on
		return
	}
	c.beforeLastWord = c.lastWord
	c.lastWord = word
	c.lastTraits = traits
	c.lastToken = t
	c.schema = schema
}

// word classifies a name or key word.
func (c *effectClassifier) word(text string, kind Kind, word keyword, traits keywordTraits) {
	startsStatement := !c.begun || c.lastKind == OpenParen
	switch {
	case !c.begun:
		c.begun = true
		c.firstWord(text, kind, word, traits)
	case c.explain.inOptions:
		c.explainOption(text, kind, traits)
		startsStatement = startsStatement || !c.explain.inOptions
	}
	isFirstToken := c.lastToken.Kind == End
	if traits&writeTrait != 0 && c.lastWord != keywordAs && !c.explain.planOnly && !isFirstToken {
		c.report(Writes, text, reasonWrites)
	}
	c.lastIsCTE = false
	if word == keywordWith && startsStatement { // elsewhere it is WITH ORDINALITY, WITH TIES or the like
		c.ctes.add(c.depth)
		c.expectCTE.add(c.depth)
	} else {
		c.trackCTEs(word, traits)
	}
	if c.lastWord == keywordFor && !c.explain.planOnly {
		switch word {
		case keywordUpdate, keywordNo, keywordShare, keywordKey:
			c.report(Writes, "FOR "+strings.ToUpper(text), "it locks rows")
		}
	}
	if word == keywordOperator {
		c.report(Unknown, text, "an operator named by its schema")
	}
}

// trackCTEs notes the names of common table expressions, whose columns in parentheses are
// no call, and DISTINCT ON.
func (c *effectClassifier) trackCTEs(word keyword, traits keywordTraits) {
	switch {
	case word == keywordRecursive && c.lastWord == keywordWith:
	case c.expectCTE.has(c.depth):
		c.expectCTE.remove(c.depth)
		c.lastIsCTE = true
	case traits&(readTrait|writeTrait) != 0:
		c.ctes.remove(c.depth)
	case word == keywordOn && c.lastWord == keywordDistinct:
		c.hasDistinctOn = true
	}
}

// firstWord classifies the first word of the statement.
func (c *effectClassifier) firstWord(text string, kind Kind, word keyword, traits keywordTraits) {
	switch {
	case word == keywordExplain:
		c.explain = explainState{planOnly: true, inOptions: true}
	case traits&readTrait != 0:
	case traits&writeTrait != 0:
		c.report(Writes, text, reasonWrites)
	default:
		c.unknownCommand(text, kind)
	}
}

// unknownCommand classifies a first word that neither reads nor writes as a key word.
func (c *effectClassifier) unknownCommand(text string, kind Kind) {
	if kind == Ident {
		switch strings.ToUpper(text) {
		case "CREATE", "ALTER", "DROP", "TRUNCATE", "COMMENT", "GRANT", "REVOKE", "REINDEX", "CLUSTER", "VACUUM",
			"REFRESH", "IMPORT", "SECURITY", "REASSIGN", "COPY":
			c.report(Writes, text, reasonWrites)
			return
		case "DO", "CALL", "EXECUTE":
			c.report(Unknown, text, "what it runs can't be seen")
			return
		}
	}
	c.report(Unknown, text, "it begins no statement that is known to read")
}

// explainOption reads what stands between EXPLAIN and its statement. ANALYZE in any form
// runs the statement; whatever is not known as an option begins it.
func (c *effectClassifier) explainOption(text string, kind Kind, traits keywordTraits) {
	option := unquoteName(text)
	if strings.EqualFold(option, "analyze") || strings.EqualFold(option, "analyse") {
		c.explain.planOnly = false
		return
	}
	startsReading := traits&readTrait != 0
	if c.depth > 0 && !startsReading || strings.EqualFold(text, "verbose") {
		return
	}
	c.explain.inOptions = false
	switch {
	case startsReading || c.explain.planOnly:
	case traits&writeTrait != 0:
		c.report(Writes, text, "EXPLAIN ANALYZE runs it")
	default:
		c.unknownCommand(text, kind)
	}
}

// verdict is the effect at the end of the text.
func (c *effectClassifier) verdict(l *Lexer) EffectVerdict {
	if c.worst.Reason != "" {
		return c.worst
	}
	reason := ""
	switch {
	case !c.begun:
		reason = "no word begins it"
	case l.Defects&UnterminatedText != 0:
		reason = "a string, a name or a comment in it does not end"
	case l.Defects&BackslashQuote != 0:
		reason = "a backslash before a quote reads differently without standard_conforming_strings"
	case l.Defects&UnicodeEscape != 0:
		reason = "U& hides what it spells"
	case l.Defects&InvalidCharacter != 0:
		reason = "a character in it is of no statement"
	case l.Defects&NonASCII != 0 && !utf8.ValidString(l.Src):
		reason = "it is not UTF-8"
	default:
		return EffectVerdict{Effect: Reads, Reason: "all its words and functions read"}
	}
	return EffectVerdict{Effect: Unknown, Reason: reason}
}
