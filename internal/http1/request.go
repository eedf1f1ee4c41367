// Package http1 reads requests of HTTP/1.1 from a connection's buffer and encodes responses. It
// accepts less than the standard (RFC 9112) allows, and nothing that others could read otherwise.
package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxHeadSize = 16 << 10 // bytes
	maxBodySize = 96 << 10 // bytes
	// MaxRequestSize bounds a complete request, in bytes.
	MaxRequestSize = maxHeadSize + maxBodySize
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Request is one HTTP request.
type Request struct {
	Method string
	Path   string
	Header map[string]string // the fields that are used, by name in lower case
	Body   []byte            // within the buffer
	Close  bool              // the client wants the connection closed
}

// usedFields are the header fields that are read; all others are skipped.
var usedFields = map[string]bool{
	"content-length": true, "transfer-encoding": true, "connection": true, "req-id": true, "req-wait-ms": true,
	"req-retry": true, "req-token": true, "req-cost": true, "req-kb": true, "req-key": true,
}

// ParseRequest reads one request. size is its length in bytes, and 0 while it is not complete.
func ParseRequest(b []byte) (r Request, size int, fault *StatusError) {
	end := bytes.Index(b[:min(len(b), maxHeadSize)], headEnd)
	if end < 0 {
		if len(b) >= maxHeadSize {
			return r, 0, NewStatusError(http.StatusRequestHeaderFieldsTooLarge, "the head of the request is too large")
		}
		return r, 0, nil
	}
	r, fault = parseHead(b[:end])
	if fault != nil {
		return r, 0, fault
	}
	length, fault := r.bodyLength()
	if fault != nil {
		return r, 0, fault
	}
	start := end + len(headEnd)
	size = start + length
	if len(b) < size {
		return r, 0, nil
	}
	r.Body = b[start:size]
	return r, size, nil
}

// parseHead reads the request line and the header.
func parseHead(head []byte) (r Request, fault *StatusError) {
	// Guards against heads that others would read otherwise: a line that ends in a
	// lone CR or LF could hide a field.
	if bytes.ContainsAny(bytes.ReplaceAll(head, lineEnd, nil), "\r\n\x00") {
		return r, BadRequest("a line of the head has a stray CR, LF or NUL")
	}
	lines := strings.Split(string(head), "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || words[0] == "" || !strings.HasPrefix(words[1], "/") {
		return r, BadRequest("malformed request line")
	}
	version := words[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return r, NewStatusError(http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	}
	header, fault := parseHeader(lines[1:])
	r = Request{Method: words[0], Path: words[1], Header: header}
	r.Close = version == "HTTP/1.0" || strings.EqualFold(header["connection"], "close")
	return r, fault
}

// parseHeader reads the fields that are used.
func parseHeader(lines []string) (map[string]string, *StatusError) {
	header := map[string]string{}
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return header, BadRequest("malformed header field")
		}
		name = strings.ToLower(name)
		if !usedFields[name] {
			continue
		}
		if _, repeated := header[name]; repeated {
			return header, BadRequest("header field %s came twice", name)
		}
		header[name] = strings.Trim(value, " \t")
	}
	return header, nil
}

// bodyLength returns how many bytes of a body follow the head.
func (r *Request) bodyLength() (int, *StatusError) {
	// Also an empty one: next to a Content-Length its body might hide another request.
	if _, ok := r.Header["transfer-encoding"]; ok {
		return 0, NewStatusError(http.StatusNotImplemented, "transfer encodings are not taken; send Content-Length")
	}
	length := uint64(0)
	if text, ok := r.Header["content-length"]; ok {
		var err error
		length, err = strconv.ParseUint(text, 10, 63)
		if err != nil {
			return 0, BadRequest("Content-Length is no number")
		}
	}
	if length > maxBodySize {
		return 0, NewStatusError(http.StatusRequestEntityTooLarge, "the body of the request is too large")
	}
	if length == 0 && r.Method == http.MethodPost {
		return 0, NewStatusError(http.StatusLengthRequired, "a POST without a body")
	}
	return int(length), nil
}

// StartsRequest reports whether what follows a request can be the start of another. Where it
// can't, the request's length was wrong, and so is its statement.
func StartsRequest(b []byte) bool {
	for _, start := range []string{"GET /", "POST /", "DELETE /"} {
		n := min(len(b), len(start))
		if string(b[:n]) == start[:n] {
			return true
		}
	}
	return false
}
