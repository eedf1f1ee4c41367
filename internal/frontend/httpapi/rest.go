// Package rest is the platform's front: HTTP/1.1 calls of clients, one at a time
// on a connection.
package httpapi

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

const (
	pagePart = 64 << 10 // rows of about this size go into one answer
	heldOver = time.Second
	mostWait = 10 * time.Minute
	mostWork = 24 * time.Hour // that an estimate may tell
	mostMB   = 1e9
	// callWithin lets clients that take 2 s to write a call through, and tells those that never
	// end one within the 3 s that they are owed.
	callWithin = 2600 * time.Millisecond
	// stalledLeast is how long a call that has begun may stand still before its connection may
	// be closed for want of room. Guards against closing clients that write slowly: their
	// pieces come a few times a second, while those that stop half way bring nothing more.
	stalledLeast = 500 * time.Millisecond
	// idleMost is how long a connection is kept after its last call; clients close
	// theirs sooner.
	idleMost = 30 * time.Second
	// idleLeast is how long one is idle before it may be closed for want of room: the
	// client's next call could cross the close.
	idleLeast = 100 * time.Millisecond
	// silentLeast is how long a new connection has for its first words before that.
	silentLeast = 20 * time.Millisecond
	// slowReader is how much may wait to be sent before no more calls are taken.
	// Guards against a client that asks and does not read.
	slowReader = 256 << 10
	// spareClients is how many may be accepted past the limit while others are being
	// closed for them.
	spareClients = 16
)

// Options bound what clients may take.
type Options struct {
	MaxClients     int                 // connections at once; past that the longest idle ones are closed
	MaxHeldBytes   int                 // bytes of results that wait to be fetched
	Shapes         *queryshape.Service // estimates by the shapes of statements; nil: off
	RequestTimeout time.Duration       // a connection's first call, and any that has begun, must be whole
}

// Frontend accepts clients.
type Frontend struct {
	loop  *netio.Loop
	core  *core.Core
	opts  Options
	stats *metrics.Counters
	boot  string // tells paths of this start from those of others

	listener *netio.Listener
	conns    map[*conn]struct{}
	ids      map[string]*conn // of open requests
	held     map[string]*held
	heldSize int
	seq      uint64
	draining bool
	whole    bool // results go in one answer
	parting  bool // each connection ends behind its next answer
	crowded  bool // makeRoom comes again
	accepted func(*netio.Conn)
	shared   func([]byte)
}

// held is a result of more than one page that the client has not fetched whole.
type held struct {
	pages []lineproto.Rows
	size  int
	whole bool // the last part was given at least once
}

// New returns a front that puts its requests to the core.
func New(loop *netio.Loop, c *core.Core, opts Options, counters *metrics.Counters) *Frontend {
	if opts.MaxClients <= 0 {
		opts.MaxClients = 512
	}
	if opts.MaxHeldBytes <= 0 {
		opts.MaxHeldBytes = 16 << 20
	}
	if opts.RequestTimeout <= 0 {
		opts.RequestTimeout = callWithin
	}
	return &Frontend{
		loop: loop, core: c, opts: opts, stats: counters, boot: strconv.FormatInt(int64(c.Now()), 36),
		conns: map[*conn]struct{}{}, ids: map[string]*conn{}, held: map[string]*held{},
	}
}

// Listen accepts at the address.
func (f *Frontend) Listen(addr string) error {
	ln, err := netio.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	f.ListenOn(ln)
	return nil
}

// ListenOn accepts from a listener, which another process may have opened.
func (f *Frontend) ListenOn(ln *netio.Listener) {
	f.listener = ln
	f.loop.Serve(ln, http1.MaxRequestSize, f.opts.MaxClients+spareClients, f.accept)
	f.sweepIdle()
}

// Listener is where it accepts.
func (f *Frontend) Listener() *netio.Listener { return f.listener }

func (f *Frontend) accept(c *netio.Conn) netio.Handler {
	f.stats.Add("rest.connections")
	k := &conn{front: f, conn: c, used: f.loop.Now()}
	f.conns[k] = struct{}{}
	if len(f.conns) > f.opts.MaxClients {
		f.makeRoom()
	}
	k.await()
	if f.accepted != nil {
		f.accepted(c)
	}
	return k
}

func (f *Frontend) sweepIdle() {
	now := f.loop.Now()
	for k := range f.conns {
		if k.request == nil && now-k.used > idleMost {
			f.stats.Add("rest.idle-closed")
			k.end()
		}
	}
	f.loop.Timers.Add(now+idleMost/4, f.sweepIdle)
}

