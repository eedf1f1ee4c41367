package sqltext

// SplitStatements parts a text into its statements, as PostgreSQL does for a simple Query: at semicolons that
// stand in no parentheses, quotes or comments. What holds no token is left out. A body in SQL
// (BEGIN ATOMIC) is not seen as one: its parts are no statements, and an engine says so.
func SplitStatements(text string) (all []string) {
	l := Lexer{Src: text}
	begin, depth, any := 0, 0, false
	for t := l.Next(); t.Kind != End; t = l.Next() {
		switch {
		case t.Kind == Semicolon && depth <= 0:
			if any {
				all = append(all, text[begin:t.Start])
			}
			begin, any = t.End, false
			continue
		case t.Kind == OpenParen:
			depth++
		case t.Kind == CloseParen:
			depth--
		}
		any = true
	}
	if any {
		all = append(all, text[begin:])
	}
	return all
}

// ContainsName tells whether a text holds a name in small letters, in any case, wherever it stands.
func ContainsName(text, name string) bool {
	for i := 0; i+len(name) <= len(text); i++ {
		if text[i]|0x20 == name[0] && same(text[i:i+len(name)], name) {
			return true
		}
	}
	return false
}
