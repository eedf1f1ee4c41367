package sqltext

// keywordTraits is a bit set of the properties of a keyword that this package uses.
type keywordTraits uint16

const (
	// reservedTrait: the word can't be the name of a function, so that a parenthesis after it
	// does not begin a call.
	reservedTrait keywordTraits = 1 << iota
	// typeTrait: the word is a built-in type or a built-in construct written with parentheses,
	// so that it can't be the name of a function either.
	typeTrait
	// infixTrait: the word is used between two values. After a complete value it does not begin
	// a call.
	infixTrait
	// writeTrait: the word marks a command or clause that changes stored data.
	writeTrait
	// beforeTableTrait: the word is followed by the name of a table.
	beforeTableTrait
	// readTrait: the word begins a statement that may only read.
	readTrait
)

// keyword identifies a keyword; keywordNone stands for all other words. Some keywords have a number
// although no code refers to it by name, because in the normal form a word with a number is
// separated from a parenthesis after it by a space.
type keyword uint8

const (
	keywordNone keyword = iota
	keywordAll
	keywordAnalyze
	keywordAnd
	keywordAny
	keywordArray
	keywordAs
	keywordBetween
	keywordBy
	keywordDelete
	keywordExplain
	keywordFilter
	keywordFor
	keywordFrom
	keywordGroup
	keywordHaving
	keywordIlike
	keywordIn
	keywordInsert
	keywordInto
	keywordIs
	keywordJoin
	keywordKey
	keywordLike
	keywordLimit
	keywordMaterialized
	keywordMerge
	keywordNo
	keywordNot
	keywordNull
	keywordOffset
	keywordOn
	keywordOperator
	keywordOr
	keywordOrder
	keywordOver
	keywordPartition
	keywordRecursive
	keywordSelect
	keywordSet
	keywordSets
	keywordShare
	keywordSome
	keywordTable
	keywordUpdate
	keywordUsing
	keywordValues
	keywordWhere
	keywordWith
	keywordWithin
	keywordGrouping
	keywordUnion
	keywordDistinct
	keywordNullif
	keywordSimilar
	keywordSymmetric
	keywordNatural
	keywordFetch
	keywordFirst
	keywordNext
	keywordTrue
	keywordFalse
	keywordInterval
	keywordCoalesce
)

// keywordEntry is a keyword in lowercase with its number and traits.
type keywordEntry struct {
	text   string
	number keyword
	traits keywordTraits
}