// makeRoom closes the connections that are missed least while there are too many, in order of
// rank and then of time. Guards against clients that connect by the hundred, or ask once and stay: the others would find no
// descriptor left. Where none can be closed yet it comes again: at the most
// connections nothing more is accepted, so nothing else would call it.
func (f *Frontend) makeRoom() {
	for {
		var least *conn
		open, now := 0, f.loop.Now()
		for k := range f.conns {
			if k.ended { // it only waits for its client to read the last answer
				k.conn.Abort()
				continue
			}
			if open++; k.missed(now) {
				continue
			}
			if least == nil || k.rank() < least.rank() || k.rank() == least.rank() && k.used < least.used {
				least = k
			}
		}
		switch {
		case open <= f.opts.MaxClients:
			return
		case least == nil:
			if !f.crowded {
				f.crowded = true
				f.loop.Timers.Add(now+silentLeast, func() { f.crowded = false; f.makeRoom() })
			}
			return
		}
		f.stats.Add("rest.closed-for-room")
		least.end()
	}
}

// missed tells whether a client would notice, or its call be lost, if its connection were
// closed for want of room.
func (k *conn) missed(now time.Duration) bool {
	quiet := now - k.used
	return k.request != nil || k.further || quiet < silentLeast || k.begun && quiet < stalledLeast || k.good && quiet < idleLeast
}

// rank orders connections by how much they are missed: those that have said nothing yet, those
// that stopped in the middle of a call, and those that have made a good one.
func (k *conn) rank() int {
	switch {
	case k.good && !k.begun:
		return 2
	case k.begun:
		return 1
	}
	return 0
}

// Addr is where clients connect.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// CloseListener takes no new connections; those that are open go on.
func (f *Frontend) CloseListener() { _ = f.listener.Close() }

// CloseAfterResponse ends each connection behind its next answer, as its client hears: another process
// takes the next one.
func (f *Frontend) CloseAfterResponse() { f.parting = true }

// SetUnpaged has results go in one answer each, whatever their size: a call for a further part
// may come to another process on a new connection.
func (f *Frontend) SetUnpaged(on bool) { f.whole = on }

// LimitClients bounds how many may be connected at once from now on.
func (f *Frontend) LimitClients(most int) {
	f.opts.MaxClients = max(most, 1)
	f.makeRoom()
}

// Drain ends each connection as soon as nothing is open on it: a call that has begun to come is
// still waited for, and those that a client has written ahead are answered.
func (f *Frontend) Drain() {
	f.draining = true
	for k := range f.conns {
		if k.request == nil && !k.further && !k.begun && !k.ended {
			k.end()
		}
	}
}

// Idle tells whether all clients have had all of their answers.
func (f *Frontend) Idle() bool {
	for _, h := range f.held {
		if !h.whole {
			return false
		}
	}
	return len(f.conns) == 0
}

var (
	_ core.Client             = (*conn)(nil)
	_ core.DisconnectDetector = (*conn)(nil)
)

// conn is one client connection.
type conn struct {
	front   *Frontend
	conn    *netio.Conn
	request *core.Request     // taken and not answered
	used    time.Duration     // the latest that came of a call, or its latest answer
	begun   bool              // a call has come in part
	good    bool              // it has made a good call
	due     *timerqueue.Entry // by when its call must be whole
	further bool              // its latest answer named a further part
	ahead   bool              // something has come behind its latest call
	came    arrivals          // of what is in its buffer
	left    *core.Orphan      // of the call that comes first, where a process that died had it
	close   bool              // after the answer
	ended   bool              // nothing more is read
}

// Data reads calls until one waits for its answer.
func (k *conn) Data(_ *netio.Conn, in *netio.Buffer) {
	k.came.note(in.Taken()+int64(in.Len()), k.front.core.Now())
	for k.request == nil && !k.ended {
		if k.conn.Pending() > slowReader {
			k.conn.WhenWritten(k.conn.ScheduleData)
			return
		}
		c, n, bad := http1.ParseRequest(in.Bytes())
		if bad == nil && n > 0 && n < in.Len() && !http1.StartsRequest(in.Bytes()[n:]) {
			bad = wrongLength()
		}
		if bad != nil {
			k.refuse(bad)
			return
		}
		if n == 0 {
			break
		}
		k.due.Stop()
		k.due = nil
		k.close, k.further, k.used = c.Close, false, k.front.loop.Now()
		in.Consume(n) // before the call, whose bytes stay where they are: an answer at once stands behind it
		k.ahead = in.Len() > 0
		k.call(c, k.came.of(in.Taken()))
	}
	k.left, k.ahead = nil, in.Len() > 0
	if k.begun = k.request == nil && k.ahead; k.begun {
		k.used = k.front.loop.Now()
	}
	if k.request == nil { // what is left is a part of a call, whose last byte is yet to come
		k.came = k.came[:0]
	}
	switch {
	case k.ended:
		in.Consume(in.Len())
	case k.request != nil && in.Len() > 0 && !http1.StartsRequest(in.Bytes()):
		k.leave()
		k.refuse(wrongLength())
	case k.request == nil && k.due == nil && (in.Len() > 0 || !k.good):
		k.await()
	}
	k.conn.LimitReadAhead(k.request != nil)
}

