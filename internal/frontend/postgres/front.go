// Package pgwire is the front for clients that speak the PostgreSQL wire protocol
// with extended queries. Each bound execution is one request to the core, with
// one final answer: a completion or one ErrorResponse.
package postgres

import (
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/loginlimit"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/sqltext"
	"gannetspur/internal/timerqueue"
)

const (
	maxMessage = 1 << 20
	maxBuffer  = maxMessage + 64<<10
	maxParams  = 65535
	// startupMost is how long a connection may take to start, and stallMost how long
	// it may send nothing in the middle of a message.
	startupMost = 2 * time.Second
	stallMost   = 2 * time.Second
	// spareClients is how many may connect past the limit, to cancel or to be told.
	spareClients = 16
	maxNamed     = 1000 // statements, and portals, of one connection
	// slowReader is how much may wait to be sent before no more messages are
	// taken. Guards against a client that asks and does not read.
	slowReader = 1 << 20
	// usualHeld bounds the rows of all open portals where the options don't.
	usualHeld = 32 << 20
)

// Options come from the deploy file.
type Options struct {
	DefaultClass           string
	WriteClass             string            // of what may write and has no class of its own; "": refused
	ReadOnlyFunctions      sqltext.Functions // that the operators know to read only
	Rules                  []Rule
	Shapes                 *queryshape.Service // classes and estimates by the shapes of statements; nil: off
	MaxClients             int                 // connections at once; 0: no limit of its own
	MaxHeldBytes           int                 // bytes of rows in all open portals together
	Users                  *scramauth.Users    // who may log in, by password; nil: everybody, unasked
	TLS                    *tls.Config         // nil: encryption is declined
	RequireTLS             bool                // nobody is let in without
	IdleTransactionTimeout time.Duration       // a transaction's client may say nothing for so long; 0: 10 s
	TransactionTimeout     time.Duration       // and the whole may take so long; 0: 60 s
}

// Frontend accepts clients.
type Frontend struct {
	loop     *netio.Loop
	core     *core.Core
	opts     Options
	stats    *metrics.Counters
	listener *netio.Listener
	conns    map[uint32]*conn // by the process number that each was told
	last     uint32
	throttle *loginlimit.Limiter
	held     int // bytes of rows in open portals
	draining bool
	accepted func(*netio.Conn)
	stray    func([]byte)
}

// New returns a front that puts its requests to the core.
func New(loop *netio.Loop, c *core.Core, opts Options, counters *metrics.Counters) *Frontend {
	f := &Frontend{loop: loop, core: c, stats: counters, throttle: loginlimit.New(loginlimit.Defaults()), conns: map[uint32]*conn{}}
	f.SetOptions(opts)
	return f
}

// Listen accepts at the address.
func (f *Frontend) Listen(addr string) error {
	ln, err := netio.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for PostgreSQL clients: %w", err)
	}
	f.ListenOn(ln)
	return nil
}

// ListenOn accepts from a listener, which another process may have opened.
func (f *Frontend) ListenOn(ln *netio.Listener) {
	most := f.opts.MaxClients
	if most > 0 {
		most += spareClients
	}
	f.listener = ln
	f.loop.Serve(ln, maxBuffer, most, f.accept)
}

// Listener is where it accepts.
func (f *Frontend) Listener() *netio.Listener { return f.listener }

func (f *Frontend) accept(c *netio.Conn) netio.Handler {
	f.stats.Add("pgwire.connections")
	f.last++
	k := f.enter(c, f.last)
	if f.accepted != nil {
		f.accepted(c)
	}
	return k
}

// enter makes a connection that has not started.
func (f *Frontend) enter(c *netio.Conn, process uint32) *conn {
	k := &conn{front: f, conn: c, process: process, statements: map[string]*statement{}, portals: map[string]*portal{}}
	f.conns[k.process] = k
	f.loop.Timers.Add(f.loop.Now()+startupMost, func() {
		if !k.started && !k.ended {
			c.Close()
		}
	})
	return k
}

// SetOptions changes the options, for statements prepared and clients that connect
// from now on.
func (f *Frontend) SetOptions(opts Options) {
	if opts.MaxHeldBytes <= 0 {
		opts.MaxHeldBytes = usualHeld
	}
	f.opts = opts
}

// Addr is where clients connect.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// CloseListener takes no new connections; those that are open go on.
func (f *Frontend) CloseListener() { _ = f.listener.Close() }

// Drain closes each connection as soon as nothing is open on it.
func (f *Frontend) Drain() {
	f.draining = true
	for _, k := range f.conns {
		if k.request == nil && k.tx == nil { // a transaction has until the process ends
			k.fatal(stopping())
		}
	}
}

