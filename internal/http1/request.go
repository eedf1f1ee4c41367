// Package http1 parses HTTP/1.1 requests from a connection's buffer and encodes responses. It
// accepts a strict subset of RFC 9112 and rejects every request that another implementation could
// interpret differently.
package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxHeadSize = 16 << 10 // bytes of request line and header
	// maxFieldName is the length of the longest recognized name of a header field, in bytes.
	maxFieldName = 17
	maxBodySize  = 96 << 10 // bytes
	// MaxRequestSize is the maximum size of a complete request in bytes.
	MaxRequestSize = maxHeadSize + maxBodySize
)

var (
	endOfLine = []byte("\r\n")
	endOfHead = []byte("\r\n\r\n")
)

// Request is one parsed HTTP request.
type Request struct {
	Method string
	Path   string            // request target as sent; starts with "/"
	Header map[string]string // values of the recognized header fields by lower-case name
	Body   []byte            // part of the buffer given to ParseRequest, not a copy
	Close  bool              // the connection closes after the response: the client asks for it or uses HTTP/1.0
}

// recognizedFields are the lower-case names of the header fields that are kept; all others are ignored.
var recognizedFields = map[string]bool{
	"content-length": true, "transfer-encoding": true, "connection": true, "req-id": true, "req-wait-ms": true,
	"req-retry": true, "req-token": true, "req-cost": true, "req-kb": true, "req-key": true,
}

// Parser parses the requests of one connection. It keeps what it has read of a request that is not complete yet, so
// that the time for a request does not depend on the number of pieces in which it arrives. The zero value is ready
// for use.
type Parser struct {
	searched int     // bytes of the buffer that do not contain the end of the head
	head     Request // the request without its body, once its head is complete
	start    int     // offset of the body; 0 while the head is not complete
	size     int     // size of the whole request, valid once the head is complete
}

// Parse parses the first request in b. size is the length of the request in bytes, or 0 if b does not hold a complete
// request yet or the request is invalid. Until it returns a request or an error, b must begin with the bytes of the
// previous call.
func (p *Parser) Parse(b []byte) (r Request, size int, statusErr *StatusError) {
	if p.start == 0 {
		if statusErr = p.parseHead(b); statusErr != nil || p.start == 0 {
			return Request{}, 0, statusErr
		}
	}
	if len(b) < p.size {
		return Request{}, 0, nil
	}
	r = p.head
	r.Body = b[p.start:p.size]
	size = p.size
	*p = Parser{}
	return r, size, nil
}

// parseHead parses the head of the first request in b if it is complete.
func (p *Parser) parseHead(b []byte) *StatusError {
	searchable := b[:min(len(b), maxHeadSize)]
	end := bytes.Index(searchable[p.searched:], endOfHead)
	if end < 0 {
		p.searched = max(len(searchable)-len(endOfHead)+1, 0)
		if len(b) >= maxHeadSize {
			return NewStatusError(http.StatusRequestHeaderFieldsTooLarge, "the head of the request is too large")
		}
		return nil
	}
	end += p.searched
	head, statusErr := parseHead(b[:end])
	if statusErr != nil {
		return statusErr
	}
	length, statusErr := head.bodyLength()
	if statusErr != nil {
		return statusErr
	}
	p.head = head
	p.start = end + len(endOfHead)
	p.size = p.start + length
	return nil
}

// ParseRequest parses the first request in b. size is the length of the request in bytes, or 0 if
// b does not hold a complete request yet or the request is invalid.
func ParseRequest(b []byte) (r Request, size int, statusErr *StatusError) {
	return new(Parser).Parse(b)
}

// parseHead parses the request line and the header.
func parseHead(head []byte) (r Request, statusErr *StatusError) {
	// Some implementations accept a lone CR or LF as the end of a line, so that a field hidden
	// behind one would be seen by them and not here.
	if bytes.ContainsAny(bytes.ReplaceAll(head, endOfLine, nil), "\r\n\x00") {
		return r, BadRequest("a line of the head has a stray CR, LF or NUL")
	}
	line, rest, _ := bytes.Cut(head, endOfLine)
	words := strings.Split(string(line), " ")
	if len(words) != 3 || words[0] == "" || !strings.HasPrefix(words[1], "/") {
		return r, BadRequest("malformed request line")
	}
	version := words[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return r, NewStatusError(http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	}
	header, statusErr := parseHeader(rest)
	r = Request{Method: words[0], Path: words[1], Header: header}
	r.Close = version == "HTTP/1.0" || strings.EqualFold(header["connection"], "close")
	return r, statusErr
}

// parseHeader returns the values of the recognized header fields. lines holds the lines of the header, without the
// last line end.
func parseHeader(lines []byte) (map[string]string, *StatusError) {
	header := map[string]string{}
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, endOfLine)
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return header, BadRequest("malformed header field")
		}
		if len(name) > maxFieldName {
			continue
		}
		key := strings.ToLower(string(name))
		if !recognizedFields[key] {
			continue
		}
		if _, repeated := header[key]; repeated {
			return header, BadRequest("header field %s came twice", key)
		}
		header[key] = string(bytes.Trim(value, " \t"))
	}
	return header, nil
}

// bodyLength returns the length in bytes of the body that follows the head.
func (r *Request) bodyLength() (int, *StatusError) {
	// An empty Transfer-Encoding is rejected as well: another implementation might ignore the
	// Content-Length next to it and find a second request in the body (request smuggling).
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

// StartsRequest reports whether the bytes that follow a request can be the start of another one. If
// they cannot, the Content-Length of the request was wrong and its statement was cut at the wrong place.
func StartsRequest(b []byte) bool {
	for _, start := range []string{"GET /", "POST /", "DELETE /"} {
		n := min(len(b), len(start))
		if string(b[:n]) == start[:n] {
			return true
		}
	}
	return false
}
