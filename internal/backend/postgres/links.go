// Package pg carries attempts to engines that speak the PostgreSQL wire protocol:
// one attempt at a time on a connection, which is used again.
package postgres

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"

	"github.com/xdg-go/scram"
)

const (
	// MaxResultBytes bounds the rows of one result, which is held until it is whole.
	MaxResultBytes = 4 << 20
	// usualHeld bounds the rows of all results on their way where the options don't.
	usualHeld = 48 << 20
	// stallMost is how long an engine may send nothing in the middle of a message.
	stallMost  = 2 * time.Second
	maxMessage = MaxResultBytes
	maxNamed   = 32      // statements that stay prepared on one connection
	maxKept    = 4 << 10 // and the length of each: their texts are kept
	maxBuffer  = maxMessage + 64<<10
	cancelTime = time.Second
)

// Options say how engines are spoken to.
type Options struct {
	User, Database   string
	Password         string          // for engines that want SCRAM-SHA-256; "": none
	TLS              *tls.Config     // nil: connections are not encrypted; else an engine that declines is not spoken to
	ConnectTimeout   time.Duration   // for the connection and its startup together
	Pool             connpool.Limits // of the connections to each engine
	MaxBufferedBytes int             // bytes of rows of all results that are on their way
}

var (
	_ core.Links          = (*Backend)(nil)
	_ core.StreamingLinks = (*Backend)(nil)
)

// Backend holds the connections to all engines.
type Backend struct {
	loop    *netio.Loop
	core    *core.Core
	opts    Options
	stats   *metrics.Counters
	log     *slog.Logger
	engines *backend.EngineSet[*link]
	places  map[string]*place
	size    int           // of the rows on their way
	prover  *scram.Client // keeps what it has worked out for each engine's salt; nil: no password
}

// New returns links that report to the core.
func New(loop *netio.Loop, c *core.Core, opts Options, counters *metrics.Counters, l *slog.Logger) *Backend {
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = time.Second
	}
	if opts.MaxBufferedBytes <= 0 {
		opts.MaxBufferedBytes = usualHeld
	}
	ls := &Backend{loop: loop, core: c, opts: opts, stats: counters, log: l, engines: backend.NewEngineSet[*link](), places: map[string]*place{}}
	if opts.Password != "" {
		var err error
		if ls.prover, err = scram.SHA256.NewClient("", opts.Password, ""); err != nil { // its text is no password: engines will say so
			l.Error("engine.password", "error", err)
		}
	}
	return ls
}

// link is one connection, from the start of its dial.
type link struct {
	all     *Backend
	engine  *backend.Engine[*link]
	place   *place
	free    bool        // the pool counts on it
	conn    *netio.Conn // nil until it is up
	ready   bool        // its startup is over
	asking  bool        // whether it takes TLS
	proving *scram.ClientConversation
	retired bool
	used    time.Duration
	stall   *timerqueue.Entry // ends it in the middle of a message
	end     core.Outcome      // why it is being closed from here
	key     []byte            // process and secret, as a CancelRequest wants them
	named   map[string]string // statements that stay prepared here: their names by text and types
	last    int               // number of the last name given

	attempt *core.Attempt
	ticket  *connpool.Ticket // the attempt's
	written bool
	using   string // text and types of the attempt's statement, where it has a name
	parsing string // the name that this attempt's Parse gives
	result  *pgproto.Result
	bound   bool              // BindComplete has come: it may be running
	begins  int               // completions of a transaction's beginning that come ahead of the answer
	clean   bool              // DISCARD ALL is under way: nobody may use it yet
	goes    bool              // the attempt has had an answer, and goes on
	dropped bool              // the attempt is given up, and its end is waited for
	applied map[string]string // settings of its session, by name
	whole   bool              // CommandComplete or the like has come
	failure *pgproto.Error
}

// Owner is the attempt that the connection carries; nil: none.
func (l *link) Owner() *core.Attempt { return l.attempt }

func (ls *Backend) dial(e *backend.Engine[*link]) *link {
	l := &link{all: ls, engine: e, place: ls.place(e.ID), named: map[string]string{}, applied: map[string]string{}}
	e.Connections = append(e.Connections, l)
	ls.stats.Add("links.dialed")
	by := ls.loop.Now() + ls.opts.ConnectTimeout
	ls.loop.Dial(e.Addr, ls.opts.ConnectTimeout, maxBuffer, l, func(c *netio.Conn, err error) {
		if err != nil {
			l.lost(backend.DialOutcome(err))
			return
		}
		l.conn = c
		if ls.opts.TLS != nil {
			l.asking = true
			c.Write(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil))
		} else {
			l.greet()
		}
		ls.loop.Timers.Add(by, func() { // one that accepts and then says nothing
			if !l.ready && l.conn != nil {
				l.close(core.OutcomeConnectTimeout)
			}
		})
	})
	return l
}