// CloseUnmovable closes each connection that can't be given to another process, as soon as nothing is
// open on it.
func (f *Frontend) CloseUnmovable() {
	for _, k := range f.conns {
		if !k.conn.UsesTLS() {
			continue
		}
		if k.leaving = true; k.request == nil && k.tx == nil && k.started {
			k.fatal(stopping())
		}
	}
}

// Idle tells whether no client is left.
func (f *Frontend) Idle() bool { return len(f.conns) == 0 }

func stopping() *pgproto.Error { return fail("57P01", "the gateway is stopping") }

type statement struct {
	sorted
	query   string
	types   []byte // as in Parse
	empty   bool
	taints  bool                  // it may leave a setting in its engine's session
	control string                // BEGIN, COMMIT or the like: it is about the transaction
	read    *queryshape.Statement // where shapes are read
	known   *pgproto.Result       // its description, once an engine gave it
}

type portal struct {
	statement *statement
	bind      []byte        // past the names, as it came
	binds     sqltext.Binds // the values, within bind
	token     string
	result    *pgproto.Result // whole, once it has run
	given     int             // rows passed on
	rest      []byte          // rows not passed on
	over      bool            // its completion was passed on
}

var _ core.StreamingClient = (*conn)(nil)

// conn is one client connection.
type conn struct {
	front    *Frontend
	conn     *netio.Conn
	process  uint32
	secret   [4]byte
	user     string
	login    *scramauth.Login // under way
	proving  bool             // its first message has come
	started  bool
	ended    bool
	timeout  time.Duration     // statement_timeout; 0: the class's
	settings []pgproto.Setting // by name; what is out keeps the slice it has

	statements map[string]*statement
	portals    map[string]*portal
	skip       bool              // after an error, to Sync
	simple     bool              // the open request came by Query
	describing string            // portal whose description waits for what follows
	describe   bool              // and whether there is one
	out        []byte            // answers not yet written
	stall      *timerqueue.Entry // ends a connection in the middle of a message
	request    *core.Request
	then       func(core.Answer)
	ending     bool         // its last words are being written
	leaving    bool         // it ends once nothing is open on it
	tx         *transaction // nil: none is open
	left       *core.Orphan // of the request that comes first, where a process that died had it
}

// Data reads messages until one waits for its answer.
func (k *conn) Data(_ *netio.Conn, in *netio.Buffer) {
	for k.request == nil && !k.ended {
		if k.conn.Pending() > slowReader {
			k.conn.WhenWritten(k.conn.ScheduleData)
			break
		}
		more, err := false, error(nil)
		if k.started {
			more, err = k.next(in)
		} else {
			more, err = k.startup(in)
		}
		if err != nil {
			k.front.stats.Add("pgwire.malformed")
			var e *pgproto.Error
			if !errors.As(err, &e) {
				e = fail("08P01", "%v", err)
			}
			k.fatal(e)
			return
		}
		if !more {
			break
		}
	}
	k.stall.Stop()
	if k.request == nil && !k.ended && in.Len() > 0 && k.conn.Pending() <= slowReader {
		k.stall = k.front.loop.Timers.Add(k.front.loop.Now()+stallMost, func() {
			k.front.stats.Add("pgwire.stalled")
			k.fatal(fail("08P01", "a message stopped in the middle"))
		})
	}
	k.conn.LimitReadAhead(k.request != nil)
	k.left = nil
	k.flush()
}

func (k *conn) flush() {
	if len(k.out) > 0 && !k.ended {
		k.conn.Write(k.out)
	}
	k.out = k.out[:0]
	if cap(k.out) > 64<<10 {
		k.out = nil
	}
}

// Closed tells the core that the client has stopped waiting. What it sent ahead
// and was not taken yet is dropped with the connection.
func (k *conn) Closed(_ *netio.Conn, _ error) {
	k.ended = true
	k.stall.Stop()
	delete(k.front.conns, k.process)
	k.dropPortals()
	k.abandon()
	k.tx = nil
	if r := k.request; r != nil {
		k.request, k.then = nil, nil
		k.front.core.ClientDisconnected(r)
	}
}

func (k *conn) fatal(e *pgproto.Error) {
	if k.ended {
		return
	}
	e.Severity = "FATAL"
	k.ending = true
	k.out = pgproto.AppendMessage(k.out, 'E', e.Body())
	k.flush()
	k.ended = true
	k.conn.Close()
}

