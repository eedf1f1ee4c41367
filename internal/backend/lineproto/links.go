// Package lines carries attempts to engines that speak the platform's line
// protocol: many requests on one connection, answers in any order.
package lineproto

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"gannetspur/internal/backend"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

const (
	maxBuffer = 64 << 10 // of one connection; the rest waits in the socket
	maxPages  = 64
	// maxResult bounds all pages of one result, which may have 48,000 bytes.
	maxResult = 256 << 10
	// pastFor is how long an id that was given up on a connection is not used
	// there again: a late answer to the first would be taken for one to the second.
	pastFor = 30 * time.Second
	// stallMost is how long an answer may stop in the middle: they come in one piece.
	stallMost = 500 * time.Millisecond
	// answerMost is how long an answer may take from its first byte to its last. Guards against one that
	// never ends and never stops: nothing else on its connection would come through.
	answerMost = 4 * stallMost
	// idlePart of the engines' idle time is when an idle connection is closed from
	// here, so that no send crosses a close from there.
	idlePart = 0.8
	// askAgain is how long an engine has to tell that it is through with what was given up, before it is asked
	// once more: any answer may be lost on its way.
	askAgain = time.Second
)

// Rows is a whole result: its pages as the engine sent them, each of whole rows.
type Rows [][]byte

var (
	_ core.Links        = (*Backend)(nil)
	_ core.LoadReporter = (*Backend)(nil)
)

// Backend holds the connections to all engines.
type Backend struct {
	loop    *netio.Loop
	core    *core.Core
	site    config.Site
	stats   *metrics.Counters
	log     *slog.Logger
	engines *backend.EngineSet[*link]
	probes  uint64 // begun
}

// New returns links that report to the core.
func New(loop *netio.Loop, c *core.Core, site config.Site, counters *metrics.Counters, l *slog.Logger) *Backend {
	site.MaxStreams = max(site.MaxStreams, 1)
	if site.ConnectTimeout <= 0 {
		site.ConnectTimeout = 250 * time.Millisecond
	}
	return &Backend{loop: loop, core: c, site: site, stats: counters, log: l, engines: backend.NewEngineSet[*link]()}
}

// link is one connection, from the start of its dial.
type link struct {
	all     *Backend
	engine  *backend.Engine[*link]
	conn    *netio.Conn // nil until it is up
	streams map[string]*stream
	probe   *probe                   // that is out here, or waits for the connection; nil: none
	past    map[string]time.Duration // ids given up here, until then
	oldest  []string                 // the same ids, oldest first
	stall   *timerqueue.Entry        // ends the link in the middle of an answer
	began   time.Duration            // when the answer that has come in part did; 0: there is none
	retired bool                     // takes no more
	used    time.Duration
	end     core.Outcome // why it is being closed from here
}

// Statement is a statement's text.
type Statement string

// SQL is the text.
func (s Statement) SQL() string { return string(s) }

// Size is the number of bytes of all pages.
func (r Rows) Size() (size int) {
	for _, page := range r {
		size += len(page)
	}
	return size
}

// stream is one attempt on a link.
type stream struct {
	attempt *core.Attempt
	link    *link
	written bool
	asked   *timerqueue.Entry // it is given up, and its engine is asked again then whether it is through with it
	pages   Rows
	missing int // pages
	size    int // of those that are here
	report  core.Report
}

// Owner is the attempt of the stream.
func (s *stream) Owner() *core.Attempt { return s.attempt }

// UpdateEngine takes an entry of the roster.
func (ls *Backend) UpdateEngine(e core.Engine) { ls.engines.Update(e) }

// Send begins an attempt on a connection with room, or on a new one.
func (ls *Backend) Send(a *core.Attempt) {
	e := ls.engines.Get(a.Engine)
	if e == nil {
		ls.core.EndAttempt(a, core.OutcomeNoAddress, core.Report{})
		return
	}
	l := room(e, a.Request.ID, ls.site.MaxStreams, ls.core.Now())
	if l == nil {
		l = ls.dial(e)
	}
	s := &stream{attempt: a, link: l}
	a.LinkState = s
	l.streams[a.Request.ID] = s
	l.used = ls.core.Now()
	if l.conn != nil {
		s.want()
	}
}

// room finds a link that can take a request of this id.
func room(e *backend.Engine[*link], id string, most int, now time.Duration) *link {
	for _, l := range e.Connections {
		if l.retired || len(l.streams) >= most || l.streams[id] != nil || now < l.past[id] || l.conn != nil && l.conn.Disconnected() {
			continue
		}
		return l
	}
	return nil
}

