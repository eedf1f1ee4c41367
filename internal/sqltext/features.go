package sqltext

// Commands of Features.
const (
	CommandOther   byte = 0
	CommandSelect  byte = 's'
	CommandInsert  byte = 'i'
	CommandUpdate  byte = 'u'
	CommandDelete  byte = 'd'
	CommandMerge   byte = 'm'
	CommandExplain byte = 'e'
)

// Features are what the words of a statement tell of its work.
type Features struct {
	Command    byte  // what it does; of a SELECT with a write within, the write
	Tables     int32 // names behind FROM and JOIN
	Joins      int32
	Aggregates int32 // calls of aggregate functions
	Windows    int32
	Groups     int32 // GROUP BY
	Sorts      int32 // ORDER BY
	Distincts  int32
	Selects    int32 // SELECT, those of subqueries and unions among them
	Rows       int32 // of VALUES
	Values     int32 // literals and parameters
	Where      bool
	Limited    bool
}

func (f *Features) setCommand(command byte) {
	if f.Command == CommandOther || f.Command == CommandSelect && command != CommandSelect {
		f.Command = command
	}
}

// countKeyword counts what a key word says of the statement's work.
func (p *pass) countKeyword(word keyword) {
	f := &p.out.Features
	switch word {
	case keywordSelect:
		f.Selects++
		f.setCommand(CommandSelect)
	case keywordInsert:
		f.setCommand(CommandInsert)
	case keywordUpdate:
		if p.last != keywordFor { // FOR UPDATE locks
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
		if p.last != keywordWithin { // WITHIN GROUP belongs to an aggregate
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

// maxAggregateLen is the length of the longest name that isAggregate knows, and somewhat
// more.
const maxAggregateLen = 12

// countAggregate counts the call of an aggregate function, where the name is one and a
// parenthesis follows.
func (p *pass) countAggregate(name string) {
	src, at := p.lexer.Src, p.lexer.Pos
	if at >= len(src) || len(name) > maxAggregateLen {
		return
	}
	switch src[at] { // what follows at once tells most names from calls
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

// isAggregate tells whether a function of this name reads many rows into one.
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
