package httpapi

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

const (
	maxWait     = 10 * time.Minute
	maxWork     = 24 * time.Hour // that a client may estimate
	maxMemoryMB = 1e9            // that a client may estimate

	requestIDLength = 16 // hex digits
	maxTokenLength  = 64 // bytes of an idempotency or serial key
)

func wrongLength() *http1.StatusError {
	return http1.BadRequest("what follows the call is no other: Content-Length is wrong")
}

func requestTimedOut() *http1.StatusError {
	return http1.NewStatusError(http.StatusRequestTimeout, "the call was not whole in time")
}

// handle answers a request, or gives its statement to the core. receivedAt is when its last byte
// came.
func (c *conn) handle(req http1.Request, receivedAt time.Duration) {
	class, isStatement := strings.CutPrefix(req.Path, "/rpc/")
	isResult := strings.HasPrefix(req.Path, resultPrefix)
	var err *http1.StatusError
	switch {
	case req.Method == http.MethodGet && req.Path == "/health":
		c.served = true
		c.respondEmpty()
	case isStatement && req.Method == http.MethodPost:
		err = c.acceptStatement(class[strings.LastIndexByte(class, '/')+1:], req, receivedAt)
	case isStatement:
		err = http1.NewStatusError(http.StatusMethodNotAllowed, "statements come by POST")
	case isResult && req.Method == http.MethodGet:
		c.served = true
		c.sendPage(req.Path)
	case isResult && req.Method == http.MethodDelete:
		c.served = true
		c.deleteResult(req.Path)
	default:
		err = http1.NewStatusError(http.StatusNotFound, "no such path")
	}
	if err != nil {
		c.reject(err)
	}
}

// acceptStatement gives a statement to the core, or returns what is wrong with the request. Its
// wait runs from receivedAt: a request that a client pipelined waits here, and its time runs.
func (c *conn) acceptStatement(className string, req http1.Request, receivedAt time.Duration) *http1.StatusError {
	f := c.front
	if c.orphan != nil && c.orphan.ReceivedAt > 0 {
		receivedAt = c.orphan.ReceivedAt
	}
	class, ok := f.core.Class(className)
	if !ok {
		return http1.NewStatusError(http.StatusNotFound, "no such class")
	}
	id := req.Header["req-id"]
	if err := f.claimID(id); err != nil {
		return err
	}
	wait, err := checkStatement(req)
	if err != nil {
		return err
	}
	text := string(req.Body)
	r := &core.Request{
		ID: id, Class: className, Statement: lineproto.Statement(text), ClientRetry: req.Header["req-retry"] == "1", Client: c,
		Deadline: receivedAt + wait,
	}
	if err := readEstimates(r, req); err != nil {
		return err
	}
	if err := readKeys(r, req, class); err != nil {
		return err
	}
	if f.options.Shapes != nil {
		f.options.Shapes.EstimateText(r, text)
	} else {
		r.DataSet, _ = sqltext.TableGroup(text)
	}
	c.request = r
	c.served = true
	f.openRequests[id] = c
	orphan := c.orphan
	c.orphan = nil
	f.core.AcceptOrphan(r, orphan)
	return nil
}

// claimID checks a request's id, under which no other may be open: an engine could not tell the
// two apart.
func (f *Frontend) claimID(id string) *http1.StatusError {
	if len(id) != requestIDLength || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return http1.BadRequest("Req-Id: not 16 hex digits")
	}
	holder := f.openRequests[id]
	switch {
	case holder == nil:
	case holder.Disconnected(): // its client makes the request again, and Closed is yet to report the disconnect
		holder.abandonRequest()
	default:
		return http1.NewStatusError(http.StatusConflict, "Req-Id: a request of this id is open")
	}
	return nil
}

// checkStatement checks what each statement needs, and returns how long its client waits.
func checkStatement(req http1.Request) (time.Duration, *http1.StatusError) {
	wait, ok := parsePositive(req.Header["req-wait-ms"], milliseconds(maxWait))
	if !ok {
		return 0, http1.BadRequest("Req-Wait-Ms: not a number of milliseconds up to %.0f", milliseconds(maxWait))
	}
	if strings.Trim(req.Header["req-retry"], "0123456789") != "" {
		return 0, http1.BadRequest("Req-Retry: not a number")
	}
	if !utf8.Valid(req.Body) || bytes.IndexByte(req.Body, 0) >= 0 {
		return 0, http1.BadRequest("the statement is no text in UTF-8")
	}
	return config.FromMS(wait), nil
}

// readEstimates reads the client's own estimates of what the statement takes.
func readEstimates(r *core.Request, req http1.Request) *http1.StatusError {
	if text, ok := req.Header["req-cost"]; ok {
		work, ok := parsePositive(text, milliseconds(maxWork))
		if !ok {
			return badEstimate("Req-Cost", milliseconds(maxWork))
		}
		r.Work = config.FromMS(work)
	}
	if text, ok := req.Header["req-kb"]; ok {
		memoryMB, ok := parsePositive(text, maxMemoryMB)
		if !ok {
			return badEstimate("Req-Kb", maxMemoryMB)
		}
		r.MemoryMB = memoryMB
	}
	return nil
}

func badEstimate(header string, limit float64) *http1.StatusError {
	return http1.BadRequest("%s: not a number above 0, up to %.0f", header, limit)
}

// readKeys reads the keys that the request's class needs: without its idempotency key an engine
// would drop no repeat, and without its serial key nothing would keep its turn.
func readKeys(r *core.Request, req http1.Request, class policy.Class) *http1.StatusError {
	if class.Idempotency == policy.IdempotentWithKey {
		r.IdempotencyKey = req.Header["req-token"]
		if !isToken(r.IdempotencyKey) {
			return http1.BadRequest("Req-Token: missing or not of 1 to 64 letters, digits, - and _")
		}
	}
	if class.Ordered {
		r.SerialKey = req.Header["req-key"]
		if !isToken(r.SerialKey) {
			return http1.BadRequest("Req-Key: missing or not of 1 to 64 letters, digits, - and _")
		}
	}
	return nil
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '-' && c != '_' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxTokenLength
}

// parsePositive reads a number above 0, up to a limit.
func parsePositive(text string, limit float64) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number <= 0 || number > limit {
		return 0, false
	}
	return number, true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