// write sends the statement in one piece: parsed where this connection has not
// prepared it yet, bound, described and run.
func (l *link) write() {
	s := l.statement()
	if s == nil || !l.all.core.BeginWrite(l.attempt) {
		l.finish(core.OutcomeNotSent, core.Report{})
		return
	}
	l.written = true
	name, b := l.prepare(s)
	if s.BeginQuery != "" {
		l.begins = 1
		b = append(ahead(nil, s.BeginQuery), b...)
	}
	if !l.goes {
		b = append(l.settle(s.Settings), b...)
	}
	if s.DescribeOnly {
		b = pgproto.AppendMessage(b, 'D', []byte("S"), name)
	} else {
		b = pgproto.AppendMessage(b, 'B', []byte{0}, name, s.Bind)
		b = pgproto.AppendMessage(b, 'D', []byte("P\x00"))
		b = pgproto.AppendMessage(b, 'E', []byte("\x00"), pgproto.Int32(0))
	}
	if l.conn.Write(pgproto.AppendMessage(b, 'S')) || l.goes {
		return
	}
	l.written, l.retired = false, true // the connection has ended: it has never run
	l.finish(core.OutcomeNotSent, core.Report{})
}

// fresh makes room for the next answer.
func (l *link) fresh() {
	l.result, l.bound, l.begins, l.whole, l.failure = &pgproto.Result{}, false, 0, false, nil
}

// ahead adds the messages of what runs ahead of a statement. No Sync follows: what is behind them runs
// only if they do.
func ahead(b []byte, text string) []byte {
	b = pgproto.AppendMessage(b, 'P', []byte{0}, pgproto.CString(text), []byte{0, 0})
	b = pgproto.AppendMessage(b, 'B', []byte{0, 0}, make([]byte, 6))
	return pgproto.AppendMessage(b, 'E', []byte{0}, pgproto.Int32(0))
}

// settle is the messages that give the session the settings that a statement runs under, and take
// back those of others: none, where it has them.
func (l *link) settle(want []pgproto.Setting) (b []byte) {
	if len(want) == 0 && len(l.applied) == 0 { // nearly all
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(l.applied)) {
		if !slices.ContainsFunc(want, func(s pgproto.Setting) bool { return s.Name == name }) {
			b = ahead(b, "RESET "+name)
			l.begins++
			delete(l.applied, name)
		}
	}
	for _, s := range want {
		if l.applied[s.Name] != s.Text {
			b = ahead(b, s.Text)
			l.begins++
			l.applied[s.Name] = s.Text
		}
	}
	return b
}

// Continue puts the next statement of a transaction on its connection.
func (ls *Backend) Continue(a *core.Attempt) {
	l, ok := a.LinkState.(*link)
	if !ok || l.attempt != a || l.conn == nil { // its end is on its way
		return
	}
	l.fresh()
	l.write()
}

// tidy has a connection forget what a transaction has left in its session, before another
// client's statement comes on it. Guards against settings and temporary things of one client
// that another would see.
func (l *link) tidy() {
	if l.retired || l.conn == nil {
		return
	}
	clear(l.named)
	clear(l.applied)
	l.clean = true
	l.conn.Write(pgproto.AppendMessage(nil, 'Q', pgproto.CString("DISCARD ALL")))
	l.all.loop.Timers.Add(l.all.core.Now()+l.all.opts.ConnectTimeout, func() {
		if l.clean {
			l.close(core.OutcomeIdleClosed)
		}
	})
}

// prepare names the statement, and has it parsed if it has no name here yet. A long
// one, one past maxNamed and one of a transaction go without: in a transaction a name that the
// engine has dropped would be its end.
func (l *link) prepare(s *pgproto.Statement) (name, out []byte) {
	if l.attempt.Request.Streaming {
		l.using, l.parsing = "", ""
		return []byte{0}, pgproto.AppendMessage(nil, 'P', []byte{0}, pgproto.CString(s.Query), s.ParameterTypes)
	}
	key := s.Query + "\x00" + string(s.ParameterTypes)
	l.using, l.parsing = key, ""
	if known, ok := l.named[key]; ok {
		return pgproto.CString(known), nil
	}
	if len(l.named) < maxNamed && len(key) <= maxKept {
		l.last++
		l.parsing = "s" + strconv.Itoa(l.last)
	}
	name = pgproto.CString(l.parsing)
	return name, pgproto.AppendMessage(nil, 'P', name, pgproto.CString(s.Query), s.ParameterTypes)
}

