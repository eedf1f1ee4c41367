package sqltext

import "strings"

// ungroupedSchema is the prefix of the schemas whose number is not that of a table group.
const ungroupedSchema = "staging"

// maxGroupDigits is the maximum number of digits of a group's number, which must fit in 63 bits.
const maxGroupDigits = 17

// TableGroup returns the number of the table group that a statement uses: the number after the
// last underscore in the name of its schema, such as 17 for sales_17.orders. Names in strings and comments are ignored. A name in the position of a
// table (after FROM and similar keywords) takes precedence over others, which may be columns
// qualified by an alias.
func TableGroup(stmt string) (group int64, ok bool) {
	l := Lexer{Src: stmt}
	var finder tableGroupFinder
	for t := l.Next(); t.Kind != End && !finder.final; t = l.Next() {
		finder.token(&l, t)
	}
	return finder.group, finder.found
}

// tableGroupFinder finds the table group in a sequence of tokens.
type tableGroupFinder struct {
	group       int64
	found       bool  // group is valid
	final       bool  // the group was found in the position of a table: no later name replaces it
	expectTable bool  // the current position is that of a table
	name        Token // the last name
	lastKind    Kind  // kind of the last token
}

// token processes the next token.
func (f *tableGroupFinder) token(l *Lexer, t Token) {
	if f.final {
		return
	}
	switch t.Kind {
	case Ident, QuotedIdent:
		if f.lastKind != Dot && t.traits()&beforeTableTrait != 0 {
			f.expectTable = true
			f.lastKind = Operator // any kind that is not a name: a dot after a keyword is ignored
			return
		}
		f.name = t // in a.b.c the name before the last dot is the schema
	case Dot:
		if f.lastKind.isName() {
			f.schema(unquoteName(l.Text(f.name)))
		}
	case OpenParen:
	default:
		f.expectTable = false
	}
	f.lastKind = t.Kind
}

// schema processes a name that is followed by a dot.
func (f *tableGroupFinder) schema(name string) {
	group, ok := schemaGroup(name)
	if ok && (f.expectTable || !f.found) {
		f.group = group
		f.found = true
		f.final = f.expectTable
	}
}

// schemaGroup returns the table group in the name of a schema.
func schemaGroup(name string) (group int64, ok bool) {
	underscore := strings.LastIndexByte(name, '_')
	if underscore < 1 {
		return 0, false
	}
	digits := name[underscore+1:]
	if digits == "" || len(digits) > maxGroupDigits || strings.EqualFold(name[:underscore], ungroupedSchema) {
		return 0, false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return 0, false
		}
		group = group*10 + int64(c-'0')
	}
	return group, true
}

// unquoteName returns a name without its quotes. Doubled quotes stay doubled.
func unquoteName(name string) string {
	if len(name) >= 2 && name[0] == '"' {
		return strings.TrimSuffix(name[1:], `"`)
	}
	return name
}
