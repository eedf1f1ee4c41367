package sqltext

// foldedList is a list of alternatives (IN, ARRAY) or the rows of VALUES. The normal form keeps
// only its first element and those that differ from the first.
type foldedList struct {
	rows         bool // the list holds rows of VALUES; else alternatives
	depth        int  // nesting depth of its commas
	start        int  // offset of its first element in the normal form
	firstLen     int  // length of the first element in the normal form; -1: not complete yet
	elementStart int  // offset of the current element in the normal form
	count        int  // number of complete elements
	slot         int  // index of the slot that counts its alternatives; noSlot: none
	rowValues    int  // number of values of the first row; 0: the first row does not consist of values only
}

// noSlot marks a list without a slot.
const noSlot = -1

// maxNestedLists is the maximum nesting depth of lists that are folded. Lists nested deeper are
// kept as they are.
const maxNestedLists = 8

// beginAlternatives begins a list of alternatives after its opening parenthesis or bracket.
func (p *pass) beginAlternatives() {
	slot := noSlot
	if p.slotCount < MaxSlots {
		slot = p.slotCount
		p.reader.slots[slot] = Slot{Role: RoleList, Column: p.comparison.column}
		p.slotCount++
	}
	p.out.Restrictions++
	p.comparison.role = RoleList
	p.pushList(foldedList{slot: slot})
}

// beginRows begins the rows of VALUES.
func (p *pass) beginRows() {
	if p.openLists < maxNestedLists {
		p.pushList(foldedList{rows: true, slot: noSlot})
	}
}

// pushList begins a list whose first element follows.
func (p *pass) pushList(list foldedList) {
	list.depth = p.depth
	list.start = len(p.form)
	list.elementStart = len(p.form)
	list.firstLen = -1
	p.reader.lists[p.openLists] = list
	p.openLists++
}

// inAlternatives reports whether the current value is an element of a list of alternatives.
func (p *pass) inAlternatives() bool {
	if p.openLists == 0 {
		return false
	}
	list := &p.reader.lists[p.openLists-1]
	return !list.rows && list.depth == p.depth
}

// listToken ends the current element or list if the token does so.
func (p *pass) listToken(t Token) {
	list := &p.reader.lists[p.openLists-1]
	switch {
	case p.depth < list.depth:
		p.endLists(p.depth)
	case p.depth > list.depth:
	case t.Kind == Comma:
		p.endElement(list)
		p.skipLikeElements(list)
		list.elementStart = len(p.form)
	case t.Kind == CloseParen || t.Kind == CloseBracket:
		p.endLists(p.depth - 1)
	case list.rows && t.Kind != OpenParen: // a token other than a row follows a row
		p.endLists(p.depth - 1)
	}
}

// skipLikeElements skips the following elements, except the last one of the list, if they and
// the first are plain values. The longest statements are those with lists of thousands of
// elements; this is their fast path.
func (p *pass) skipLikeElements(list *foldedList) {
	switch {
	case list.rows:
		if list.rowValues > 0 {
			p.skipRows(list)
		}
	case list.firstLen == 1 && p.form[list.start] == '?':
		p.skipAlternatives(list)
	}
}

// skipAlternatives skips plain values as long as a comma follows, and counts them.
func (p *pass) skipAlternatives(list *foldedList) {
	for {
		next := p.lexer
		if !isPlainValue(next.Next()) || next.Next().Kind != Comma {
			return
		}
		p.out.Features.Values++
		list.count++
		p.lexer = next
	}
}

// skipRows skips rows of plain values as long as a comma follows, and counts them.
func (p *pass) skipRows(list *foldedList) {
	for {
		next := p.lexer
		if !skipPlainRow(&next, list.rowValues) || next.Next().Kind != Comma {
			return
		}
		p.out.Features.Values += int32(list.rowValues)
		list.count++
		p.lexer = next
	}
}

// skipPlainRow advances l past a row of the given number of plain values. It returns false if
// the next row is not of that form.
func skipPlainRow(l *Lexer, values int) bool {
	if l.Next().Kind != OpenParen {
		return false
	}
	for i := 1; ; i++ {
		if !isPlainValue(l.Next()) {
			return false
		}
		switch l.Next().Kind {
		case CloseParen:
			return i == values
		case Comma:
			if i >= values {
				return false
			}
		default:
			return false
		}
	}
}

// isPlainValue reports whether a token is a literal that the lists' fast path can skip.
func isPlainValue(t Token) bool { return t.Kind == String || t.Kind == Number }

// plainRowValues returns the number of values of a row whose normal form holds only values, such
// as (?, ?, ?), and 0 for other rows.
func plainRowValues(form []byte) int {
	const (
		perValue  = len("?, ") // the parentheses take as many bytes as one ", ": "(?)" has three bytes
		repeating = "?, "
	)
	n := len(form)
	if n < perValue || n%perValue != 0 || form[0] != '(' || form[n-1] != ')' {
		return 0
	}
	inner := form[1 : n-1]
	for i := range inner {
		if inner[i] != repeating[i%perValue] {
			return 0
		}
	}
	return n / perValue
}

// endElement ends the current element and removes it from the normal form if it equals the first.
func (p *pass) endElement(list *foldedList) {
	list.count++
	if list.firstLen < 0 {
		list.firstLen = len(p.form) - list.start
		if list.rows {
			list.rowValues = plainRowValues(trimElement(p.form[list.start:]))
		}
		return
	}
	first := p.form[list.start : list.start+list.firstLen]
	if sameElement(p.form[list.elementStart:], first) {
		p.form = p.form[:list.elementStart]
	}
}

// sameElement reports whether two elements are equal apart from leading commas and spaces.
func sameElement(a, b []byte) bool { return string(trimElement(a)) == string(trimElement(b)) }

// trimElement returns an element without leading commas and spaces.
func trimElement(form []byte) []byte {
	for len(form) > 0 && (form[0] == ',' || form[0] == ' ') {
		form = form[1:]
	}
	return form
}

// endLists ends all lists that are nested deeper than depth.
func (p *pass) endLists(depth int) {
	for p.openLists > 0 && p.reader.lists[p.openLists-1].depth > depth {
		list := &p.reader.lists[p.openLists-1]
		p.endElement(list)
		if list.rows {
			p.out.Features.Rows += int32(list.count)
		} else if list.slot != noSlot {
			p.reader.slots[list.slot].Count = int32(list.count)
		}
		p.openLists--
		p.comparison.role = RoleOther
	}
}
