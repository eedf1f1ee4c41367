package sqltext

// SplitStatements parts a text into its statements, as PostgreSQL does for a simple Query:
// at semicolons that stand in no parentheses, quotes or comments. What holds no token is
// left out. A body in SQL (BEGIN ATOMIC) is not seen as one: its parts are no statements,
// and an engine says so.
func SplitStatements(text string) (statements []string) {
	l := Lexer{Src: text}
	start, depth := 0, 0
	hasToken := false
	for t := l.Next(); t.Kind != End; t = l.Next() {
		switch {
		case t.Kind == Semicolon && depth <= 0:
			if hasToken {
				statements = append(statements, text[start:t.Start])
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
