package httpapi

import (
	"bytes"
	"net/http"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
	"gannetspur/internal/http1"
)

// Answer sends the core's final answer to a request.
func (c *conn) Answer(r *core.Request, a core.Answer) {
	c.request = nil
	c.lastActivity = c.frontend.loop.Now()
	delete(c.frontend.openRequests, r.ID)
	switch a.Verdict {
	case core.Served:
		rows, _ := a.Result.(lineproto.Rows)
		c.sendRows(r, rows)
	case core.Rejected:
		c.respondBusy(a.RetryAfter)
	default:
		c.respond(http.StatusInternalServerError, 0, []byte(`{"fault":"Failed"}`))
	}
	c.socket.LimitReadAhead(false)
	if !c.ended {
		c.socket.ScheduleData() // a pipelined request may be in the buffer
	}
}

// reject answers an invalid request and closes the connection. The bytes after an invalid request
// cannot be trusted, and a client that keeps sending invalid requests has to reconnect for each.
func (c *conn) reject(err *http1.StatusError) {
	c.frontend.counters.Inc("rest.bad-calls")
	c.closeAfterResponse = true
	c.respond(err.Status, 0, encodeError(err.Message))
}

// respondNotFound answers a request for a result that is not held, for example after a restart.
func (c *conn) respondNotFound() {
	c.respond(http.StatusNotFound, 0, encodeError("nothing is held under this path"))
}

// respondEmpty sends a success response without rows.
func (c *conn) respondEmpty() { c.respond(http.StatusOK, 0, []byte(`{}`)) }

// respondBusy sends a refusal, after which the client may try again. Without a retryAfter it is not told when.
func (c *conn) respondBusy(retryAfter time.Duration) {
	c.respond(http.StatusServiceUnavailable, retryAfter, []byte(`{"fault":"Busy"}`))
}

// respond sends one complete response in a single write. During a shutdown or handover it is the
// connection's last response, unless the client has further pages to fetch or has pipelined a request.
func (c *conn) respond(status int, retryAfter time.Duration, body []byte) {
	if c.ended {
		return
	}
	retiring := c.frontend.shutdown.draining || c.frontend.shutdown.closeAfterResponse
	if retiring && !c.nextPagePending && !c.pipelined {
		c.closeAfterResponse = true
	}
	response := http1.Response{
		Status: status, ContentType: "application/json", RetryAfter: retryAfter, Close: c.closeAfterResponse, Body: body,
	}
	c.socket.Write(response.Append(nil))
	if c.closeAfterResponse {
		c.end()
	}
}

// encodeRows encodes rows of tab-separated columns as JSON arrays of strings. nextPage is the path
// of the result's next page, or "" if there is none.
func encodeRows(rows lineproto.Rows, nextPage string) []byte {
	// Estimates the size: half of the rows' size is added for quotes, commas and brackets, and
	// envelopeSize for the object around the rows.
	const envelopeSize = 64
	size := envelopeSize
	for _, enginePage := range rows {
		size += len(enginePage) + len(enginePage)/2
	}
	b := append(make([]byte, 0, size), '{')
	if nextPage != "" {
		b = append(b, `"more":`...)
		b = appendString(b, []byte(nextPage))
		b = append(b, ',')
	}
	b = append(b, `"result":[`...)
	first := true
	for _, enginePage := range rows {
		for len(enginePage) > 0 {
			var row []byte
			row, enginePage, _ = bytes.Cut(enginePage, []byte{'\n'})
			if !first {
				b = append(b, ',')
			}
			first = false
			b = appendRow(b, row)
		}
	}
	return append(b, "]}"...)
}

func appendRow(b, row []byte) []byte {
	b = append(b, '[')
	for i, column := range bytes.Split(row, []byte{'\t'}) {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, column)
	}
	return append(b, ']')
}

func encodeError(message string) []byte {
	b := appendString([]byte(`{"fault":`), []byte(message))
	return append(b, '}')
}

// appendString appends s as a JSON string. It escapes only the characters that JSON requires to be
// escaped and copies all other bytes unchanged.
func appendString(b, s []byte) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&0xf])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
