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
	maxPages = 64 // of one result
	// maxResultBytes is the maximum size in bytes of all pages of one result together. The protocol
	// allows results of up to 48,000 bytes.
	maxResultBytes = 256 << 10
	// columnsPerRow is fixed by the protocol.
	columnsPerRow = 3
)

var (
	errInvalidPage       = errors.New("a page does not hold complete rows of three columns of text")
	errResultTooLarge    = errors.New("the pages of a result exceed the size limit")
	errInvalidPageCount  = errors.New("an answer's number of pages is invalid")
	errInvalidPageNumber = errors.New("a page's number is invalid")
)

// Rows is a complete result: its pages as the engine sent them. A page holds complete rows: each
// row ends in a line feed, and tabs separate its columns.
type Rows [][]byte

// Size returns the size of all pages in bytes.
func (r Rows) Size() (size int) {
	for _, page := range r {
		size += len(page)
	}
	return size
}

// pageSet collects the pages of one result.
type pageSet struct {
	pages   Rows // by page number, nil for a missing page; nil until the first page was received
	missing int  // number of pages not received yet
	size    int  // bytes of the pages received
}

// start stores the first of count pages.
func (p *pageSet) start(count int, first []byte) {
	p.pages = make(Rows, count)
	p.missing = count
	p.put(0, first)
}

// put stores a copy of a page, as its bytes are part of the connection's buffer.
func (p *pageSet) put(number int, page []byte) {
	p.pages[number] = append([]byte{}, page...)
	p.size += len(page)
	p.missing--
}

// handleFirstPage stores the first page and requests the others. No rows are passed on before all
// pages are here, so that another attempt can serve the client if the engine is lost before that.
func (c *connection) handleFirstPage(s *stream, a answer) error {
	if s.result.pages != nil { // a duplicate of a valid answer
		c.backend.counters.Inc("links.doubled-answer")
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

// pageCount returns the number of pages of a result. Engines may report 0 pages for an empty result,
// which is counted as one empty page.
func pageCount(fields string) (int, error) {
	text, _ := fieldValue(fields, "batches")
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > maxPages {
		return 0, fmt.Errorf("%w: %.20q", errInvalidPageCount, text)
	}
	return max(count, 1), nil
}

// handlePage stores a further page, and ends the attempt once no page is missing.
func (c *connection) handlePage(s *stream, a answer) error {
	text, _ := fieldValue(a.fields, "batch")
	number, err := strconv.Atoi(text)
	switch {
	case err != nil || number < 1 || number >= len(s.result.pages):
		return fmt.Errorf("%w: %.20q", errInvalidPageNumber, text)
	case !hasCompleteRows(a.body):
		return errInvalidPage
	case s.result.pages[number] != nil: // a duplicate
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

// hasCompleteRows reports whether a page consists of complete rows of three columns, in UTF-8 without
// NUL and CR. It detects rows that were corrupted without a change of the page's length.
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
