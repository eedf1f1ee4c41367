package sqltext

import (
	"strings"
	"unicode/utf8"
)

// Effect says whether a statement may change stored data.
type Effect uint8

// Effects of a statement. The zero value is the most cautious: a statement whose effect is
// unknown may write.
const (
	Unknown Effect = iota // the statement may write
	Writes                // the statement writes, judging by its keywords
	Reads                 // every part of the statement is known to only read
)

var effectNames = [...]string{"can't be told", "writes", "reads"}

// String returns the effect in words for operators.
func (e Effect) String() string { return effectNames[e] }

// EffectVerdict is a statement's effect with the word of the statement that decided it.
type EffectVerdict struct {
	Effect Effect
	Reason string // short explanation for operators
	Word   string // the deciding word as written in the statement; "" if no single word decided
}

// String returns the deciding word, if there is one, and the reason.
func (v EffectVerdict) String() string {
	if v.Word == "" {
		return v.Reason
	}
	return v.Word + ": " + v.Reason
}

// Reasons that are used in more than one place. They are shown to operators.
const (
	reasonWrites          = "it writes"
	reasonUnknownFunction = "a function not known to read only"
)

// EffectOf classifies the effect of a statement conservatively: the result is Reads only if
// its first word begins a reading statement, no word writes or locks, and all functions and
// operators that it names are known to only read. readOnly names further functions that the
// administrator has declared to be read-only.
//
// Writes that the text does not show are not detected: a view or an operator whose function
// writes, a cast with a user-defined function, and a column that is a function call (t.f).
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

// effectClassifier determines the effect of a statement from its tokens, taken in order.
type effectClassifier struct {
	readOnly FunctionSet
	worst    EffectVerdict // first finding that is not Reads; Writes takes precedence over Unknown

	sawFirstWord bool // the first word has been read
	explain      explainState
	depth        int // nesting depth of parentheses

	lastWord, beforeLastWord keyword // the last two tokens other than dots, if they are keywords
	lastKind, beforeLastKind Kind    // kinds of the last two tokens
	lastToken                Token   // the last token other than a dot
	lastTraits               keywordTraits
	schema                   Token // schema that qualifies lastToken; Kind End: none
	hasDistinctOn            bool  // the statement has DISTINCT ON: a call may follow a closing parenthesis

	ctes      depthSet // depths at which a list of common table expressions (CTEs) is being read
	expectCTE depthSet // depths at which the next name is the name of a CTE
	lastIsCTE bool     // the last name is the name of a CTE
}

// explainState is the state of a statement that begins with EXPLAIN.
type explainState struct {
	planOnly  bool // no ANALYZE option has been seen: the statement is planned, not executed
	inOptions bool // the current token is between EXPLAIN and the explained statement
}

// depthSet is a bit set of nesting depths of parentheses. Lists of CTEs nested deeper than
// maxSetDepth are not recognized: their column lists are taken for calls.
type depthSet uint64

const maxSetDepth = 63

// depthBit returns the set of one depth, or the empty set if the depth is out of range.
func depthBit(depth int) depthSet {
	if depth < 0 || depth > maxSetDepth {
		return 0
	}
	return 1 << depth
}

func (s depthSet) has(depth int) bool { return s&depthBit(depth) != 0 }
func (s *depthSet) add(depth int)     { *s |= depthBit(depth) }
func (s *depthSet) remove(depth int)  { *s &^= depthBit(depth) }

// report records a finding. The first one is kept, but Writes replaces Unknown.
func (c *effectClassifier) report(effect Effect, word, reason string) {
	if c.worst.Reason == "" || effect == Writes && c.worst.Effect == Unknown {
		c.worst = EffectVerdict{Effect: effect, Reason: reason, Word: word}
	}
}

// final reports whether no later token can change the verdict.
func (c *effectClassifier) final() bool { return c.worst.Reason != "" && c.worst.Effect == Writes }

// token processes the next token.
func (c *effectClassifier) token(l *Lexer, t Token) {
	word, traits := t.keyword(), t.traits()
	schema := Token{}
	switch t.Kind {
	case Ident, QuotedIdent:
		if c.lastKind == Dot { // part of a qualified name, not a keyword
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
	if t.Kind == Dot { // the qualified name continues
		return
	}
	c.beforeLastWord = c.lastWord
	c.lastWord = word
	c.lastTraits = traits
	c.lastToken = t
	c.schema = schema
}

// word classifies a name or keyword.
func (c *effectClassifier) word(text string, kind Kind, word keyword, traits keywordTraits) {
	startsStatement := !c.sawFirstWord || c.lastKind == OpenParen
	switch {
	case !c.sawFirstWord:
		c.sawFirstWord = true
		c.firstWord(text, kind, word, traits)
	case c.explain.inOptions:
		c.explainOption(text, kind, traits)
		startsStatement = startsStatement || !c.explain.inOptions
	}
	isFirstToken := c.lastToken.Kind == End
	// The first word was classified above, and a name after AS is an alias.
	if traits&writeTrait != 0 && c.lastWord != keywordAs && !c.explain.planOnly && !isFirstToken {
		c.report(Writes, text, reasonWrites)
	}
	c.lastIsCTE = false
	if word == keywordWith && startsStatement { // elsewhere WITH belongs to WITH ORDINALITY, WITH TIES or the like
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

// trackCTEs recognizes the names of common table expressions, whose column lists in
// parentheses are not calls, and DISTINCT ON.
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

// unknownCommand classifies a word that begins a statement, also after EXPLAIN ANALYZE, and has
// neither readTrait nor writeTrait.
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

// explainOption processes a word between EXPLAIN and the explained statement. ANALYZE in any
// spelling executes the statement; a word that is not a known option begins the statement.
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

// verdict returns the effect once the whole text has been read.
func (c *effectClassifier) verdict(l *Lexer) EffectVerdict {
	if c.worst.Reason != "" {
		return c.worst
	}
	reason := ""
	switch {
	case !c.sawFirstWord:
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