// startup reads one of a connection's first messages. Like next it consumes a message
// before it acts on it: an answer at once stands behind it. Its bytes stay where they are.
func (k *conn) startup(in *netio.Buffer) (more bool, err error) {
	if k.login != nil {
		return k.proof(in)
	}
	if b := in.Bytes(); len(b) > 0 && b[0] == tlsHandshake && k.front.opts.TLS != nil && !k.conn.UsesTLS() {
		k.encrypt(true)
		return false, nil
	}
	code, body, n, err := pgproto.ReadStartup(in.Bytes())
	if err != nil || n == 0 {
		return false, err
	}
	in.Consume(n)
	switch {
	case code == pgproto.SSLRequest && k.front.opts.TLS != nil && !k.conn.UsesTLS():
		if in.Len() > 0 { // what came before the handshake could be another's than what comes in it (CVE-2021-23222)
			return false, fail("08P01", "received unencrypted data after SSL request")
		}
		k.out = append(k.out, 'S')
		k.flush()
		k.encrypt(false)
		return false, nil
	case code == pgproto.SSLRequest || code == pgproto.GSSENCRequest:
		k.out = append(k.out, 'N')
	case code == pgproto.CancelRequest:
		k.front.cancel(body)
		k.ended = true
		k.conn.Close()
	case code>>16 != pgproto.Version>>16:
		return false, fmt.Errorf("protocol version %d.%d is not supported", code>>16, code&0xffff)
	default:
		return true, k.begin(code, body)
	}
	return true, nil
}

func (k *conn) begin(code uint32, body []byte) error {
	r := pgproto.Reader{Rest: body}
	var unknown [][]byte
	user := ""
	for {
		name := r.CString()
		if name == "" {
			break
		}
		value := r.CString()
		switch {
		case strings.HasPrefix(name, "_pq_."):
			unknown = append(unknown, pgproto.CString(name))
		case name == "user":
			user = value
		case name == "statement_timeout":
			if e := k.setTimeout(value); e != nil {
				return e
			}
		case name == "options":
			if e := k.setOptions(value); e != nil {
				return e
			}
		}
	}
	if !r.Complete() {
		return fmt.Errorf("%w: the startup packet", pgproto.ErrMalformed)
	}
	if user == "" {
		k.fatal(fail("28000", "no user name in the startup packet"))
		return nil
	}
	if f := k.front; f.opts.MaxClients > 0 && len(f.conns) > f.opts.MaxClients {
		k.fatal(fail("53300", "too many clients already"))
		return nil
	}
	if k.front.opts.RequireTLS && !k.conn.UsesTLS() {
		k.fatal(fail("28000", "this gateway takes encrypted connections only"))
		return nil
	}
	k.user = user
	if code > pgproto.Version || len(unknown) > 0 {
		parts := append([][]byte{pgproto.Int32(0), pgproto.Int32(len(unknown))}, unknown...)
		k.out = pgproto.AppendMessage(k.out, 'v', parts...)
	}
	if k.front.opts.Users != nil {
		return k.askPassword()
	}
	k.welcome()
	return nil
}

