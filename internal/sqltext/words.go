package sqltext

// use is what a key word means to the readers of this package, as bits.
type use uint16

const (
	// reserved words are no function's name: a parenthesis behind one is no call.
	reserved use = 1 << iota
	// typeName words are types or forms of PostgreSQL's own with a parenthesis
	// behind them, which no function's name can be either.
	typeName
	// infix words stand between two values. Behind one that is over they are no call.
	infix
	// writes: the word begins or holds something that changes what is stored.
	writes
	// beforeTable: a table's name follows.
	beforeTable
	// reader words begin a statement that may be a reading one.
	reader
)

// word is a key word's number; 0: none. A word has one also where no reader asks for it
// by name, as the normal form sets a space behind any that has.
type word uint8

const (
	wNone word = iota
	wAll
	wAnalyze
	wAnd
	wAny
	wArray
	wAs
	wBetween
	wBy
	wDelete
	wExplain
	wFilter
	wFor
	wFrom
	wGroup
	wHaving
	wIlike
	wIn
	wInsert
	wInto
	wIs
	wJoin
	wKey
	wLike
	wLimit
	wMaterialized
	wMerge
	wNo
	wNot
	wNull
	wOffset
	wOn
	wOperator
	wOr
	wOrder
	wOver
	wPartition
	wRecursive
	wSelect
	wSet
	wSets
	wShare
	wSome
	wTable
	wUpdate
	wUsing
	wValues
	wWhere
	wWith
	wWithin
	wGrouping
	wUnion
	wDistinct
	wNullif
	wSimilar
	wSymmetric
	wNatural
	wFetch
	wFirst
	wNext
	wTrue
	wFalse
	wInterval
	wCoalesce
)

type entry struct {
	text string
	word word
	use  use
}

