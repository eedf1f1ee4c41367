// Package http1 reads calls of HTTP/1.1 out of a connection's buffer and words answers. It
// takes less than the standard (RFC 9112) allows, and what others could read otherwise not at all.
package http1

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxHead = 16 << 10
	maxBody = 96 << 10
	// MaxRequestSize bounds a whole call, in bytes.
	MaxRequestSize = maxHead + maxBody
)

// Request is one HTTP request.
type Request struct {
	Method, Path string
	Header       map[string]string // fields that are used, by name in lower case
	Body         []byte            // within the buffer
	Close        bool              // the client wants the connection closed
}

// StatusError is bad input: a status and a plain message.
type StatusError struct {
	Status  int
	Message string
}

func (f *StatusError) Error() string { return f.Message }

// BadRequest is a fault of status 400.
func BadRequest(format string, args ...any) *StatusError { return NewStatusError(400, format, args...) }

// NewStatusError is a fault of any status.
func NewStatusError(status int, format string, args ...any) *StatusError {
	return &StatusError{Status: status, Message: fmt.Sprintf(format, args...)}
}

// fields are the header fields that are read; all others are passed by.
var fields = map[string]bool{
	"content-length": true, "transfer-encoding": true, "connection": true, "req-id": true, "req-wait-ms": true,
	"req-retry": true, "req-token": true, "req-cost": true, "req-kb": true, "req-key": true,
}

// ParseRequest reads one call; n is 0 while it is not whole.
func ParseRequest(b []byte) (c Request, n int, f *StatusError) {
	end := bytes.Index(b[:min(len(b), maxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= maxHead {
			return c, 0, NewStatusError(431, "the head of the request is too large")
		}
		return c, 0, nil
	}
	// Guards against heads that others would read otherwise: a line that ends in a
	// lone CR or LF could hide a field.
	if bytes.ContainsAny(bytes.ReplaceAll(b[:end], []byte("\r\n"), nil), "\r\n\x00") {
		return c, 0, BadRequest("a line of the head has a stray CR, LF or NUL")
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || words[0] == "" || !strings.HasPrefix(words[1], "/") {
		return c, 0, BadRequest("malformed request line")
	}
	if words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
		return c, 0, NewStatusError(505, "only HTTP/1.1 is spoken here")
	}
	c = Request{Method: words[0], Path: words[1], Header: map[string]string{}, Close: words[2] == "HTTP/1.0"}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return c, 0, BadRequest("malformed header field")
		}
		name = strings.ToLower(name)
		if !fields[name] {
			continue
		}
		if _, twice := c.Header[name]; twice {
			return c, 0, BadRequest("header field %s came twice", name)
		}
		c.Header[name] = strings.Trim(value, " \t")
	}
	// Also an empty one: beside a Content-Length its body might hide another request.
	if _, ok := c.Header["transfer-encoding"]; ok {
		return c, 0, NewStatusError(501, "transfer encodings are not taken; send Content-Length")
	}
	c.Close = c.Close || strings.EqualFold(c.Header["connection"], "close")
	length := uint64(0)
	if text, ok := c.Header["content-length"]; ok {
		var err error
		if length, err = strconv.ParseUint(text, 10, 63); err != nil {
			return c, 0, BadRequest("Content-Length is no number")
		}
	}
	if length > maxBody {
		return c, 0, NewStatusError(413, "the body of the request is too large")
	}
	if length == 0 && c.Method == "POST" {
		return c, 0, NewStatusError(411, "a POST without a body")
	}
	start := end + 4
	n = start + int(length)
	if len(b) < n {
		return c, 0, nil
	}
	c.Body = b[start:n]
	return c, n, nil
}

// StartsRequest tells whether what follows a call can be the start of another. Where it
// can't, the call's length was wrong, and so is its statement.
func StartsRequest(b []byte) bool {
	for _, method := range []string{"GET /", "POST /", "DELETE /"} {
		if n := min(len(b), len(method)); string(b[:n]) == method[:n] {
			return true
		}
	}
	return false
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// Response is one response.
type Response struct {
	Status      int
	ContentType string        // of the body
	RetryAfter  time.Duration // Srv-Wait-Ms: how long to stay away; 0: unsaid
	Close       bool          // the connection ends behind it
	Body        []byte
}

// Append words the response in one piece.
func (a Response) Append(b []byte) []byte {
	b = slices.Grow(b, 160+len(a.Body))
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(a.Status), 10)
	b = append(append(append(b, ' '), reasons[a.Status]...), "\r\nContent-Type: "...)
	b = append(append(b, a.ContentType...), "\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(a.Body)), 10), "\r\n"...)
	if a.RetryAfter > 0 {
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		b = append(strconv.AppendInt(append(b, "Srv-Wait-Ms: "...), int64(ms), 10), "\r\n"...)
	}
	if a.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), a.Body...)
}
