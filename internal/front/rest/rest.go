// Package rest is the platform's front: HTTP/1.1 calls of clients, one at a time
// on a connection.
package rest

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/engine/lines"
	"gannetspur/internal/netio"
	"gannetspur/internal/sqltext"
	"gannetspur/internal/stats"
	"gannetspur/policy"
)

const (
	pagePart = 16 << 10 // rows of about this size go into one answer
	heldMost = 16 << 20 // of results waiting to be fetched, in bytes
	heldOver = time.Second
	mostWait = 10 * time.Minute
	// idleMost is how long a connection may go without a whole call; clients close
	// theirs sooner. Guards against peers that take descriptors and say nothing.
	idleMost = 30 * time.Second
)

// Front accepts clients.
type Front struct {
	loop  *netio.Loop
	core  *core.Core
	stats *stats.Counters
	boot  string // tells paths of this start from those of others

	listener net.Listener
	conns    map[*conn]struct{}
	held     map[string]*held
	heldSize int
	seq      uint64
	draining bool
}

// held is a result of more than one page that the client has not fetched whole.
type held struct {
	pages []lines.Rows
	size  int
	whole bool // the last part was given at least once
}

// New returns a front that puts its requests to the core.
func New(loop *netio.Loop, c *core.Core, counters *stats.Counters) *Front {
	return &Front{
		loop: loop, core: c, stats: counters, boot: strconv.FormatInt(int64(c.Now()), 36),
		conns: map[*conn]struct{}{}, held: map[string]*held{},
	}
}

// Listen accepts at the address.
func (f *Front) Listen(addr string) error {
	ln, err := f.loop.Listen(addr, maxCall, func(c *netio.Conn) netio.Handler {
		f.stats.Add("rest.connections")
		k := &conn{front: f, conn: c, used: f.loop.Now()}
		f.conns[k] = struct{}{}
		return k
	})
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	f.listener = ln
	f.sweepIdle()
	return nil
}

func (f *Front) sweepIdle() {
	now := f.loop.Now()
	for k := range f.conns {
		if k.request == nil && now-k.used > idleMost {
			f.stats.Add("rest.idle-closed")
			k.conn.Close()
		}
	}
	f.loop.Timers.Add(now+idleMost/4, f.sweepIdle)
}

// Addr is where clients connect.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// CloseListener takes no new connections; those that are open go on.
func (f *Front) CloseListener() { _ = f.listener.Close() }

// Drain closes each connection as soon as nothing is open on it.
func (f *Front) Drain() {
	f.draining = true
	for k := range f.conns {
		if k.request == nil && !k.further {
			k.conn.Close()
		}
	}
}

// Idle tells whether all clients have had all of their answers.
func (f *Front) Idle() bool {
	for _, h := range f.held {
		if !h.whole {
			return false
		}
	}
	return len(f.conns) == 0
}

// conn is one client connection.
type conn struct {
	front   *Front
	conn    *netio.Conn
	request *core.Request // taken and not answered
	used    time.Duration // its latest call or answer
	further bool          // its latest answer named a further part
	close   bool          // after the answer
	ended   bool          // nothing more is read
}

// Data reads calls until one waits for its answer.
func (k *conn) Data(_ *netio.Conn, in *netio.Buffer) {
	for k.request == nil && !k.ended {
		c, n, bad := parse(in.Bytes())
		if bad != nil {
			k.close = true
			k.refuse(bad)
			return
		}
		if n == 0 {
			return
		}
		k.close, k.further, k.used = c.close, false, k.front.loop.Now()
		k.call(c)
		in.Consume(n)
	}
	k.conn.Hold(k.request != nil)
}

// Closed tells the core that the client has stopped waiting.
func (k *conn) Closed(_ *netio.Conn, _ error) {
	k.ended = true
	delete(k.front.conns, k)
	if r := k.request; r != nil {
		k.request = nil
		k.front.core.Gone(r)
	}
}

func (k *conn) call(c call) {
	class, isClass := strings.CutPrefix(c.path, "/rpc/")
	var bad *fault
	switch {
	case c.method == "GET" && c.path == "/health":
		k.write(200, 0, []byte(`{}`))
	case isClass && c.method == "POST":
		bad = k.take(class[strings.LastIndexByte(class, '/')+1:], c)
	case isClass:
		bad = &fault{405, "statements come by POST"}
	case strings.HasPrefix(c.path, "/more/") && c.method == "GET":
		bad = k.more(c.path)
	case strings.HasPrefix(c.path, "/more/") && c.method == "DELETE":
		if !k.front.release(pathOf(c.path)) {
			bad = gone()
			break
		}
		k.write(200, 0, []byte(`{}`))
	default:
		bad = &fault{404, "no such path"}
	}
	if bad != nil {
		k.refuse(bad)
	}
}

func gone() *fault { return &fault{404, "nothing is held under this path"} }

