package http1

import (
	"slices"
	"strconv"
	"time"
)

// maxResponseHead is enough for the head of any response, in bytes.
const maxResponseHead = 160

// reasons are the reason phrases of the statuses that are sent. They are not net/http's, whose words for 413 differ
// and may change.
var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// Response is one HTTP response.
type Response struct {
	Status      int
	ContentType string
	// RetryAfter goes into the field Srv-Wait-Ms, in whole milliseconds rounded up. 0: there is no such field.
	RetryAfter time.Duration
	// Close is set where the connection ends after the response.
	Close bool
	Body  []byte
}

// Append adds the encoded response to b.
func (r Response) Append(b []byte) []byte {
	b = slices.Grow(b, maxResponseHead+len(r.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[r.Status]...)
	b = append(b, "\r\nContent-Type: "...)
	b = append(b, r.ContentType...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	b = append(b, "\r\n"...)
	if r.RetryAfter > 0 {
		milliseconds := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
		b = append(b, "Srv-Wait-Ms: "...)
		b = strconv.AppendInt(b, int64(milliseconds), 10)
		b = append(b, "\r\n"...)
	}
	if r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}