func (ls *Backend) dial(e *backend.Engine[*link]) *link {
	l := &link{all: ls, engine: e, streams: map[string]*stream{}, past: map[string]time.Duration{}}
	e.Connections = append(e.Connections, l)
	ls.stats.Add("links.dialed")
	ls.loop.Dial(e.Addr, ls.site.ConnectTimeout, maxBuffer, l, func(c *netio.Conn, err error) {
		if err == nil {
			l.up(c)
			return
		}
		end := backend.DialOutcome(err)
		if end != core.OutcomeConnectionRefused {
			ls.log.Warn("engine.unreachable", "engine", e.ID, "error", err)
		}
		l.lost(end)
	})
	return l
}

func (l *link) up(c *netio.Conn) {
	l.conn = c
	l.wants()
	if l.probe != nil {
		l.probe.write()
	}
	l.closeIfDone()
	l.watchIdle()
}

// wants writes the requests that wait for the connection: to be up, or to take more.
func (l *link) wants() {
	for _, s := range l.inOrder() {
		if l.streams[s.attempt.Request.ID] == s && !s.written { // not given up on word of another's end
			s.want()
		}
	}
}

// inOrder lists the streams in order of their sends: a map has none.
func (l *link) inOrder() []*stream {
	list := make([]*stream, 0, len(l.streams))
	for _, s := range l.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int { return int(a.attempt.SentAt - b.attempt.SentAt) })
	return list
}

// watchIdle closes the link once nothing was open on it for most of the time
// after which the engine would.
func (l *link) watchIdle() {
	idle := time.Duration(float64(l.all.site.IdleTimeout) * idlePart)
	if idle <= 0 {
		return
	}
	l.all.loop.Timers.Add(max(l.used, l.all.core.Now()-idle)+idle, func() {
		switch {
		case l.conn == nil:
		case len(l.streams) == 0 && l.probe == nil && l.all.core.Now() >= l.used+idle:
			l.Retire()
		default:
			if len(l.streams) > 0 {
				l.used = l.all.core.Now()
			}
			l.watchIdle()
		}
	})
}

// Retire has the link take no more. The process that it leads to is over, as far as anybody can tell, and with
// it what was given up there.
func (l *link) Retire() {
	l.retired = true
	for _, s := range l.inOrder() {
		if s.asked != nil && l.streams[s.attempt.Request.ID] == s {
			l.settle(s, core.OutcomeCancelled)
		}
	}
	l.closeIfDone()
}

func (l *link) closeIfDone() {
	if l.retired && l.conn != nil && len(l.streams) == 0 && l.probe == nil {
		l.end = core.OutcomeIdleClosed
		l.conn.Close()
	}
}

// want writes the request, once the engine has taken all before it. Guards against what waits here for an engine that
// does not read: it could not be taken back, and would begin there long after its client left.
func (s *stream) want() {
	if s.link.conn == nil {
		return // its end is on its way
	}
	if s.link.conn.Pending() > 0 {
		s.link.conn.WhenWritten(s.link.wants)
		return
	}
	a := s.attempt
	r := a.Request
	if !s.link.all.core.BeginWrite(a) {
		s.link.finish(s, core.OutcomeNotSent)
		return
	}
	stmt, _ := r.Statement.(Statement)
	left := (a.SentAt + a.Timeout - s.link.all.core.Now()).Milliseconds()
	b := append(make([]byte, 0, 160+len(stmt)), "want "...)
	b = append(append(b, r.ID...), " kind="...)
	b = append(append(b, r.Class...), ",ms="...)
	b = strconv.AppendInt(b, max(left, 1), 10)
	if r.IdempotencyKey != "" {
		b = append(append(b, ",token="...), r.IdempotencyKey...)
	}
	if a.MemoryMB >= 1 {
		b = strconv.AppendInt(append(b, ",mb="...), int64(a.MemoryMB), 10)
	}
	b = strconv.AppendInt(append(b, ",nice="...), int64(a.Priority), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(stmt)), 10)
	b = append(append(append(b, "\r\n"...), stmt...), "\r\n"...)
	if s.written = s.link.conn.Write(b); !s.written { // the connection has ended: it has never run
		s.link.finish(s, core.OutcomeNotSent)
	}
}