// take puts a statement to the core, or tells what is wrong with the call.
func (k *conn) take(name string, c call) *fault {
	f := k.front
	class, ok := f.core.Class(name)
	if !ok {
		return &fault{404, "no such class"}
	}
	id := c.head["req-id"]
	if len(id) != 16 || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return bad("Req-Id: not 16 hex digits")
	}
	wait, err := strconv.ParseFloat(c.head["req-wait-ms"], 64)
	if err != nil || !(wait > 0) || math.IsInf(wait, 0) {
		return bad("Req-Wait-Ms: not a number of milliseconds")
	}
	r := &core.Request{
		ID: id, Class: name, Statement: string(c.body), Repeat: c.head["req-retry"] == "1", Client: k,
		Deadline: f.core.Now() + min(config.FromMS(min(wait, 1e9)), mostWait),
	}
	var cost float64
	for _, v := range []struct {
		name string
		to   *float64
	}{{"Req-Cost", &cost}, {"Req-Kb", &r.MemoryMB}} {
		text := c.head[strings.ToLower(v.name)]
		if text == "" {
			continue
		}
		if *v.to, err = strconv.ParseFloat(text, 64); err != nil || !(*v.to >= 0) || *v.to > 1e9 {
			return bad("%s: not a number from 0", v.name)
		}
	}
	r.Work = config.FromMS(cost)
	if class.Effect == policy.Keyed {
		r.Token = c.head["req-token"]
		if !isToken(r.Token) { // without its key nothing would drop a repeat
			return bad("Req-Token: missing or not of 1 to 64 letters, digits, - and _")
		}
	}
	r.Set, _ = sqltext.Group(string(c.body))
	k.request = r
	f.core.Take(r)
	return nil
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 64
}

// Answer writes the final answer.
func (k *conn) Answer(r *core.Request, a core.Answer) {
	k.request, k.used = nil, k.front.loop.Now()
	switch a.Verdict {
	case core.Served:
		rows, _ := a.Result.(lines.Rows)
		k.rows(r, rows)
	case core.Refused:
		k.write(503, a.ComeBack, []byte(`{"fault":"Busy"}`))
	default:
		k.write(500, 0, []byte(`{"fault":"Failed"}`))
	}
	k.conn.Hold(false)
	if !k.ended {
		k.conn.Again() // a further call may be in the buffer
	}
}

// rows writes the first part of a result and holds the rest for the client to
// fetch; a small one goes whole.
func (k *conn) rows(r *core.Request, rows lines.Rows) {
	f := k.front
	parts := split(rows)
	size := 0
	for _, p := range rows {
		size += len(p)
	}
	if len(parts) < 2 || f.heldSize+size > heldMost || f.draining {
		k.write(200, 0, encode(rows, ""))
		return
	}
	f.seq++
	path := fmt.Sprintf("/more/%s-%d", f.boot, f.seq)
	f.held[path] = &held{pages: parts, size: size}
	f.heldSize += size
	f.loop.Timers.Add(r.Deadline+heldOver, func() { f.release(path) })
	k.further = true
	k.write(200, 0, encode(parts[0], path+"/1"))
}

func split(rows lines.Rows) (parts []lines.Rows) {
	size := 0
	for _, p := range rows {
		if len(parts) == 0 || size+len(p) > pagePart {
			parts, size = append(parts, nil), 0
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], p)
		size += len(p)
	}
	return parts
}

// pathOf is a path without its page.
func pathOf(path string) string { return path[:strings.LastIndexByte(path, '/')] }

// more answers with a further part. All stay until the request's deadline: a call
// whose connection broke is made again.
func (k *conn) more(path string) *fault {
	f, at := k.front, pathOf(path)
	h := f.held[at]
	n, err := strconv.Atoi(path[len(at)+1:])
	if h == nil || err != nil || n < 1 || n >= len(h.pages) {
		return gone()
	}
	next := ""
	if n+1 < len(h.pages) {
		next = fmt.Sprintf("%s/%d", at, n+1)
	}
	h.whole = h.whole || next == ""
	k.further = next != ""
	k.write(200, 0, encode(h.pages[n], next))
	return nil
}

func (f *Front) release(path string) bool {
	h := f.held[path]
	if h == nil {
		return false
	}
	delete(f.held, path)
	f.heldSize -= h.size
	return true
}

func (k *conn) refuse(bad *fault) {
	k.front.stats.Add("rest.bad-calls")
	k.write(bad.status, 0, encodeFault(bad.text))
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// write sends one whole response in one piece.
func (k *conn) write(status int, comeBack time.Duration, body []byte) {
	if k.ended {
		return
	}
	k.close = k.close || k.front.draining && !k.further
	b := make([]byte, 0, 160+len(body))
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reasons[status]...), "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(body)), 10), "\r\n"...)
	if comeBack > 0 {
		ms := (comeBack + time.Millisecond - 1) / time.Millisecond
		b = append(strconv.AppendInt(append(b, "Srv-Wait-Ms: "...), int64(ms), 10), "\r\n"...)
	}
	if k.close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(append(b, "\r\n"...), body...)
	k.conn.Write(b)
	if k.close {
		k.ended = true
		k.conn.Close()
	}
}

// encode writes rows of tab-separated columns as arrays of strings.
func encode(rows lines.Rows, more string) []byte {
	size := 64
	for _, p := range rows {
		size += len(p) + len(p)/2
	}
	b := append(make([]byte, 0, size), '{')
	if more != "" {
		b = append(appendString(append(b, `"more":`...), []byte(more)), ',')
	}
	b = append(b, `"result":[`...)
	first := true
	for _, page := range rows {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{'\n'})
			if !first {
				b = append(b, ',')
			}
			first = false
			b = append(b, '[')
			for i, column := range bytes.Split(row, []byte{'\t'}) {
				if i > 0 {
					b = append(b, ',')
				}
				b = appendString(b, column)
			}
			b = append(b, ']')
		}
	}
	return append(b, "]}"...)
}

func encodeFault(text string) []byte {
	return append(appendString([]byte(`{"fault":`), []byte(text)), '}')
}

// appendString writes a JSON string and leaves all bytes as they are but those
// that JSON needs escaped.
func appendString(b, s []byte) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < 0x20:
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
