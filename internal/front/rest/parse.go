package rest

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHead = 16 << 10
	maxBody = 96 << 10
	maxCall = maxHead + maxBody
)

// call is one HTTP request.
type call struct {
	method, path string
	head         map[string]string // fields that are used, by name in lower case
	body         []byte            // within the buffer
	close        bool              // the client wants the connection closed
}

// fault is bad input: a status and a plain message.
type fault struct {
	status int
	text   string
}

func (f *fault) Error() string { return f.text }

func bad(format string, args ...any) *fault { return &fault{400, fmt.Sprintf(format, args...)} }

// fields are the header fields that are read; all others are passed by.
var fields = map[string]bool{
	"content-length": true, "transfer-encoding": true, "connection": true, "req-id": true, "req-wait-ms": true,
	"req-retry": true, "req-token": true, "req-cost": true, "req-kb": true,
}

// parse reads one call; n is 0 while it is not whole.
func parse(b []byte) (c call, n int, f *fault) {
	end := bytes.Index(b[:min(len(b), maxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= maxHead {
			return c, 0, &fault{431, "the head of the request is too large"}
		}
		return c, 0, nil
	}
	// Guards against heads that others would read otherwise: a line that ends in a
	// lone CR or LF could hide a field.
	if bytes.ContainsAny(bytes.ReplaceAll(b[:end], []byte("\r\n"), nil), "\r\n\x00") {
		return c, 0, bad("a line of the head has a stray CR, LF or NUL")
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || words[0] == "" || !strings.HasPrefix(words[1], "/") {
		return c, 0, bad("malformed request line")
	}
	if words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
		return c, 0, &fault{505, "only HTTP/1.1 is spoken here"}
	}
	c = call{method: words[0], path: words[1], head: map[string]string{}, close: words[2] == "HTTP/1.0"}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return c, 0, bad("malformed header field")
		}
		name = strings.ToLower(name)
		if !fields[name] {
			continue
		}
		if _, twice := c.head[name]; twice {
			return c, 0, bad("header field %s came twice", name)
		}
		c.head[name] = strings.Trim(value, " \t")
	}
	// Also an empty one: beside a Content-Length its body might hide another request.
	if _, ok := c.head["transfer-encoding"]; ok {
		return c, 0, &fault{501, "transfer encodings are not taken; send Content-Length"}
	}
	c.close = c.close || strings.EqualFold(c.head["connection"], "close")
	length := uint64(0)
	if text, ok := c.head["content-length"]; ok {
		var err error
		if length, err = strconv.ParseUint(text, 10, 63); err != nil {
			return c, 0, bad("Content-Length is no number")
		}
	}
	if length > maxBody {
		return c, 0, &fault{413, "the body of the request is too large"}
	}
	if length == 0 && c.method == "POST" {
		return c, 0, &fault{411, "a POST without a statement"}
	}
	start := end + 4
	n = start + int(length)
	if len(b) < n {
		return c, 0, nil
	}
	c.body = b[start:n]
	return c, n, nil
}

// begins tells whether what follows a call can be the start of another. Where it
// can't, the call's length was wrong, and so is its statement.
func begins(b []byte) bool {
	for _, method := range []string{"GET /", "POST /", "DELETE /"} {
		if n := min(len(b), len(method)); string(b[:n]) == method[:n] {
			return true
		}
	}
	return false
}