// stale tells that an error concerns a name from an earlier attempt: the engine has
// dropped it, or what it stands for has changed. Both show before BindComplete, so
// nothing has run, and without the name the statement may well do.
func (l *link) stale(code string) bool {
	_, reused := l.named[l.using]
	if !reused || l.bound || l.parsing != "" || code != "26000" && code != "0A000" {
		return false
	}
	delete(l.named, l.using)
	return true
}

// Cancel gives an attempt up. Where it was written, the engine is told on a
// connection of its own, and the link is not used again: the word could arrive
// late and end whatever ran there next.
func (ls *Backend) Cancel(a *core.Attempt) bool {
	if w, ok := a.LinkState.(*waiter); ok {
		w.leave()
		return true
	}
	l, ok := a.LinkState.(*link)
	switch {
	case !ok || l.attempt != a:
		return true
	case l.dropped:
		return false
	case l.written && a.MustAwaitEngine() && l.conn != nil && !l.retired && l.key != nil:
		l.dropped, l.retired = true, true // the answer, or the connection's end, tells that it is over
		l.cancel()
		return false
	}
	l.clear()
	if !l.written { // it is still being opened, for whoever comes next
		ls.next(l.engine.ID)
		return true
	}
	l.close(core.OutcomeCancelled)
	l.cancel()
	return true
}

// cancel has the engine end what runs on the link.
func (l *link) cancel() {
	ls := l.all
	ls.stats.Add("links.cancelled")
	if l.key == nil {
		return
	}
	key := l.key
	ls.loop.Dial(l.engine.Addr, min(ls.opts.ConnectTimeout, cancelTime), maxBuffer, silent{}, func(c *netio.Conn, err error) {
		if err == nil {
			c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, key))
			c.Close()
		}
	})
}

type silent struct{} // of a connection for a CancelRequest

func (silent) Data(_ *netio.Conn, in *netio.Buffer) { in.Consume(in.Len()) }
func (silent) Closed(*netio.Conn, error)            {}

// SetPriority does nothing: this protocol knows no priority.
func (ls *Backend) SetPriority(*core.Attempt, int) {}

// Retire has the link take no more.
func (l *link) Retire() {
	l.retired = true
	l.taken()
	if (l.attempt == nil || l.dropped) && l.conn != nil {
		l.close(core.OutcomeIdleClosed)
	}
}

func (l *link) close(why core.Outcome) {
	if l.end == core.OutcomeUnknown {
		l.end = why
	}
	l.retired = true
	l.taken()
	if l.conn != nil {
		l.conn.Close()
	}
}

// Data reads the messages that are whole.
func (l *link) Data(_ *netio.Conn, in *netio.Buffer) {
	if l.asking {
		l.encrypt(in)
		return
	}
	for l.end == core.OutcomeUnknown {
		kind, body, n, err := pgproto.ReadMessage(in.Bytes(), maxMessage)
		if err == nil && n > 0 {
			err = l.message(kind, body, in.Bytes()[:n])
			in.Consume(n)
		}
		if err != nil {
			l.spoilt(err)
			return
		}
		if n == 0 {
			break
		}
	}
	l.stall.Stop()
	if in.Len() > 0 && l.end == core.OutcomeUnknown {
		l.stall = l.all.loop.Timers.Add(l.all.loop.Now()+stallMost, func() {
			l.spoilt(errors.New("a message stopped in the middle"))
		})
	}
}

// spoilt ends the link on what can't be read, and what is open on it.
func (l *link) spoilt(err error) {
	if l.conn == nil || l.end != core.OutcomeUnknown {
		return
	}
	l.all.log.Warn("engine.unreadable", "engine", l.engine.ID, "error", err)
	l.close(core.OutcomeUnreadable)
}

