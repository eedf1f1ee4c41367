package sqltext

// Kind is the kind of a token.
type Kind uint8

// Kinds of token.
const (
	End          Kind = iota // the text is finished
	Ident                    // a key word or a name without quotes
	QuotedIdent              // a name in double quotes
	String                   // '..', E'..', U&'..', N'..', with its continuations
	BitString                // B'..', X'..'
	DollarString             // $tag$..$tag$
	Number                   // 1, 1_000, 0x1F, 1.5e-3
	Param                    // $1
	Operator                 // a run of operator characters
	Dot                      // .
	Comma                    // ,
	OpenParen                // (
	CloseParen               // )
	OpenBracket              // [
	CloseBracket             // ]
	Cast                     // ::
	Colon                    // : alone, or :=
	Semicolon                // ;
	Invalid                  // a character that no rule accepts, or a lone $

	kindCount
)

// Token is one token: its kind and its place in the text, as byte offsets. The compiler
// keeps a struct of four fields in registers; with a fifth, copying tokens took half the
// time of reading a statement.
type Token struct {
	Start, End int
	Kind       Kind
	info       tokenInfo
}

// tokenInfo is what the lexer finds out about an Ident on its way, packed into one word:
// the hash of the name (32 bits), then its traits (16) and number (8) as a key word, and
// whether it has capitals.
type tokenInfo uint64

const (
	traitsShift   = 32
	keywordShift  = 48
	capitalsShift = 56
)

func (i tokenInfo) hasCapitals() bool { return i>>capitalsShift != 0 }

// nameHash is the hash of an Ident without regard to case.
func (t Token) nameHash() uint32 { return uint32(t.info) }

func (t Token) traits() keywordTraits { return keywordTraits(t.info >> traitsShift) }
func (t Token) keyword() keyword      { return keyword(t.info >> keywordShift) }
func (t Token) hasCapitals() bool     { return t.info.hasCapitals() }

// isName tells whether the token is a name, with quotes or without, or a key word.
func (k Kind) isName() bool { return k == Ident || k == QuotedIdent }
