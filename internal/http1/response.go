package http1

import (
	"slices"
	"strconv"
	"time"
)

// maxResponseHead is the capacity in bytes that is reserved for the status line and header of a
// response; it is enough for any response.
const maxResponseHead = 160

// reasonPhrases holds the reason phrase of each status code that is sent. http.StatusText is not
// used because its phrase for 413 differs and its texts may change.
var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// Response is one HTTP response.
type Response struct {
	Status      int    // status code; must have an entry in reasonPhrases
	ContentType string // value of the Content-Type field
	// RetryAfter is sent in the header field Srv-Wait-Ms in milliseconds, rounded up. Zero omits the field.
	RetryAfter time.Duration
	// Close adds "Connection: close": the server closes the connection after this response.
	Close bool
	Body  []byte
}

// Append appends the encoded response to b and returns the extended buffer.
func (r Response) Append(b []byte) []byte {
	b = slices.Grow(b, maxResponseHead+len(r.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
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