func (l *link) message(kind byte, body, whole []byte) error {
	switch kind {
	case 'S':
		if s := l.statement(); s != nil && s.ChangedSetting != "" && l.begins == 0 { // else it is of the session, which no client owns
			l.result.ParameterStatus = append(l.result.ParameterStatus, whole...)
		}
		return nil
	case 'N', 'A': // notices are, too
		return nil
	case 'E':
		e, err := pgproto.ReadError(body)
		if err != nil {
			return err
		}
		l.failure = e
		if l.begins > 0 { // what its session has now isn't known
			l.retired = true
		}
		if !l.ready || e.Severity == "FATAL" {
			l.fatal()
		}
		return nil
	case 'Z':
		return l.idle(body)
	}
	if !l.ready {
		return l.startup(kind, body)
	}
	if l.clean {
		return nil
	}
	if l.attempt == nil {
		return fmt.Errorf("message %q on an idle connection", kind)
	}
	return l.part(kind, body, whole)
}

func (l *link) startup(kind byte, body []byte) error {
	switch kind {
	case 'R':
		return l.authenticate(body)
	case 'K':
		l.key = append([]byte{}, body...)
	default:
		return fmt.Errorf("message %q during the startup", kind)
	}
	return nil
}

// part takes one message of an answer.
func (l *link) part(kind byte, body, whole []byte) error {
	r := l.result
	switch kind {
	case '1':
		if l.parsing != "" {
			l.named[l.using] = l.parsing
		}
	case '2':
		l.bound = true
	case '3':
	case 't':
		r.ParameterDescription = append([]byte{}, body...)
	case 'T':
		r.RowDescription = append([]byte{}, body...)
	case 'n':
		r.RowDescription = nil
	case 'D':
		switch {
		case len(r.Rows)+len(whole) > MaxResultBytes:
			l.stop("54000", fmt.Sprintf("the result is larger than %d bytes", MaxResultBytes))
			return nil
		case l.all.size+len(whole) > l.all.opts.MaxBufferedBytes:
			l.stop("53200", "the gateway holds too many results")
			return nil
		}
		r.Rows = append(r.Rows, whole...)
		l.all.size += len(whole)
		r.RowCount++
	case 'C':
		if l.begins > 0 { // of the transaction, not of its statement
			l.begins--
			l.bound = false
			return nil
		}
		tag := pgproto.Reader{Rest: body}
		r.Tag, l.whole = tag.CString(), true
		if !tag.Complete() {
			return fmt.Errorf("%w: CommandComplete", pgproto.ErrMalformed)
		}
	case 'I':
		r.EmptyQuery, l.whole = true, true
	default:
		return fmt.Errorf("message %q in an answer", kind)
	}
	return nil
}

// stop ends an attempt whose answer is still coming, and is too large.
func (l *link) stop(code, text string) {
	a := l.attempt
	l.all.Cancel(a)
	l.all.core.EndAttempt(a, core.OutcomeResultTooLarge, core.Report{EngineError: &pgproto.Error{Severity: "ERROR", Code: code, Message: text}})
}

// statement is what the attempt on the link runs; nil: there is none.
func (l *link) statement() *pgproto.Statement {
	if l.attempt == nil {
		return nil
	}
	s, _ := l.attempt.Request.Statement.(*pgproto.Statement)
	return s
}

// clear takes the link's attempt off it.
func (l *link) clear() {
	if l.result != nil {
		l.all.size -= len(l.result.Rows)
	}
	if l.ticket != nil {
		l.place.pool.Release(l.all.core.Now(), l.ticket)
	}
	l.attempt, l.ticket, l.result, l.failure = nil, nil, nil, nil
}

// fatal ends the connection on an error that the engine ends it on.
func (l *link) fatal() {
	end := errorEnd(l.failure.Code)
	switch {
	case !l.written && end != core.OutcomeEngineFull: // no word on the statement: it was not sent
		end = core.OutcomeConnectionRefused
	case l.written && end != core.OutcomeTimeout: // between a commit and its word anything may be true
		end = core.OutcomeEngineError
	}
	l.close(end)
}

