package sqltext

import "strings"

// timeWords are the words by which a constant of a date or time type names a time by the engine's clock.
var timeWords = []string{"now", "today", "tomorrow", "yesterday"}

// MayNameCurrentTime reports whether a string constant of a statement may name a time by the engine's clock, such as
// 'now' or 'today'. An engine replaces such a constant by its value when it parses the statement, not when it runs it.
// The report errs on the side of true: it ignores types, and does not resolve escapes and continued strings.
func MayNameCurrentTime(query string) bool {
	lexer := Lexer{Src: query}
	for {
		token := lexer.Next()
		switch token.Kind {
		case End:
			return lexer.Defects&(UnterminatedText|UnicodeEscape) != 0
		case String, DollarString:
			if stringMayNameCurrentTime(lexer.Text(token)) {
				return true
			}
		}
	}
}

// stringMayNameCurrentTime is MayNameCurrentTime for the source text of one string.
func stringMayNameCurrentTime(text string) bool {
	isContinued := strings.Count(text, "'") > 2 && strings.ContainsAny(text, "\r\n")
	if isContinued || strings.Contains(text, `\`) {
		return true
	}
	text = strings.ToLower(text)
	for _, word := range timeWords {
		if strings.Contains(text, word) {
			return true
		}
	}
	return false
}
