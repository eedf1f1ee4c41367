package httpapi

import (
	"bytes"
	"net/http"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
	"gannetspur/internal/http1"
)

// Answer writes the final answer.
func (c *conn) Answer(r *core.Request, a core.Answer) {
	c.request = nil
	c.lastActivity = c.front.loop.Now()
	delete(c.front.openRequests, r.ID)
	switch a.Verdict {
	case core.Served:
		rows, _ := a.Result.(lineproto.Rows)
		c.sendRows(r, rows)
	case core.Rejected:
		c.respond(http.StatusServiceUnavailable, a.RetryAfter, []byte(`{"fault":"Busy"}`))
	default:
		c.respond(http.StatusInternalServerError, 0, []byte(`{"fault":"Failed"}`))
	}
	c.socket.LimitReadAhead(false)
	if !c.ended {
		c.socket.ScheduleData() // a pipelined request may be in the buffer
	}
}

// reject answers an invalid request and ends the connection: what follows a request that can't be
// read can't be trusted, and a client that sends invalid requests without pause has to connect for
// each.
func (c *conn) reject(err *http1.StatusError) {
	c.front.counters.Add("rest.bad-calls")
	c.closeAfterResponse = true
	c.respond(err.Status, 0, encodeFault(err.Message))
}

// respondNotFound answers a request for a path that no result is held under, as after a restart.
func (c *conn) respondNotFound() {
	c.respond(http.StatusNotFound, 0, encodeFault("nothing is held under this path"))
}

// respondEmpty answers a request that has no rows as its result.
func (c *conn) respondEmpty() { c.respond(http.StatusOK, 0, []byte(`{}`)) }

// respond sends one complete response in one piece. Where the process retires, it is the
// connection's last unless the client is in the middle of a result or has pipelined more.
func (c *conn) respond(status int, retryAfter time.Duration, body []byte) {
	if c.ended {
		return
	}
	retiring := c.front.shutdown.draining || c.front.shutdown.closeAfterResponse
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

// encodeRows writes rows of tab-separated columns as arrays of strings. nextPage is the path of the
// result's next page, or "".
func encodeRows(rows lineproto.Rows, nextPage string) []byte {
	// The extra half is for quotes, commas and brackets, and the constant for the envelope.
	const envelope = 64
	size := envelope
	for _, chunk := range rows {
		size += len(chunk) + len(chunk)/2
	}
	b := append(make([]byte, 0, size), '{')
	if nextPage != "" {
		b = append(b, `"more":`...)
		b = appendString(b, []byte(nextPage))
		b = append(b, ',')
	}
	b = append(b, `"result":[`...)
	first := true
	for _, chunk := range rows {
		for len(chunk) > 0 {
			var row []byte
			row, chunk, _ = bytes.Cut(chunk, []byte{'\n'})
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

func encodeFault(text string) []byte {
	b := appendString([]byte(`{"fault":`), []byte(text))
	return append(b, '}')
}

// appendString writes a JSON string. Only what JSON needs escaped is, and all other bytes stay as
// they are.
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