// Cancel gives an attempt up.
func (ls *Backend) Cancel(a *core.Attempt) bool {
	s, ok := a.LinkState.(*stream)
	if !ok {
		return true
	}
	l := s.link
	switch {
	case s.asked != nil:
		return false
	case !s.written || l.conn == nil: // a lost link ends its streams one by one
	case s.missing > 0: // it is done, and only its pages are still wanted
		l.conn.Write([]byte("shut " + a.Request.ID + "\r\n"))
	case a.MustAwaitEngine() && !l.retired: // else its process is over
		s.ask()
		return false
	default:
		l.conn.Write([]byte("never_mind " + a.Request.ID + "\r\n"))
	}
	l.release(s)
	l.closeIfDone()
	return true
}

// release takes a stream off the link that is given up. Where it was written, its id is not used here again
// for a while.
func (l *link) release(s *stream) {
	id := s.attempt.Request.ID
	delete(l.streams, id)
	if s.written && l.conn != nil {
		l.forget()
		l.past[id] = l.all.core.Now() + pastFor
		l.oldest = append(l.oldest, id)
	}
}

// ask gives the attempt up and asks for a page of it. An engine reads one word after the other, and tells that
// it knows no such query once it has read the first.
func (s *stream) ask() {
	id := s.attempt.Request.ID
	s.link.conn.Write([]byte("never_mind " + id + "\r\nturn " + id + " 1\r\n"))
	s.asked = s.link.all.loop.Timers.Add(s.link.all.core.Now()+askAgain, s.ask)
}

// settled takes an answer for an attempt that was given up: with any but a note the engine is through with it.
func (l *link) settled(s *stream, a answer) error {
	end := core.OutcomeCancelled
	switch a.word {
	case "TELL":
		return nil
	case "WAIT", "PAST": // it never ran
		end = ends[a.word]
	case "DONE", "MORE", "BROKE":
	default:
		return fmt.Errorf("unknown word %.20q in an answer", a.word)
	}
	l.settle(s, end)
	return nil
}

// settle ends an attempt that was given up.
func (l *link) settle(s *stream, end core.Outcome) {
	s.asked.Stop()
	l.release(s)
	l.used = l.all.core.Now()
	l.all.core.EndAttempt(s.attempt, end, core.Report{})
	l.closeIfDone()
}

// forget drops the ids that may be used again: a link that lives for days would
// else keep all that were ever given up on it.
func (l *link) forget() {
	for len(l.oldest) > 0 && l.all.core.Now() >= l.past[l.oldest[0]] {
		delete(l.past, l.oldest[0])
		l.oldest = l.oldest[1:]
	}
}

// SetPriority sets the priority of an attempt that is out.
func (ls *Backend) SetPriority(a *core.Attempt, priority int) {
	if s, ok := a.LinkState.(*stream); ok && s.written && s.missing == 0 && s.link.conn != nil {
		s.link.conn.Write([]byte("hurry " + a.Request.ID + " " + strconv.Itoa(priority) + "\r\n"))
	}
}

