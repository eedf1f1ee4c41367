package sqltext

import "strings"

// openParen classifies a parenthesis: behind a name that is no key word it begins a call.
func (c *effectClassifier) openParen(l *Lexer) {
	if !c.begun || c.explain.inOptions || c.explain.planOnly {
		return
	}
	if !c.lastToken.Kind.isName() || c.lastKind == Dot {
		return
	}
	qualified := c.schema.Kind != End
	if !qualified && (c.isAliasColumns() || c.isKeywordParen()) {
		return
	}
	name := l.Text(c.lastToken)
	keepsCapitals := false
	if c.lastToken.Kind == QuotedIdent {
		name = unquoteName(name)
		keepsCapitals = name != strings.ToLower(name)
	}
	if qualified {
		schema := unquoteName(l.Text(c.schema))
		if !equalFold(schema, "pg_catalog") {
			c.customCall(schema + "." + name)
			return
		}
	}
	switch {
	case keepsCapitals: // the sets hold names in small letters only
		c.report(Unknown, name, reasonUnknownFunction)
	case !readOnlyFunctions.has(name):
		c.customCall(name)
	}
}

// customCall classifies the call of a function that is none of PostgreSQL's own.
func (c *effectClassifier) customCall(name string) {
	if !c.readOnly.has(name) {
		c.report(Unknown, name, reasonUnknownFunction)
	}
}

// isAliasColumns tells whether the parenthesis behind a name holds the columns of an alias.
func (c *effectClassifier) isAliasColumns() bool {
	if c.beforeLastWord == keywordAs {
		return true
	}
	isKeyword := c.lastTraits&(reservedTrait|infixTrait) != 0
	return c.beforeLastKind == CloseParen && !c.hasDistinctOn && !isKeyword
}

// isKeywordParen tells whether the parenthesis belongs to a key word, or holds the columns
// of a common table expression.
func (c *effectClassifier) isKeywordParen() bool {
	if c.lastToken.Kind != Ident {
		return false
	}
	switch {
	case c.lastTraits&(reservedTrait|typeTrait) != 0, c.lastIsCTE:
		return true
	case c.lastWord == keywordOver || c.lastWord == keywordFilter:
		return c.beforeLastKind == CloseParen // a call is finished, and this belongs to it
	case c.lastTraits&infixTrait != 0:
		return c.valueIsComplete()
	case c.lastWord == keywordBy:
		return c.beforeLastWord == keywordOrder || c.beforeLastWord == keywordGroup || c.beforeLastWord == keywordPartition
	case c.lastWord == keywordSets:
		return c.beforeLastWord == keywordGrouping
	case c.lastWord == keywordFirst || c.lastWord == keywordNext:
		return c.beforeLastWord == keywordFetch
	case c.lastWord == keywordMaterialized:
		return c.beforeLastWord == keywordAs || c.beforeLastWord == keywordNot
	}
	return false
}

// valueIsComplete tells whether a value ends before the last token, an infix word, which
// then is no function's name.
func (c *effectClassifier) valueIsComplete() bool {
	switch c.beforeLastKind {
	case CloseParen, QuotedIdent, String, Number, Param, CloseBracket:
		return true
	case Ident:
		if c.beforeLastWord == keywordNone {
			return true
		}
	}
	switch c.beforeLastWord {
	case keywordNot, keywordNatural, keywordNull, keywordTrue, keywordFalse:
		return true
	}
	return false
}