// await has the connection closed unless a call is whole in time. Guards against
// clients that connect and say nothing, or stop in the middle of a call.
func (k *conn) await() {
	k.due = k.front.loop.Timers.Add(k.front.loop.Now()+k.front.opts.RequestTimeout, func() {
		if k.ended {
			return
		}
		k.front.stats.Add("rest.too-slow")
		if k.conn.Unread() == 0 {
			k.end()
		} else {
			k.refuse(http1.NewStatusError(408, "the call was not whole in time"))
		}
	})
}

// Closed tells the core that the client has stopped waiting.
func (k *conn) Closed(_ *netio.Conn, _ error) {
	k.ended = true
	k.due.Stop()
	delete(k.front.conns, k)
	k.leave()
}

// end closes the connection once what was written has been sent. Nothing that comes is read any more.
func (k *conn) end() {
	k.ended = true
	k.due.Stop()
	k.conn.Close()
}

// Disconnected tells whether the client has left, as Closed tells in its turn.
func (k *conn) Disconnected() bool { return k.conn.Disconnected() }

// leave gives an open request up.
func (k *conn) leave() {
	if r := k.request; r != nil {
		k.request = nil
		delete(k.front.ids, r.ID)
		k.front.core.ClientDisconnected(r)
	}
}

func (k *conn) call(c http1.Request, came time.Duration) {
	class, isClass := strings.CutPrefix(c.Path, "/rpc/")
	var bad *http1.StatusError
	switch {
	case c.Method == "GET" && c.Path == "/health":
		k.good = true
		k.write(200, 0, []byte(`{}`))
	case isClass && c.Method == "POST":
		bad = k.take(class[strings.LastIndexByte(class, '/')+1:], c, came)
	case isClass:
		bad = http1.NewStatusError(405, "statements come by POST")
	case strings.HasPrefix(c.Path, "/more/") && c.Method == "GET":
		k.good = true
		k.more(c.Path)
	case strings.HasPrefix(c.Path, "/more/") && c.Method == "DELETE":
		if k.good = true; k.front.release(pathOf(c.Path)) {
			k.write(200, 0, []byte(`{}`))
		} else {
			k.gone()
		}
	default:
		bad = http1.NewStatusError(404, "no such path")
	}
	if bad != nil {
		k.refuse(bad)
	}
}

// gone answers a call for a path that nothing is held under, as after a restart.
func (k *conn) gone() { k.write(404, 0, encodeFault("nothing is held under this path")) }

func wrongLength() *http1.StatusError {
	return http1.BadRequest("what follows the call is no other: Content-Length is wrong")
}

