package lineproto

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
)

const (
	maxPages = 64
	// maxResultBytes bounds all pages of one result, which may have 48,000 bytes.
	maxResultBytes = 256 << 10
	// columnsPerRow is fixed by the protocol.
	columnsPerRow = 3
)

var (
	errInvalidPage    = errors.New("a page does not hold complete rows of three columns of text")
	errResultTooLarge = errors.New("a result is too large")
	errPageCount      = errors.New("an answer's number of pages is invalid")
	errPageNumber     = errors.New("a page's number is invalid")
)

// Rows is a complete result: its pages as the engine sent them, each of complete rows.
type Rows [][]byte

// Size returns the number of bytes of all pages.
func (r Rows) Size() (size int) {
	for _, page := range r {
		size += len(page)
	}
	return size
}

// pageSet collects the pages of one result.
type pageSet struct {
	pages   Rows // nil until the first page is here
	missing int  // pages
	size    int  // bytes of the pages that are here
}

// start takes the first of count pages.
func (p *pageSet) start(count int, first []byte) {
	p.pages = make(Rows, count)
	p.missing = count
	p.put(0, first)
}

// put stores a copy of a page: its bytes are the connection's buffer.
func (p *pageSet) put(number int, page []byte) {
	p.pages[number] = append([]byte{}, page...)
	p.size += len(page)
	p.missing--
}

// handleFirstPage takes the first page and requests the others. No row is passed on before all are
// here: pages that are lost with their engine end the attempt, and another may
// serve the client.
func (c *connection) handleFirstPage(s *stream, a answer) error {
	if s.result.pages != nil { // a second copy of an answer that is valid
		c.backend.counters.Add("links.doubled-answer")
		return nil
	}
	count, err := pageCount(a.fields)
	if err != nil {
		return err
	}
	if !hasCompleteRows(a.body) {
		return errInvalidPage
	}
	work, _ := numberField(a.fields, "cpu")
	s.report.Work = config.FromMS(max(work, 0))
	s.report.MemoryMB, _ = numberField(a.fields, "used")
	s.report.LoadReport = parseLoadReport(a.fields)
	s.result.start(count, a.body)
	if s.result.missing == 0 {
		c.finish(s, core.OutcomeServed)
		return nil
	}
	commands := newCommand()
	for number := 1; number < count; number++ {
		commands = appendPageCommand(commands, a.id, number)
	}
	c.socket.Write(commands)
	return nil
}

// pageCount reads the number of a result's pages. An engine may count none for an empty result, which
// is one empty page.
func pageCount(fields string) (int, error) {
	text, _ := fieldValue(fields, "batches")
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > maxPages {
		return 0, fmt.Errorf("%w: %.20q", errPageCount, text)
	}
	return max(count, 1), nil
}

// handlePage takes a further page; after the last one it ends the attempt.
func (c *connection) handlePage(s *stream, a answer) error {
	text, _ := fieldValue(a.fields, "batch")
	number, err := strconv.Atoi(text)
	switch {
	case err != nil || number < 1 || number >= len(s.result.pages):
		return fmt.Errorf("%w: %.20q", errPageNumber, text)
	case !hasCompleteRows(a.body):
		return errInvalidPage
	case s.result.pages[number] != nil: // a second copy
		return nil
	case s.result.size+len(a.body) > maxResultBytes:
		return errResultTooLarge
	}
	s.result.put(number, a.body)
	if s.result.missing == 0 {
		c.socket.Write(appendReleaseCommand(newCommand(), a.id))
		c.finish(s, core.OutcomeServed)
	}
	return nil
}

// hasCompleteRows reports whether a page holds what it should. Guards against passing on
// what was corrupted within its length.
func hasCompleteRows(page []byte) bool {
	if !utf8.Valid(page) {
		return false
	}
	tabs := 0
	for _, char := range page {
		switch {
		case char == '\t':
			tabs++
		case char == '\n' && tabs != columnsPerRow-1, char == 0, char == '\r':
			return false
		case char == '\n':
			tabs = 0
		}
	}
	return len(page) == 0 || page[len(page)-1] == '\n'
}
