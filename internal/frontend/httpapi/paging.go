package httpapi

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
)

const (
	// resultPrefix begins the path of a held result: resultPrefix, its name and a page's number.
	resultPrefix = "/more/"
	maxPageBytes = 64 << 10 // rows of about this size go into one response
	// holdAfterDeadline is how long a result is held past its request's deadline.
	holdAfterDeadline = time.Second
)

// resultStore holds results of several pages that clients have not fetched whole.
type resultStore struct {
	instance string // distinguishes paths of this process from those of others
	last     uint64 // number of the latest path
	byPath   map[string]*heldResult
	bytes    int
}

// heldResult is a result of more than one page.
type heldResult struct {
	pages        []lineproto.Rows
	size         int // bytes
	lastPageSent bool
}

func newResultStore(instance string) resultStore {
	return resultStore{instance: instance, byPath: map[string]*heldResult{}}
}

// newPath is a path that no other result has.
func (s *resultStore) newPath() string {
	s.last++
	return fmt.Sprintf("%s%s-%d", resultPrefix, s.instance, s.last)
}

// add holds a result, and reports false where its path is held already.
func (s *resultStore) add(path string, pages []lineproto.Rows) bool {
	if s.byPath[path] != nil {
		return false
	}
	size := 0
	for _, page := range pages {
		size += page.Size()
	}
	s.byPath[path] = &heldResult{pages: pages, size: size}
	s.bytes += size
	return true
}

// release drops a result, and reports whether it was held.
func (s *resultStore) release(path string) bool {
	result := s.byPath[path]
	if result == nil {
		return false
	}
	delete(s.byPath, path)
	s.bytes -= result.size
	return true
}

// page finds one page by its path, the first of them being number 0, and the path of the next: ""
// behind the last.
func (s *resultStore) page(path string) (rows lineproto.Rows, next string, ok bool) {
	resultPath, number := splitPagePath(path)
	result := s.byPath[resultPath]
	n, err := strconv.Atoi(number)
	if result == nil || err != nil || n < 1 || n >= len(result.pages) {
		return nil, "", false
	}
	if n+1 < len(result.pages) {
		next = pagePath(resultPath, n+1)
	} else {
		result.lastPageSent = true
	}
	return result.pages[n], next, true
}

// allFetched tells whether the last page of each result was sent at least once.
func (s *resultStore) allFetched() bool {
	for _, result := range s.byPath {
		if !result.lastPageSent {
			return false
		}
	}
	return true
}

func pagePath(resultPath string, number int) string { return resultPath + "/" + strconv.Itoa(number) }

func splitPagePath(path string) (resultPath, number string) {
	slash := strings.LastIndexByte(path, '/')
	return path[:slash], path[slash+1:]
}

// paginate cuts rows into pages of about maxPageBytes.
func paginate(rows lineproto.Rows) (pages []lineproto.Rows) {
	size := 0
	for _, chunk := range rows {
		if len(pages) == 0 || size+len(chunk) > maxPageBytes {
			pages = append(pages, nil)
			size = 0
		}
		last := len(pages) - 1
		pages[last] = append(pages[last], chunk)
		size += len(chunk)
	}
	return pages
}

// sendRows sends the first page of a result and holds the others for the client to fetch. A small
// result goes in one response, and so does one that there is no memory to hold.
func (c *conn) sendRows(r *core.Request, rows lineproto.Rows) {
	f := c.front
	pages := paginate(rows)
	mayHold := f.results.bytes+rows.Size() <= f.options.MaxHeldBytes && !f.shutdown.draining && !f.shutdown.unpaged
	if len(pages) < 2 || !mayHold {
		c.respond(http.StatusOK, 0, encodeRows(rows, ""))
		return
	}
	result := resultState{Path: f.results.newPath(), Pages: pages, Until: r.Deadline + holdAfterDeadline}
	f.hold(result)
	f.publishResults(result)
	c.nextPagePending = true
	c.respond(http.StatusOK, 0, encodeRows(pages[0], pagePath(result.Path, 1)))
}

// hold holds a result until its time.
func (f *Frontend) hold(result resultState) {
	if f.results.add(result.Path, result.Pages) {
		f.loop.Timers.Add(result.Until, func() { f.results.release(result.Path) })
	}
}

// sendPage sends a further page. Each is held until its time, also once it was sent: a client whose
// connection broke makes its request again.
func (c *conn) sendPage(path string) {
	rows, next, ok := c.front.results.page(path)
	if !ok {
		c.respondNotFound()
		return
	}
	c.nextPagePending = next != ""
	c.respond(http.StatusOK, 0, encodeRows(rows, next))
}

// deleteResult releases a result that the client needs no further pages of.
func (c *conn) deleteResult(path string) {
	resultPath, _ := splitPagePath(path)
	if !c.front.results.release(resultPath) {
		c.respondNotFound()
		return
	}
	c.respondEmpty()
}
