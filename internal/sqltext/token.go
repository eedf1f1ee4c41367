package sqltext

// Kind is the kind of a token.
type Kind uint8

// Kinds of token.
const (
	End          Kind = iota // end of the text
	Ident                    // a keyword or an unquoted name
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
	Colon                    // : or :=
	Semicolon                // ;
	Invalid                  // a character that no rule accepts, or a $ that begins no token

	kindCount
)

// Token is a token's kind and its position in the text, as byte offsets. The compiler keeps a
// struct of four fields in registers; with a fifth field, copying tokens took half the time of
// reading a statement.
type Token struct {
	Start, End int
	Kind       Kind
	info       tokenInfo
}

// tokenInfo holds further properties of an Ident, packed into one machine word from the lowest
// bit: the hash of the name (32 bits), its keyword traits (16 bits), its keyword number (8 bits)
// and whether it has uppercase letters.
type tokenInfo uint64

const (
	traitsShift    = 32
	keywordShift   = 48
	uppercaseShift = 56
)

func (i tokenInfo) hasUppercase() bool { return i>>uppercaseShift != 0 }

// nameHash returns the hash of an Ident, which ignores case; 0 for other kinds.
func (t Token) nameHash() uint32 { return uint32(t.info) }

// traits and keyword return the keyword properties of an Ident; both are zero for other tokens.
func (t Token) traits() keywordTraits { return keywordTraits(t.info >> traitsShift) }
func (t Token) keyword() keyword      { return keyword(t.info >> keywordShift) }
func (t Token) hasUppercase() bool    { return t.info.hasUppercase() }

// isName reports whether the token is a name, quoted or not, or a keyword.
func (k Kind) isName() bool { return k == Ident || k == QuotedIdent }