// keywordList lists the keywords (appendix C of the manual). Words that are not reserved are
// listed only if this package treats them specially.
var keywordList = []keywordEntry{
	{"all", keywordAll, reservedTrait},
	{"analyse", keywordAnalyze, reservedTrait},
	{"analyze", keywordAnalyze, reservedTrait},
	{"and", keywordAnd, reservedTrait},
	{"any", keywordAny, reservedTrait},
	{"array", keywordArray, reservedTrait},
	{"as", keywordAs, reservedTrait},
	{"asc", keywordNone, reservedTrait},
	{"asymmetric", keywordNone, reservedTrait},
	{"both", keywordNone, reservedTrait},
	{"case", keywordNone, reservedTrait},
	{"cast", keywordNone, reservedTrait},
	{"check", keywordNone, reservedTrait},
	{"collate", keywordNone, reservedTrait},
	{"column", keywordNone, reservedTrait},
	{"constraint", keywordNone, reservedTrait},
	{"create", keywordNone, reservedTrait},
	{"default", keywordNone, reservedTrait},
	{"deferrable", keywordNone, reservedTrait},
	{"desc", keywordNone, reservedTrait},
	{"distinct", keywordDistinct, reservedTrait},
	{"do", keywordNone, reservedTrait},
	{"else", keywordNone, reservedTrait},
	{"end", keywordNone, reservedTrait},
	{"except", keywordNone, reservedTrait},
	{"false", keywordFalse, reservedTrait},
	{"fetch", keywordFetch, reservedTrait},
	{"for", keywordFor, reservedTrait},
	{"foreign", keywordNone, reservedTrait},
	{"from", keywordFrom, reservedTrait | beforeTableTrait},
	{"grant", keywordNone, reservedTrait},
	{"group", keywordGroup, reservedTrait},
	{"having", keywordHaving, reservedTrait},
	{"in", keywordIn, reservedTrait},
	{"initially", keywordNone, reservedTrait},
	{"intersect", keywordNone, reservedTrait},
	{"into", keywordInto, reservedTrait | beforeTableTrait | writeTrait},
	{"lateral", keywordNone, reservedTrait},
	{"leading", keywordNone, reservedTrait},
	{"limit", keywordLimit, reservedTrait},
	{"not", keywordNot, reservedTrait},
	{"null", keywordNull, reservedTrait},
	{"offset", keywordOffset, reservedTrait},
	{"on", keywordOn, reservedTrait},
	{"only", keywordNone, reservedTrait | beforeTableTrait},
	{"or", keywordOr, reservedTrait},
	{"order", keywordOrder, reservedTrait},
	{"placing", keywordNone, reservedTrait},
	{"primary", keywordNone, reservedTrait},
	{"references", keywordNone, reservedTrait},
	{"returning", keywordNone, reservedTrait},
	{"select", keywordSelect, reservedTrait | readTrait},
	{"some", keywordSome, reservedTrait},
	{"symmetric", keywordSymmetric, reservedTrait},
	{"table", keywordTable, reservedTrait | beforeTableTrait | readTrait},
	{"then", keywordNone, reservedTrait},
	{"to", keywordNone, reservedTrait},
	{"trailing", keywordNone, reservedTrait},
	{"true", keywordTrue, reservedTrait},
	{"union", keywordUnion, reservedTrait},
	{"unique", keywordNone, reservedTrait},
	{"using", keywordUsing, reservedTrait},
	{"variadic", keywordNone, reservedTrait},
	{"when", keywordNone, reservedTrait},
	{"where", keywordWhere, reservedTrait},
	{"window", keywordNone, reservedTrait},
	{"with", keywordWith, reservedTrait | readTrait},
	{"current_catalog", keywordNone, reservedTrait},
	{"current_date", keywordNone, reservedTrait},
	{"current_role", keywordNone, reservedTrait},
	{"current_time", keywordNone, reservedTrait},
	{"current_timestamp", keywordNone, reservedTrait},
	{"current_user", keywordNone, reservedTrait},
	{"localtime", keywordNone, reservedTrait},
	{"localtimestamp", keywordNone, reservedTrait},
	{"session_user", keywordNone, reservedTrait},
	{"user", keywordNone, reservedTrait},

	{"between", keywordBetween, typeTrait},
	{"bigint", keywordNone, typeTrait},
	{"bit", keywordNone, typeTrait},
	{"boolean", keywordNone, typeTrait},
	{"char", keywordNone, typeTrait},
	{"character", keywordNone, typeTrait},
	{"coalesce", keywordCoalesce, typeTrait},
	{"dec", keywordNone, typeTrait},
	{"decimal", keywordNone, typeTrait},
	{"exists", keywordNone, typeTrait},
	{"extract", keywordNone, typeTrait},
	{"float", keywordNone, typeTrait},
	{"greatest", keywordNone, typeTrait},
	{"grouping", keywordGrouping, typeTrait},
	{"int", keywordNone, typeTrait},
	{"integer", keywordNone, typeTrait},
	{"interval", keywordInterval, typeTrait},
	{"least", keywordNone, typeTrait},
	{"national", keywordNone, typeTrait},
	{"nchar", keywordNone, typeTrait},
	{"none", keywordNone, typeTrait},
	{"normalize", keywordNone, typeTrait},
	{"nullif", keywordNullif, typeTrait},
	{"numeric", keywordNone, typeTrait},
	{"overlay", keywordNone, typeTrait},
	{"position", keywordNone, typeTrait},
	{"precision", keywordNone, typeTrait},
	{"real", keywordNone, typeTrait},
	{"row", keywordNone, typeTrait},
	{"smallint", keywordNone, typeTrait},
	{"substring", keywordNone, typeTrait},
	{"time", keywordNone, typeTrait},
	{"timestamp", keywordNone, typeTrait},
	{"treat", keywordNone, typeTrait},
	{"trim", keywordNone, typeTrait},
	{"values", keywordValues, typeTrait | readTrait},
	{"varchar", keywordNone, typeTrait},

	{"filter", keywordFilter, infixTrait},
	{"ilike", keywordIlike, infixTrait},
	{"is", keywordIs, infixTrait},
	{"join", keywordJoin, infixTrait | beforeTableTrait},
	{"like", keywordLike, infixTrait},
	{"over", keywordOver, infixTrait},
	{"overlaps", keywordNone, infixTrait},
	{"similar", keywordSimilar, infixTrait},

	{"delete", keywordDelete, writeTrait},
	{"insert", keywordInsert, writeTrait},
	{"merge", keywordMerge, writeTrait},
	{"update", keywordUpdate, writeTrait | beforeTableTrait},
	{"alter", keywordNone, 0},
	{"call", keywordNone, 0},
	{"drop", keywordNone, 0},
	{"truncate", keywordNone, 0},
	{"by", keywordBy, 0},
	{"explain", keywordExplain, readTrait},
	{"first", keywordFirst, 0},
	{"key", keywordKey, 0},
	{"materialized", keywordMaterialized, 0},
	{"natural", keywordNatural, 0},
	{"next", keywordNext, 0},
	{"no", keywordNo, 0},
	{"operator", keywordOperator, 0},
	{"partition", keywordPartition, 0},
	{"recursive", keywordRecursive, 0},
	{"set", keywordSet, 0},
	{"sets", keywordSets, 0},
	{"share", keywordShare, 0},
	{"show", keywordNone, readTrait},
	{"within", keywordWithin, 0},
}

// keywordIndexSize is a power of two well above the number of keywords, so that searches are
// short.
const keywordIndexSize = 1024

// keywordIndex maps nameHash of a keyword to its entry. It is a hash table with open addressing:
// an empty entry ends a search.
var keywordIndex = func() (t [keywordIndexSize]keywordEntry) {
	for _, e := range keywordList {
		for i := nameHash(e.text, 0, len(e.text)); ; i++ {
			if p := &t[i%keywordIndexSize]; p.text == "" {
				*p = e
				break
			}
		}
	}
	return t
}()

// maxKeywordLen is the length of the longest keyword, in bytes.
const maxKeywordLen = 17

// lookupKeyword returns the traits and the number of a name that is a keyword, packed for
// tokenInfo, or 0. info holds the hash of the name and whether it has uppercase letters.
func lookupKeyword(name string, info tokenInfo) tokenInfo {
	for i := uint32(info); ; i++ {
		e := &keywordIndex[i%keywordIndexSize]
		if len(e.text) == 0 {
			return 0
		}
		if len(e.text) == len(name) && (name == e.text || info.hasUppercase() && sameFold(name, e.text)) {
			return tokenInfo(e.traits)<<traitsShift | tokenInfo(e.number)<<keywordShift
		}
	}
}
