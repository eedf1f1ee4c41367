package sqltext

// SplitStatements splits a text into its statements, as PostgreSQL does for a simple Query: at
// semicolons outside parentheses, quotes and comments. Parts without a token are left out. The
// body of a function in SQL (BEGIN ATOMIC) is not recognized: its parts are not valid
// statements, and an engine reports an error for them.
// It returns at most limit statements, and leaves the rest of the text unread.
func SplitStatements(text string, limit int) (statements []string) {
	l := Lexer{Src: text}
	start, depth := 0, 0
	hasToken := false
	for t := l.Next(); t.Kind != End; t = l.Next() {
		switch {
		case t.Kind == Semicolon && depth <= 0:
			if hasToken {
				statements = append(statements, text[start:t.Start])
			}
			if len(statements) == limit {
				return statements
			}
			start = t.End
			hasToken = false
			continue
		case t.Kind == OpenParen:
			depth++
		case t.Kind == CloseParen:
			depth--
		}
		hasToken = true
	}
	if hasToken {
		statements = append(statements, text[start:])
	}
	return statements
}