// lexicon lists the key words (appendix C of the manual). Words that are no reserved
// ones stand here only with the use that the readers make of them.
var lexicon = []entry{
	{"all", wAll, reserved}, {"analyse", wAnalyze, reserved}, {"analyze", wAnalyze, reserved}, {"and", wAnd, reserved},
	{"any", wAny, reserved}, {"array", wArray, reserved}, {"as", wAs, reserved}, {"asc", 0, reserved},
	{"asymmetric", 0, reserved}, {"both", 0, reserved}, {"case", 0, reserved}, {"cast", 0, reserved},
	{"check", 0, reserved}, {"collate", 0, reserved}, {"column", 0, reserved}, {"constraint", 0, reserved},
	{"create", 0, reserved}, {"default", 0, reserved}, {"deferrable", 0, reserved}, {"desc", 0, reserved},
	{"distinct", wDistinct, reserved}, {"do", 0, reserved}, {"else", 0, reserved}, {"end", 0, reserved},
	{"except", 0, reserved}, {"false", wFalse, reserved}, {"fetch", wFetch, reserved}, {"for", wFor, reserved},
	{"foreign", 0, reserved}, {"from", wFrom, reserved | beforeTable}, {"grant", 0, reserved}, {"group", wGroup, reserved},
	{"having", wHaving, reserved}, {"in", wIn, reserved}, {"initially", 0, reserved}, {"intersect", 0, reserved},
	{"into", wInto, reserved | beforeTable | writes}, {"lateral", 0, reserved}, {"leading", 0, reserved},
	{"limit", wLimit, reserved}, {"not", wNot, reserved}, {"null", wNull, reserved}, {"offset", wOffset, reserved},
	{"on", wOn, reserved}, {"only", 0, reserved | beforeTable}, {"or", wOr, reserved}, {"order", wOrder, reserved},
	{"placing", 0, reserved}, {"primary", 0, reserved}, {"references", 0, reserved}, {"returning", 0, reserved},
	{"select", wSelect, reserved | reader}, {"some", wSome, reserved}, {"symmetric", wSymmetric, reserved},
	{"table", wTable, reserved | beforeTable | reader}, {"then", 0, reserved}, {"to", 0, reserved}, {"trailing", 0, reserved},
	{"true", wTrue, reserved}, {"union", wUnion, reserved}, {"unique", 0, reserved}, {"using", wUsing, reserved},
	{"variadic", 0, reserved}, {"when", 0, reserved}, {"where", wWhere, reserved}, {"window", 0, reserved},
	{"with", wWith, reserved | reader},
	{"current_catalog", 0, reserved}, {"current_date", 0, reserved}, {"current_role", 0, reserved},
	{"current_time", 0, reserved}, {"current_timestamp", 0, reserved}, {"current_user", 0, reserved},
	{"localtime", 0, reserved}, {"localtimestamp", 0, reserved}, {"session_user", 0, reserved}, {"user", 0, reserved},

	{"between", wBetween, typeName}, {"bigint", 0, typeName}, {"bit", 0, typeName}, {"boolean", 0, typeName},
	{"char", 0, typeName}, {"character", 0, typeName}, {"coalesce", wCoalesce, typeName}, {"dec", 0, typeName},
	{"decimal", 0, typeName}, {"exists", 0, typeName}, {"extract", 0, typeName}, {"float", 0, typeName},
	{"greatest", 0, typeName}, {"grouping", wGrouping, typeName}, {"int", 0, typeName}, {"integer", 0, typeName},
	{"interval", wInterval, typeName}, {"least", 0, typeName}, {"national", 0, typeName}, {"nchar", 0, typeName},
	{"none", 0, typeName}, {"normalize", 0, typeName}, {"nullif", wNullif, typeName}, {"numeric", 0, typeName},
	{"overlay", 0, typeName}, {"position", 0, typeName}, {"precision", 0, typeName}, {"real", 0, typeName},
	{"row", 0, typeName}, {"smallint", 0, typeName}, {"substring", 0, typeName}, {"time", 0, typeName},
	{"timestamp", 0, typeName}, {"treat", 0, typeName}, {"trim", 0, typeName}, {"values", wValues, typeName | reader},
	{"varchar", 0, typeName},

	{"filter", wFilter, infix}, {"ilike", wIlike, infix}, {"is", wIs, infix}, {"join", wJoin, infix | beforeTable},
	{"like", wLike, infix}, {"over", wOver, infix}, {"overlaps", 0, infix}, {"similar", wSimilar, infix},

	{"delete", wDelete, writes}, {"insert", wInsert, writes}, {"merge", wMerge, writes}, {"update", wUpdate, writes | beforeTable},
	{"alter", 0, 0}, {"call", 0, 0}, {"drop", 0, 0}, {"truncate", 0, 0},
	{"by", wBy, 0}, {"explain", wExplain, reader}, {"first", wFirst, 0}, {"key", wKey, 0}, {"materialized", wMaterialized, 0},
	{"natural", wNatural, 0}, {"next", wNext, 0}, {"no", wNo, 0}, {"operator", wOperator, 0}, {"partition", wPartition, 0},
	{"recursive", wRecursive, 0}, {"set", wSet, 0}, {"sets", wSets, 0}, {"share", wShare, 0}, {"show", 0, reader},
	{"within", wWithin, 0},
}

// tableSize is a power of two well above the number of key words.
const tableSize = 1024

// words finds key words by the hash that the lexer makes while it reads a name.
var words = func() (t [tableSize]entry) {
	for _, e := range lexicon {
		for i := nameHash(e.text, 0, len(e.text)); ; i++ {
			if p := &t[i%tableSize]; p.text == "" {
				*p = e
				break
			}
		}
	}
	return t
}()

// longestWord is the length of the longest key word.
const longestWord = 17

// lookup finds a name among the key words, and gives its use and number.
func lookup(name string, what info) info {
	for i := uint32(what); ; i++ {
		e := &words[i%tableSize]
		if len(e.text) == 0 {
			return 0
		}
		if len(e.text) == len(name) && (name == e.text || what>>56 != 0 && same(name, e.text)) {
			return info(e.use)<<32 | info(e.word)<<48
		}
	}
}

// equal is same for texts whose lengths may differ.
func equal(s, small string) bool { return len(s) == len(small) && same(s, small) }

// same compares a text without regard to case with one in small letters.
func same(s, small string) bool {
	for i := range len(small) {
		if folded[s[i]] != small[i] {
			return false
		}
	}
	return true
}
