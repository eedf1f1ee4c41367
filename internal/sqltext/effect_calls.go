package sqltext

import "strings"

// openParen classifies an opening parenthesis: after a name that is not a keyword it begins a
// call.
func (c *effectClassifier) openParen(l *Lexer) {
	if !c.sawFirstWord || c.explain.inOptions || c.explain.planOnly {
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
	hasUppercase := false
	if c.lastToken.Kind == QuotedIdent {
		name = unquoteName(name)
		hasUppercase = name != strings.ToLower(name)
	}
	if qualified {
		schema := unquoteName(l.Text(c.schema))
		if !equalFold(schema, "pg_catalog") {
			c.unlistedCall(schema + "." + name)
			return
		}
	}
	switch {
	case hasUppercase: // the sets hold lowercase names only
		c.report(Unknown, name, reasonUnknownFunction)
	case !readOnlyFunctions.has(name):
		c.unlistedCall(name)
	}
}

// unlistedCall classifies a call of a function that is not in readOnlyFunctions. The name is
// qualified by its schema unless that is pg_catalog.
func (c *effectClassifier) unlistedCall(name string) {
	if !c.readOnly.has(name) {
		c.report(Unknown, name, reasonUnknownFunction)
	}
}

// isAliasColumns reports whether the parenthesis after a name begins the column list of an
// alias.
func (c *effectClassifier) isAliasColumns() bool {
	if c.beforeLastWord == keywordAs {
		return true
	}
	isKeyword := c.lastTraits&(reservedTrait|infixTrait) != 0
	return c.beforeLastKind == CloseParen && !c.hasDistinctOn && !isKeyword
}

// isKeywordParen reports whether the parenthesis belongs to a keyword or begins the column
// list of a common table expression.
func (c *effectClassifier) isKeywordParen() bool {
	if c.lastToken.Kind != Ident {
		return false
	}
	switch {
	case c.lastTraits&(reservedTrait|typeTrait) != 0, c.lastIsCTE:
		return true
	case c.lastWord == keywordOver || c.lastWord == keywordFilter:
		return c.beforeLastKind == CloseParen // the clause belongs to the call that has just ended
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

// valueIsComplete reports whether a value ends before the last token, an infix keyword. If so,
// the keyword is an operator and not the name of a function.
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
