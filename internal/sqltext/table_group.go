package sqltext

import "strings"

// ungroupedSchema is the schema whose number, if it has one, names no group.
const ungroupedSchema = "staging"

// maxGroupDigits bounds the number of a group, which has 63 bits.
const maxGroupDigits = 17

// TableGroup is the number behind the underscore in the name of the statement's schema: 17
// in sales_17.orders. Names in strings and comments don't count. A name where a table stands
// (after FROM and the like) goes before others, which may be a column of an alias.
func TableGroup(stmt string) (group int64, ok bool) {
	l := Lexer{Src: stmt}
	var finder tableGroupFinder
	for t := l.Next(); t.Kind != End && !finder.final; t = l.Next() {
		finder.token(&l, t)
	}
	return finder.group, finder.found
}

// tableGroupFinder finds the table group in a run of tokens.
type tableGroupFinder struct {
	group       int64
	found       bool
	final       bool // the group stood where a table does: nothing later can change it
	expectTable bool // a table's name stands here
	name        Token
	lastKind    Kind
}

// token takes the next token.
func (f *tableGroupFinder) token(l *Lexer, t Token) {
	if f.final {
		return
	}
	switch t.Kind {
	case Ident, QuotedIdent:
		if f.lastKind != Dot && t.traits()&beforeTableTrait != 0 {
			f.expectTable = true
			f.lastKind = Operator // anything that a dot can't follow
			return
		}
		f.name = t // of a.b.c the last but one is the schema's
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

// schema takes a name that a dot follows.
func (f *tableGroupFinder) schema(name string) {
	group, ok := schemaGroup(name)
	if ok && (f.expectTable || !f.found) {
		f.group = group
		f.found = true
		f.final = f.expectTable
	}
}

// schemaGroup reads the number of a schema's name.
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

// unquoteName takes the quotes off a name.
func unquoteName(name string) string {
	if len(name) >= 2 && name[0] == '"' {
		return strings.TrimSuffix(name[1:], `"`)
	}
	return name
}
