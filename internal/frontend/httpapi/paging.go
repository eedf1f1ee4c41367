package httpapi

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
	"gannetspur/internal/timerqueue"
)

const (
	// resultPrefix is the prefix of all page paths: /more/INSTANCE-NUMBER/PAGE. INSTANCE-NUMBER
	// names the result; /more/INSTANCE-NUMBER is called the path of the result.
	resultPrefix = "/more/"
	// maxPageBytes is the size in bytes of the rows that one response holds. An engine's page that
	// is larger by itself is sent whole.
	maxPageBytes = 64 << 10
	// holdAfterDeadline is how long a result is held after its request's deadline.
	holdAfterDeadline = time.Second
)

// resultStore holds the results whose further pages clients can fetch.
type resultStore struct {
	instanceID string                 // distinguishes the paths of this process from those of others
	lastNumber uint64                 // number in the latest path
	byPath     map[string]*heldResult // by path of the result
	bytes      int                    // size of all held results
}

// heldResult is a result of more than one page.
type heldResult struct {
	pages        []lineproto.Rows  // all pages, the first included
	size         int               // bytes of all pages
	lastPageSent bool              // the last page was sent at least once
	expiry       *timerqueue.Timer // releases the result
}

func newResultStore(instanceID string) resultStore {
	return resultStore{instanceID: instanceID, byPath: map[string]*heldResult{}}
}

// newPath returns a result path that was not used before.
func (s *resultStore) newPath() string {
	s.lastNumber++
	return fmt.Sprintf("%s%s-%d", resultPrefix, s.instanceID, s.lastNumber)
}

// add stores a result. It returns false if the path is in use already.
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

// release drops a result and reports whether it was held.
func (s *resultStore) release(path string) bool {
	result := s.byPath[path]
	if result == nil {
		return false
	}
	result.expiry.Stop() // it would keep the pages of a result that the client has deleted
	delete(s.byPath, path)
	s.bytes -= result.size
	return true
}

// page returns the rows of a page by its path, and the path of the next page, which is "" after the
// last one. Pages are numbered from 0; page 0 is the response to the statement and cannot be fetched.
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

// allFetched reports whether the last page of each held result was sent at least once.
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

// paginate groups the engine's pages into response pages of at most maxPageBytes each, unless one
// engine page alone is larger.
func paginate(rows lineproto.Rows) (pages []lineproto.Rows) {
	size := 0
	for _, enginePage := range rows {
		if len(pages) == 0 || size+len(enginePage) > maxPageBytes {
			pages = append(pages, nil)
			size = 0
		}
		last := len(pages) - 1
		pages[last] = append(pages[last], enginePage)
		size += len(enginePage)
	}
	return pages
}

// sendRows sends the first page of a result and holds the result for the client to fetch the other
// pages. A result of one page is sent whole, and so is one that must not be held: because all held
// results together would exceed MaxHeldBytes, or because of a shutdown or handover.
func (c *conn) sendRows(r *core.Request, rows lineproto.Rows) {
	f := c.frontend
	pages := paginate(rows)
	canHold := f.results.bytes+rows.Size() <= f.options.MaxHeldBytes && !f.shutdown.draining && !f.shutdown.unpaged
	if len(pages) < 2 || !canHold {
		c.respond(http.StatusOK, 0, encodeRows(rows, ""))
		return
	}
	result := resultState{Path: f.results.newPath(), Pages: pages, HeldUntil: r.Deadline + holdAfterDeadline}
	f.holdResult(result)
	f.publishResults(result)
	c.nextPagePending = true
	c.respond(http.StatusOK, 0, encodeRows(pages[0], pagePath(result.Path, 1)))
}

// holdResult stores a result, unless its path is in use already, and drops it at HeldUntil.
func (f *Frontend) holdResult(result resultState) {
	path := result.Path
	if f.results.add(path, result.Pages) {
		f.results.byPath[path].expiry = f.loop.Timers.Add(result.HeldUntil, func() { f.results.release(path) })
	}
}

// sendPage sends a further page of a result. The page stays held after that, as a client whose
// connection broke requests it again.
func (c *conn) sendPage(path string) {
	rows, next, ok := c.frontend.results.page(path)
	if !ok {
		c.respondNotFound()
		return
	}
	c.nextPagePending = next != ""
	c.respond(http.StatusOK, 0, encodeRows(rows, next))
}

// deleteResult releases a result at the request of its client, which needs no further pages.
func (c *conn) deleteResult(path string) {
	resultPath, _ := splitPagePath(path)
	if !c.frontend.results.release(resultPath) {
		c.respondNotFound()
		return
	}
	c.respondEmpty()
}
