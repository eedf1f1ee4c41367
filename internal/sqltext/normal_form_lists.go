package sqltext

// foldedList is a list of alternatives, or the rows of VALUES. The normal form keeps its
// first element and those that differ from it.
type foldedList struct {
	rows         bool // rows of VALUES; else a list of alternatives
	depth        int  // of its commas
	start        int  // of its first element in the form
	firstLen     int  // length of the first element; -1: that is not finished yet
	elementStart int  // of the element being read
	count        int
	slot         int // that counts its alternatives; noSlot: none
	rowValues    int // values of the first row, where it holds nothing else; 0: it does
}

// noSlot is the slot of a list that has none.
const noSlot = -1

// maxNestedLists is how deep lists are folded within each other.
const maxNestedLists = 8

// beginAlternatives begins a list behind the parenthesis or bracket just read.
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

// pushList begins a list whose first element comes next.
func (p *pass) pushList(list foldedList) {
	list.depth = p.depth
	list.start = len(p.form)
	list.elementStart = len(p.form)
	list.firstLen = -1
	p.reader.lists[p.openLists] = list
	p.openLists++
}

// inAlternatives tells whether the value just read is an element of a list of alternatives.
func (p *pass) inAlternatives() bool {
	if p.openLists == 0 {
		return false
	}
	list := &p.reader.lists[p.openLists-1]
	return !list.rows && list.depth == p.depth
}

// listToken ends an element, or the list, where this token does.
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
	case list.rows && t.Kind != OpenParen:
		p.endLists(p.depth - 1)
	}
}

// skipLikeElements skips elements that are plain values, as the first one is, but for the
// last: lists of thousands are the longest statements that there are.
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

// skipPlainRow moves behind a row of so many plain values.
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

func isPlainValue(t Token) bool { return t.Kind == String || t.Kind == Number }

// plainRowValues is the number of values of a row's form that is nothing but values, as
// (?, ?, ?) is; 0 for others.
func plainRowValues(form []byte) int {
	const (
		perValue  = len("?, ") // a row of one value has "(?)", three as well
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

// endElement ends an element: one that repeats the first is left out.
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

// sameElement compares two elements without the comma and space before them.
func sameElement(a, b []byte) bool { return string(trimElement(a)) == string(trimElement(b)) }

func trimElement(form []byte) []byte {
	for len(form) > 0 && (form[0] == ',' || form[0] == ' ') {
		form = form[1:]
	}
	return form
}

// endLists ends the lists deeper than a depth.
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