// idle takes a ReadyForQuery: the startup, or an answer, is over.
func (l *link) idle(body []byte) error {
	stream := l.attempt != nil && l.attempt.Request.Streaming
	switch {
	case len(body) != 1 || !l.ready && body[0] != 'I' || body[0] != 'I' && !stream:
		return errors.New("its session is left in a transaction")
	case l.clean && l.failure != nil:
		return l.failure
	case l.clean:
		l.clean, l.used = false, l.all.core.Now()
		l.rest()
		return nil
	case body[0] != 'I':
		return l.goesOn()
	}
	if !l.ready {
		l.ready = true
		l.used = l.all.core.Now()
		l.watchIdle()
		l.watchAge()
		if l.attempt != nil {
			l.write()
		} else {
			l.rest()
		}
		l.all.ahead(l.engine.ID)
		return nil
	}
	if l.attempt == nil {
		return errors.New("word of an answer on an idle connection")
	}
	s := l.statement()
	switch {
	case l.failure != nil && s.EndsTransaction: // it was rolled back, and the engine says why
		l.finish(core.OutcomeStatementRejected, core.Report{EngineError: l.failure})
	case l.failure != nil && l.stale(l.failure.Code):
		l.finish(core.OutcomeNotSent, core.Report{})
	case l.failure != nil:
		l.finish(l.errorEnd(s), core.Report{EngineError: l.failure})
	case l.whole || s.DescribeOnly && l.result.ParameterDescription != nil:
		l.finish(core.OutcomeServed, core.Report{Result: l.result})
	default:
		return errors.New("an answer without an end")
	}
	return nil
}

// goesOn passes on an answer within a transaction: a result, or the error that has failed it.
func (l *link) goesOn() error {
	if l.failure == nil && !l.whole {
		return errors.New("an answer without an end")
	}
	rep := core.Report{Result: l.result}
	if l.failure != nil {
		rep = core.Report{EngineError: l.failure}
	}
	l.all.size -= len(l.result.Rows)
	l.fresh()
	l.goes = true
	l.all.core.RelayPart(l.attempt, rep)
	return nil
}

// errorEnd sorts the error that ended the link's attempt. Of what runs once at most, an
// engine that was short of something in the middle has done some of it for good where
// that is outside its transaction (a sequence, say): no other is asked.
func (l *link) errorEnd(s *pgproto.Statement) core.Outcome {
	end := errorEnd(l.failure.Code)
	class, _ := l.all.core.Class(l.attempt.Request.Class)
	if end == core.OutcomeEngineFull && class.Idempotency == policy.NotIdempotent && !s.DescribeOnly {
		return core.OutcomeEngineError
	}
	return end
}

// errorEnd sorts an engine's errors. What the engine is short of, or that it is
// about to stop, is no answer to the statement: another engine may serve it. A
// fault of the statement's own would be the same everywhere.
func errorEnd(code string) core.Outcome {
	switch code[:2] {
	case "53":
		return core.OutcomeEngineFull
	case "57":
		switch code {
		case "57P03", "57P01": // starting or stopping; a statement that ran is rolled back
			return core.OutcomeEngineFull
		case "57014":
			return core.OutcomeTimeout
		}
		return core.OutcomeEngineError
	case "08", "40", "58", "XX", "F0":
		return core.OutcomeEngineError
	}
	return core.OutcomeStatementRejected
}

func (l *link) finish(end core.Outcome, rep core.Report) {
	a, s := l.attempt, l.statement()
	if l.dropped && end != core.OutcomeServed {
		end = core.OutcomeCancelled
	}
	if s != nil && s.ChangedSetting != "" && end == core.OutcomeServed {
		l.applied[s.ChangedSetting] = s.Query
	}
	l.clear()
	l.used = l.all.core.Now()
	switch {
	case l.retired:
		l.close(core.OutcomeIdleClosed)
	case a.Request.Streaming || s != nil && s.TaintsSession:
		l.tidy()
	default:
		l.rest()
	}
	l.all.core.EndAttempt(a, end, rep)
}

// Closed ends what was open on the link.
func (l *link) Closed(*netio.Conn, error) {
	switch {
	case l.end != core.OutcomeUnknown:
	case l.attempt == nil:
		l.end = core.OutcomeIdleClosed
	case !l.written: // its startup was cut off: nothing of the attempt was sent
		l.end = core.OutcomeConnectionRefused
	default:
		l.end = core.OutcomeConnectionReset
	}
	l.lost(l.end)
}

func (l *link) lost(end core.Outcome) {
	was := l.ready
	l.retired, l.conn, l.ready = true, nil, false
	l.taken()
	l.place.pool.ConnectionClosed()
	l.stall.Stop()
	l.all.stats.Add("links.ended." + end.String())
	l.engine.Remove(l)
	if a := l.attempt; a != nil {
		if l.dropped {
			end = core.OutcomeCancelled
		}
		var rep core.Report
		if l.failure != nil {
			rep.EngineError = l.failure
		}
		l.clear()
		l.all.core.EndAttempt(a, end, rep)
	}
	l.all.next(l.engine.ID)
	if was { // else nobody listens there, and asking at once would go on for ever
		l.all.ahead(l.engine.ID)
	}
}