// Data reads the answers that are whole.
func (l *link) Data(_ *netio.Conn, in *netio.Buffer) {
	for l.end == core.OutcomeUnknown {
		a, n, err := parse(in.Bytes())
		if err == nil && n > 0 {
			err = l.answer(a)
			in.Consume(n)
			l.began = 0
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
		now := l.all.loop.Now()
		if l.began == 0 {
			l.began = now
		}
		l.stall = l.all.loop.Timers.Add(min(now+stallMost, l.began+answerMost), func() {
			l.spoilt(errors.New("an answer stopped in the middle, or never ended"))
		})
	}
}

// spoilt ends the link, and with it all that is open on it: where one answer can't
// be read, nothing tells where the next begins.
func (l *link) spoilt(err error) {
	if l.conn == nil || l.end != core.OutcomeUnknown {
		return
	}
	l.all.log.Warn("engine.unreadable", "engine", l.engine.ID, "error", err)
	l.end, l.retired = core.OutcomeUnreadable, true
	l.conn.Abort()
}

// answer takes one message. One for an id that was given up is passed by.
func (l *link) answer(a answer) error {
	if p := l.probe; p != nil && a.id == p.tag {
		return p.answer(a)
	}
	s := l.streams[a.id]
	if s == nil {
		l.all.stats.Add("links.late-answer")
		return nil
	}
	if s.asked != nil {
		return l.settled(s, a)
	}
	switch a.word {
	case "TELL":
		if kind, value, ok := note(a.fields); ok {
			l.all.core.ReportProgress(s.attempt, kind, value)
		}
	case "DONE":
		return l.done(s, a)
	case "MORE":
		return l.more(s, a)
	case "WAIT", "BROKE", "PAST":
		end := ends[a.word]
		if s.missing > 0 {
			end = core.OutcomePagesLost
		}
		s.report.LoadReport = gauges(a.fields)
		l.finish(s, end)
	default:
		return fmt.Errorf("unknown word %.20q in an answer", a.word)
	}
	return nil
}

// done takes page 0 and asks for the others. No row is passed on before all are
// here: pages lost with their engine are then an attempt's end, and another may
// serve the client.
func (l *link) done(s *stream, a answer) error {
	if s.pages != nil { // a second copy of an answer that is good
		l.all.stats.Add("links.doubled-answer")
		return nil
	}
	text, _ := field(a.fields, "batches")
	pages, err := strconv.Atoi(text)
	if err != nil || pages < 0 || pages > maxPages {
		return fmt.Errorf("%.20q pages in an answer", text)
	}
	pages = max(pages, 1)
	if !wholeRows(a.body) {
		return errBody
	}
	work, _ := number(a.fields, "cpu")
	s.report.Work = config.FromMS(max(work, 0))
	s.report.MemoryMB, _ = number(a.fields, "used")
	s.report.LoadReport = gauges(a.fields)
	s.pages = make(Rows, pages)
	s.size = len(a.body)
	s.pages[0] = append([]byte{}, a.body...)
	s.missing = pages - 1
	if s.missing == 0 {
		l.finish(s, core.OutcomeServed)
		return nil
	}
	var b []byte
	for n := 1; n < pages; n++ {
		b = append(append(append(b, "turn "...), a.id...), ' ')
		b = append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
	}
	l.conn.Write(b)
	return nil
}

func (l *link) more(s *stream, a answer) error {
	text, _ := field(a.fields, "batch")
	n, err := strconv.Atoi(text)
	switch {
	case err != nil || n < 1 || n >= len(s.pages):
		return fmt.Errorf("a page numbered %.20q", text)
	case !wholeRows(a.body):
		return errBody
	case s.pages[n] != nil:
		return nil
	case s.size+len(a.body) > maxResult:
		return errors.New("a result is too large")
	}
	s.size += len(a.body)
	s.pages[n] = append([]byte{}, a.body...)
	if s.missing--; s.missing == 0 {
		l.conn.Write([]byte("shut " + a.id + "\r\n"))
		l.finish(s, core.OutcomeServed)
	}
	return nil
}

var errBody = errors.New("a page does not hold whole rows of three columns of text")

// columns of a row.
const columns = 3

// wholeRows tells whether a page holds what it should. Guards against passing on
// what was spoilt within its length.
func wholeRows(page []byte) bool {
	if !utf8.Valid(page) {
		return false
	}
	tabs := 0
	for _, c := range page {
		switch {
		case c == '\t':
			tabs++
		case c == '\n' && tabs != columns-1, c == 0, c == '\r':
			return false
		case c == '\n':
			tabs = 0
		}
	}
	return len(page) == 0 || page[len(page)-1] == '\n'
}

// finish takes the stream off the link and ends its attempt.
func (l *link) finish(s *stream, end core.Outcome) {
	delete(l.streams, s.attempt.Request.ID)
	l.used = l.all.core.Now()
	if end == core.OutcomeServed {
		s.report.Result = s.pages
	}
	l.all.core.EndAttempt(s.attempt, end, s.report)
	l.closeIfDone()
}

// Closed ends all that was open on the link.
func (l *link) Closed(*netio.Conn, error) {
	switch {
	case l.end != core.OutcomeUnknown:
	case len(l.streams) == 0:
		l.end = core.OutcomeIdleClosed
	default:
		l.end = core.OutcomeConnectionReset
	}
	l.lost(l.end)
}

func (l *link) lost(end core.Outcome) {
	l.retired, l.conn = true, nil
	l.stall.Stop()
	l.all.stats.Add("links.ended." + end.String())
	l.engine.Remove(l)
	if l.probe != nil {
		l.probe.end(end, policy.LoadReport{})
	}
	for _, s := range l.inOrder() {
		if l.streams[s.attempt.Request.ID] != s { // given up on word of another's end
			continue
		}
		if s.asked != nil {
			l.settle(s, core.OutcomeCancelled)
			continue
		}
		delete(l.streams, s.attempt.Request.ID)
		l.all.core.EndAttempt(s.attempt, end, core.Report{})
	}
}