// take puts a statement to the core, or tells what is wrong with the call. came is when its last byte
// did: what a client writes ahead waits here, and its time runs.
func (k *conn) take(name string, c http1.Request, came time.Duration) *http1.StatusError {
	f := k.front
	if k.left != nil && k.left.ReceivedAt > 0 {
		came = k.left.ReceivedAt
	}
	class, ok := f.core.Class(name)
	if !ok {
		return http1.NewStatusError(404, "no such class")
	}
	id := c.Header["req-id"]
	if len(id) != 16 || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return http1.BadRequest("Req-Id: not 16 hex digits")
	}
	if open := f.ids[id]; open != nil { // two under one id could not be told apart at an engine
		if !open.Disconnected() {
			return http1.NewStatusError(409, "Req-Id: a request of this id is open")
		}
		open.leave() // its connection broke, as it will hear in its turn, and this is its client with the same again
	}
	wait, err := strconv.ParseFloat(c.Header["req-wait-ms"], 64)
	if err != nil || !(wait > 0) || wait > ms(mostWait) {
		return http1.BadRequest("Req-Wait-Ms: not a number of milliseconds up to %.0f", ms(mostWait))
	}
	if retry, ok := c.Header["req-retry"]; ok && strings.Trim(retry, "0123456789") != "" {
		return http1.BadRequest("Req-Retry: not a number")
	}
	if !utf8.Valid(c.Body) || bytes.IndexByte(c.Body, 0) >= 0 {
		return http1.BadRequest("the statement is no text in UTF-8")
	}
	text := string(c.Body)
	r := &core.Request{
		ID: id, Class: name, Statement: lineproto.Statement(text), ClientRetry: c.Header["req-retry"] == "1", Client: k,
		Deadline: came + config.FromMS(wait),
	}
	var cost float64
	for _, v := range []struct {
		name string
		to   *float64
		most float64
	}{{"Req-Cost", &cost, ms(mostWork)}, {"Req-Kb", &r.MemoryMB, mostMB}} {
		text, ok := c.Header[strings.ToLower(v.name)]
		if !ok {
			continue
		}
		if *v.to, err = strconv.ParseFloat(text, 64); err != nil || !(*v.to > 0) || *v.to > v.most {
			return http1.BadRequest("%s: not a number above 0, up to %.0f", v.name, v.most)
		}
	}
	r.Work = config.FromMS(cost)
	if class.Idempotency == policy.IdempotentWithKey {
		r.IdempotencyKey = c.Header["req-token"]
		if !isToken(r.IdempotencyKey) { // without its key nothing would drop a repeat
			return http1.BadRequest("Req-Token: missing or not of 1 to 64 letters, digits, - and _")
		}
	}
	if class.Ordered {
		r.SerialKey = c.Header["req-key"]
		if !isToken(r.SerialKey) { // without it nothing would keep its turn
			return http1.BadRequest("Req-Key: missing or not of 1 to 64 letters, digits, - and _")
		}
	}
	if s := f.opts.Shapes; s != nil {
		s.EstimateText(r, text)
	} else {
		r.DataSet, _ = sqltext.TableGroup(text)
	}
	k.request, k.good = r, true
	f.ids[id] = k
	left := k.left
	k.left = nil
	f.core.AcceptOrphan(r, left)
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

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
	delete(k.front.ids, r.ID)
	switch a.Verdict {
	case core.Served:
		rows, _ := a.Result.(lineproto.Rows)
		k.rows(r, rows)
	case core.Rejected:
		k.write(503, a.RetryAfter, []byte(`{"fault":"Busy"}`))
	default:
		k.write(500, 0, []byte(`{"fault":"Failed"}`))
	}
	k.conn.LimitReadAhead(false)
	if !k.ended {
		k.conn.ScheduleData() // a further call may be in the buffer
	}
}

// rows writes the first part of a result and holds the rest for the client to
// fetch; a small one goes whole.
func (k *conn) rows(r *core.Request, rows lineproto.Rows) {
	f := k.front
	parts := split(rows)
	size := 0
	for _, p := range rows {
		size += len(p)
	}
	if len(parts) < 2 || f.heldSize+size > f.opts.MaxHeldBytes || f.draining || f.whole {
		k.write(200, 0, encode(rows, ""))
		return
	}
	f.seq++
	h := heldState{Path: fmt.Sprintf("/more/%s-%d", f.boot, f.seq), Parts: parts, Until: r.Deadline + heldOver}
	f.hold(h)
	f.share(h)
	path := h.Path
	k.further = true
	k.write(200, 0, encode(parts[0], path+"/1"))
}

func split(rows lineproto.Rows) (parts []lineproto.Rows) {
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
func (k *conn) more(path string) {
	f, at := k.front, pathOf(path)
	h := f.held[at]
	n, err := strconv.Atoi(path[len(at)+1:])
	if h == nil || err != nil || n < 1 || n >= len(h.pages) {
		k.gone()
		return
	}
	next := ""
	if n+1 < len(h.pages) {
		next = fmt.Sprintf("%s/%d", at, n+1)
	}
	h.whole = h.whole || next == ""
	k.further = next != ""
	k.write(200, 0, encode(h.pages[n], next))
}

func (f *Frontend) release(path string) bool {
	h := f.held[path]
	if h == nil {
		return false
	}
	delete(f.held, path)
	f.heldSize -= h.size
	return true
}

// refuse answers a bad call and ends the connection: what follows a call that can't
// be read can't be trusted, and who sends bad calls without pause has to connect
// for each.
func (k *conn) refuse(bad *http1.StatusError) {
	k.front.stats.Add("rest.bad-calls")
	k.close = true
	k.write(bad.Status, 0, encodeFault(bad.Message))
}

// write sends one whole response in one piece.
func (k *conn) write(status int, comeBack time.Duration, body []byte) {
	if k.ended {
		return
	}
	k.close = k.close || (k.front.draining || k.front.parting) && !k.further && !k.ahead
	k.conn.Write(http1.Response{Status: status, ContentType: "application/json", RetryAfter: comeBack, Close: k.close, Body: body}.Append(nil))
	if k.close {
		k.end()
	}
}

// encode writes rows of tab-separated columns as arrays of strings.
func encode(rows lineproto.Rows, more string) []byte {
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
