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
	maxWait              = 10 * time.Minute // upper limit of Req-Wait-Ms
	maxEstimatedWork     = 24 * time.Hour   // upper limit of Req-Cost
	maxEstimatedMemoryMB = 1e9              // upper limit of Req-Kb, which is read as megabytes

	requestIDLength = 16 // hex digits
	maxTokenLength  = 64 // bytes of an idempotency key or a serial key
)

// contentLengthError is the error for bytes after a request that cannot be the start of another one.
func contentLengthError() *http1.StatusError {
	return http1.BadRequest("what follows the call is no other: Content-Length is wrong")
}

// requestTimeoutError is the error for a request that was not complete within RequestTimeout.
func requestTimeoutError() *http1.StatusError {
	return http1.NewStatusError(http.StatusRequestTimeout, "the call was not whole in time")
}

// handle answers a request or passes its statement to the core. receivedAt is when the last byte of
// the request was received.
func (c *conn) handle(req http1.Request, receivedAt time.Duration) {
	classPath, isStatement := strings.CutPrefix(req.Path, "/rpc/")
	isResult := strings.HasPrefix(req.Path, resultPrefix)
	var err *http1.StatusError
	switch {
	case req.Method == http.MethodGet && req.Path == "/health":
		c.served = true
		c.respondEmpty()
	case isStatement && req.Method == http.MethodPost:
		err = c.acceptStatement(classPath[strings.LastIndexByte(classPath, '/')+1:], req, receivedAt)
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

// acceptStatement passes a statement to the core, or returns why the request is invalid. The
// request's deadline counts from receivedAt: a pipelined request spends a part of its time in the
// connection's buffer. If a process that died had received the request, the deadline counts from when
// that process did.
func (c *conn) acceptStatement(className string, req http1.Request, receivedAt time.Duration) *http1.StatusError {
	f := c.frontend
	if c.orphan != nil && c.orphan.ReceivedAt > 0 {
		receivedAt = c.orphan.ReceivedAt
	}
	class, ok := f.core.Class(className)
	if !ok {
		return http1.NewStatusError(http.StatusNotFound, "no such class")
	}
	id := req.Header["req-id"]
	if err := f.checkRequestID(id); err != nil {
		return err
	}
	wait, err := validateStatement(req)
	if err != nil {
		return err
	}
	text := string(req.Body)
	r := &core.Request{
		ID: id, Class: className, Statement: lineproto.Statement(text), ClientRetry: req.Header["req-retry"] == "1", Client: c,
		Deadline: receivedAt + wait, UniqueID: true,
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

// checkRequestID checks the form of a request ID, that no other open request has it, as an engine
// could not tell the two apart, and that no request of this ID may have run that must not run again.
func (f *Frontend) checkRequestID(id string) *http1.StatusError {
	if len(id) != requestIDLength || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return http1.BadRequest("Req-Id: not 16 hex digits")
	}
	other := f.openRequests[id]
	switch {
	case other == nil:
	case other.Disconnected(): // its client repeats the request on a new connection before Closed was called for the old one
		other.abandonRequest()
	default:
		return http1.NewStatusError(http.StatusConflict, "Req-Id: a request of this id is open")
	}
	if f.core.MayHaveRun(id) {
		f.counters.Inc("rest.repeats-refused")
		return http1.NewStatusError(http.StatusConflict, "Req-Id: a request of this id may have run")
	}
	return nil
}

// validateStatement checks the headers and the text that every statement must have, and returns how
// long its client waits for the answer.
func validateStatement(req http1.Request) (time.Duration, *http1.StatusError) {
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

// readEstimates stores the client's estimates of the statement's work and memory in r. Req-Cost is in
// milliseconds; Req-Kb is read as megabytes, despite its name.
func readEstimates(r *core.Request, req http1.Request) *http1.StatusError {
	if text, ok := req.Header["req-cost"]; ok {
		work, ok := parsePositive(text, milliseconds(maxEstimatedWork))
		if !ok {
			return invalidEstimateError("Req-Cost", milliseconds(maxEstimatedWork))
		}
		r.Work = config.FromMS(work)
	}
	if text, ok := req.Header["req-kb"]; ok {
		memoryMB, ok := parsePositive(text, maxEstimatedMemoryMB)
		if !ok {
			return invalidEstimateError("Req-Kb", maxEstimatedMemoryMB)
		}
		r.MemoryMB = memoryMB
	}
	return nil
}

func invalidEstimateError(header string, limit float64) *http1.StatusError {
	return http1.BadRequest("%s: not a number above 0, up to %.0f", header, limit)
}

// readKeys stores the keys that the request's class requires in r. Engines need the idempotency key
// to discard repeated executions; the serial key selects the requests that run one after the other.
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

// isToken reports whether s is a valid idempotency or serial key.
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

// parsePositive parses a number above 0 and up to limit.
func parsePositive(text string, limit float64) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number <= 0 || number > limit {
		return 0, false
	}
	return number, true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