// welcome ends a startup well.
func (k *conn) welcome() {
	k.started = true
	k.out = pgproto.AppendMessage(k.out, 'R', pgproto.Int32(0))
	for _, p := range [][2]string{
		{"server_version", "16.0 (ringwood)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"TimeZone", "UTC"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		k.out = pgproto.AppendMessage(k.out, 'S', pgproto.CString(p[0]), pgproto.CString(p[1]))
	}
	_, _ = rand.Read(k.secret[:]) // it never fails
	k.out = pgproto.AppendMessage(k.out, 'K', binary.BigEndian.AppendUint32(nil, k.process), k.secret[:])
	k.ready()
}

// setOptions takes the server options of a startup packet, as in
// "-c statement_timeout=5s". Others are passed by.
func (k *conn) setOptions(text string) error {
	words := strings.Fields(text)
	for i, w := range words {
		switch {
		case w == "-c" && i+1 < len(words):
			w = words[i+1]
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		case strings.HasPrefix(w, "--"):
			w = w[2:]
		default:
			continue
		}
		name, value, _ := strings.Cut(w, "=")
		if strings.ReplaceAll(name, "-", "_") == "statement_timeout" {
			return asError(k.setTimeout(value))
		}
	}
	return nil
}

func asError(e *pgproto.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// setTimeout takes a time as PostgreSQL writes it: milliseconds, or with a unit.
func (k *conn) setTimeout(text string) *pgproto.Error {
	text = strings.Trim(strings.TrimSpace(text), "'")
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyz ")
	units := map[string]time.Duration{
		"": time.Millisecond, "us": time.Microsecond, "ms": time.Millisecond, "s": time.Second,
		"min": time.Minute, "h": time.Hour, "d": 24 * time.Hour,
	}
	unit, ok := units[strings.TrimSpace(text[len(digits):])]
	n, err := strconv.ParseUint(digits, 10, 31)
	if strings.EqualFold(text, "default") {
		ok, err, n = true, nil, 0
	}
	if !ok || err != nil {
		return fail("22023", "invalid value for parameter \"statement_timeout\": %q", text)
	}
	k.timeout = time.Duration(n) * unit
	return nil
}

// cancel ends what is open on the connection that a CancelRequest names.
func (f *Frontend) cancel(body []byte) {
	if len(body) != 8 {
		return
	}
	k := f.conns[binary.BigEndian.Uint32(body)]
	if k == nil && f.stray != nil {
		f.stray(append([]byte(nil), body...))
	}
	if k == nil || k.request == nil || subtle.ConstantTimeCompare(k.secret[:], body[4:]) != 1 {
		return
	}
	f.stats.Add("pgwire.cancels")
	r := k.request
	k.request, k.then = nil, nil
	e := fail("57014", "canceling statement due to user request")
	if f.core.InDoubt(r) {
		e = inDoubt()
	}
	if k.tx != nil && k.tx.request == r { // with its connection all of it is rolled back, unless it was committing
		if k.tx.ending {
			e = fail("40003", "canceled while it committed; the transaction may have run")
		} else {
			e = fail("57014", "canceling statement due to user request")
		}
		k.tx.request, k.tx.then, k.tx.failed = nil, nil, true
		if k.tx.ending {
			k.close()
		} else {
			k.rest()
		}
	}
	f.core.ClientDisconnected(r)
	k.failed(e)
	k.resume()
}

func (k *conn) dropPortals() {
	for _, p := range k.portals {
		k.front.held -= len(p.rest)
	}
	clear(k.portals)
}

// resume goes on with what the client sent ahead.
func (k *conn) resume() {
	k.flush()
	k.conn.LimitReadAhead(false)
	if !k.ended {
		k.conn.ScheduleData()
	}
}

func (k *conn) ready() {
	k.out = pgproto.AppendMessage(k.out, 'Z', []byte{k.status()})
	if k.tx == nil && (k.front.draining || k.leaving) {
		k.fatal(stopping())
	}
}

// failed answers with the one ErrorResponse of a message; what follows is
// skipped to the next Sync, or, after a Query, nothing is.
func (k *conn) failed(e *pgproto.Error) {
	k.front.stats.Add("pgwire.errors." + e.Code)
	k.out = pgproto.AppendMessage(k.out, 'E', e.Body())
	switch {
	case k.tx == nil:
	case k.tx.implicit: // nothing of its message stays
		k.abandon()
		k.close()
	default:
		k.tx.failed = true
	}
	if k.simple {
		k.simple = false
		k.ready()
		return
	}
	k.skip = true
}

var errKind = errors.New("a message of a kind that no client sends")

// kinds are the messages of a client after its startup.
var kinds = []byte("PBDECHSQXFdcfp")

// next reads one message.
func (k *conn) next(in *netio.Buffer) (more bool, err error) {
	b := in.Bytes()
	if len(b) > 0 && !slices.Contains(kinds, b[0]) {
		return false, errKind
	}
	kind, body, n, err := pgproto.ReadMessage(b, maxMessage)
	if err != nil || n == 0 {
		return false, err
	}
	if k.conn.HasJournal() {
		k.flush() // before this message is consumed: what is written stands for those before it alone
	}
	if k.describe {
		if again := k.described(kind, body); again { // this message comes again after the description
			return false, nil
		}
		if k.skip && kind != 'S' && kind != 'X' {
			in.Consume(n)
			return true, nil
		}
	}
	in.Consume(n)
	switch {
	case kind == 'X':
		k.flush() // answers to what it sent ahead of it
		k.ended = true
		k.conn.Close()
	case kind == 'S':
		if k.skip = false; k.tx == nil {
			k.dropPortals() // the end of the transaction that the batch stood for
		}
		k.ready()
	case k.skip:
	default:
		if e := k.message(kind, body); e != nil {
			k.failed(e)
		}
	}
	return true, nil
}

func (k *conn) message(kind byte, body []byte) *pgproto.Error {
	switch kind {
	case 'P':
		return k.parse(body)
	case 'B':
		return k.bind(body)
	case 'D':
		return k.describeMessage(body)
	case 'E':
		return k.execute(body)
	case 'C':
		return k.closeMessage(body)
	case 'Q':
		return k.query(body)
	case 'F': // it has no Sync behind it, as a Query has none
		k.simple = true
		return fail("0A000", "function calls are not supported")
	case 'p':
		return fail("08P01", "no password was asked for")
	}
	return nil // Flush: all is written anyway; copy data after a refused COPY is passed by
}
