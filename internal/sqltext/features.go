package sqltext

// Values of Features.Command.
const (
	CommandOther   byte = 0
	CommandSelect  byte = 's'
	CommandInsert  byte = 'i'
	CommandUpdate  byte = 'u'
	CommandDelete  byte = 'd'
	CommandMerge   byte = 'm'
	CommandExplain byte = 'e'
)

// Features are the properties of a statement's text from which its cost is estimated. The
// numbers count occurrences in the whole statement, subqueries included.
type Features struct {
	Command    byte  // one of the Command constants; for a SELECT that contains a write, the write
	Tables     int32 // FROM and JOIN keywords
	Joins      int32 // JOIN keywords
	Aggregates int32 // calls of the aggregate functions that isAggregate knows
	Windows    int32 // OVER clauses
	Groups     int32 // GROUP BY clauses
	Sorts      int32 // ORDER BY clauses
	Distincts  int32 // DISTINCT keywords, except those of IS [NOT] DISTINCT FROM
	Selects    int32 // SELECT keywords, including those of subqueries and unions
	Rows       int32 // rows of VALUES
	Values     int32 // literals and parameters
	Where      bool  // the statement has a WHERE clause
	Limited    bool  // the statement has a LIMIT or FETCH FIRST clause
}

// setCommand sets the command unless another one was found before. A write replaces SELECT, so that
// a SELECT with a write in a common table expression counts as the write.
func (f *Features) setCommand(command byte) {
	if f.Command == CommandOther || f.Command == CommandSelect && command != CommandSelect {
		f.Command = command
	}
}

// countKeyword updates the features for a keyword.
func (p *pass) countKeyword(word keyword) {
	f := &p.out.Features
	switch word {
	case keywordSelect:
		f.Selects++
		f.setCommand(CommandSelect)
	case keywordInsert:
		f.setCommand(CommandInsert)
	case keywordUpdate:
		if p.last != keywordFor { // FOR UPDATE only locks rows
			f.setCommand(CommandUpdate)
		}
	case keywordDelete:
		f.setCommand(CommandDelete)
	case keywordMerge:
		f.setCommand(CommandMerge)
	case keywordExplain:
		f.setCommand(CommandExplain)
	case keywordFrom:
		f.Tables++
	case keywordJoin:
		f.Tables++
		f.Joins++
	case keywordGroup:
		if p.last != keywordWithin { // WITHIN GROUP belongs to an aggregate call
			f.Groups++
		}
	case keywordOrder:
		f.Sorts++
	case keywordDistinct:
		if p.last != keywordIs && p.last != keywordNot { // IS DISTINCT FROM compares
			f.Distincts++
		}
	case keywordOver:
		f.Windows++
	case keywordWhere:
		f.Where = true
	case keywordValues:
		p.beginRows()
	}
}

// maxAggregateLen is an upper bound on the length of the names that isAggregate knows, in
// bytes.
const maxAggregateLen = 12

// countAggregate counts a call of an aggregate function if the name is that of one and a
// parenthesis follows.
func (p *pass) countAggregate(name string) {
	src, at := p.lexer.Src, p.lexer.Pos
	if at >= len(src) || len(name) > maxAggregateLen {
		return
	}
	switch src[at] { // the next byte already rules out a call for most names
	case '(', ' ', '/', '\n', '\t', '\r':
		if !isAggregate(name) {
			return
		}
		next := p.lexer
		if next.Next().Kind == OpenParen {
			p.out.Features.Aggregates++
		}
	}
}

// isAggregate reports whether name is that of a common aggregate function.
func isAggregate(name string) bool {
	switch name[0] | caseBit {
	case 'c':
		return equalFold(name, "count")
	case 's':
		return equalFold(name, "sum") || equalFold(name, "string_agg") || equalFold(name, "stddev")
	case 'm':
		return equalFold(name, "max") || equalFold(name, "min")
	case 'a':
		return equalFold(name, "avg") || equalFold(name, "array_agg")
	case 'j':
		return equalFold(name, "json_agg") || equalFold(name, "jsonb_agg")
	case 'v':
		return equalFold(name, "variance")
	}
	return false
}
