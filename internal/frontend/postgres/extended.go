package postgres

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

func malformed(what string) *pgproto.Error { return fail("08P01", "malformed %s message", what) }

func (k *conn) parse(body []byte) *pgproto.Error {
	r := pgproto.Reader{Rest: body}
	name, query := r.CString(), r.CString()
	types := bytes.Clone(r.Rest) // the statement keeps them
	if r.Bytes(4 * r.Count()); !r.Complete() {
		return malformed("Parse")
	}
	if name != "" && k.statements[name] != nil {
		return fail("42P05", "prepared statement %q already exists", name)
	}
	if len(k.statements) >= maxNamed {
		return fail("54000", "more than %d prepared statements", maxNamed)
	}
	s, e := k.prepare(query, types, false)
	if e != nil {
		return e
	}
	k.statements[name] = s
	k.out = pgproto.AppendMessage(k.out, '1')
	return nil
}

// prepare reads a statement; once tells that it runs no more than one time.
func (k *conn) prepare(query string, types []byte, once bool) (*statement, *pgproto.Error) {
	return k.read(query, types, once, k.tx != nil)
}

// read does that for a time when a transaction is open, or none is.
func (k *conn) read(query string, types []byte, once, open bool) (*statement, *pgproto.Error) {
	var read *queryshape.Statement
	switch shapes := k.front.opts.Shapes; {
	case shapes == nil:
	case once:
		read = shapes.ReadOnce(query, k.front.opts.ReadOnlyFunctions)
	default:
		read = shapes.Read(query, k.front.opts.ReadOnlyFunctions)
	}
	empty, control, e := check(query, read, open)
	if e != nil {
		return nil, e
	}
	s := &statement{query: query, types: types, empty: empty, control: control, taints: sqltext.Names(query, "set_config")}
	if !empty && control == "" {
		if s.sorted, e = k.front.sort(query, read); e != nil {
			return nil, e
		}
		s.read = read
	}
	return s, nil
}

func (k *conn) bind(body []byte) *pgproto.Error {
	r := pgproto.Reader{Rest: body}
	name, from := r.CString(), r.CString()
	r.Rest = bytes.Clone(r.Rest) // the portal keeps it, and the values lie within
	tail := r.Rest
	binds, ok := bound(&r)
	if !ok {
		return malformed("Bind")
	}
	values := binds.Values
	s := k.statements[from]
	switch {
	case s == nil:
		return fail("26000", "prepared statement %q does not exist", from)
	case name != "" && k.portals[name] != nil:
		return fail("42P03", "portal %q already exists", name)
	case len(k.portals) >= maxNamed:
		return fail("54000", "more than %d portals", maxNamed)
	}
	if s.known != nil && len(s.known.ParameterDescription) >= 2 {
		p := pgproto.Reader{Rest: s.known.ParameterDescription}
		if want := p.Count(); want != len(values) {
			return fail("08P01", "bind message supplies %d parameters, but the prepared statement requires %d", len(values), want)
		}
	}
	p := &portal{statement: s, bind: tail}
	if s.read != nil {
		p.binds = binds
	}
	if !s.empty && s.control == "" {
		var e *pgproto.Error
		if p.token, e = keyOf(s.sorted, values); e != nil {
			return e
		}
	}
	if old := k.portals[name]; old != nil { // the unnamed one is replaced
		k.front.held -= len(old.rest)
	}
	k.portals[name] = p
	k.out = pgproto.AppendMessage(k.out, '2')
	return nil
}

// bound reads a Bind past its names: formats, values and result formats.
func bound(r *pgproto.Reader) (b sqltext.Binds, ok bool) {
	formats := r.Count()
	b.Formats = r.Rest[:min(2*formats, len(r.Rest))]
	for range formats {
		if f := r.Int16(); f != 0 && f != 1 {
			return b, false
		}
	}
	n := r.Count()
	if formats > 1 && formats != n || r.Invalid {
		return b, false
	}
	for range n {
		var v []byte
		if size := r.Int32(); size >= 0 {
			v = r.Bytes(size)
		} else if size != -1 {
			return b, false
		}
		if r.Invalid {
			return b, false
		}
		b.Values = append(b.Values, v)
	}
	for range r.Count() {
		if f := r.Int16(); f != 0 && f != 1 {
			return b, false
		}
	}
	return b, r.Complete()
}

// target reads the message that names a statement or a portal.
func (k *conn) target(body []byte, what string) (kind byte, name string, e *pgproto.Error) {
	r := pgproto.Reader{Rest: body}
	kind, name = r.Byte(), r.CString()
	if !r.Complete() || kind != 'S' && kind != 'P' {
		return 0, "", malformed(what)
	}
	return kind, name, nil
}

func (k *conn) describeMessage(body []byte) *pgproto.Error {
	kind, name, e := k.target(body, "Describe")
	if e != nil {
		return e
	}
	if kind == 'P' {
		if k.portals[name] == nil {
			return fail("34000", "portal %q does not exist", name)
		}
		k.describe, k.describing = true, name // an Execute is likely to follow, and brings it
		return nil
	}
	s := k.statements[name]
	if s == nil {
		return fail("26000", "prepared statement %q does not exist", name)
	}
	k.known(s, func() { k.describeStatement(s) })
	return nil
}

func (k *conn) describeStatement(s *statement) {
	if s.known == nil { // an empty one, or one that the gateway carries out
		k.out = pgproto.AppendMessage(k.out, 't', s.types)
		k.out = pgproto.AppendMessage(k.out, 'n')
		return
	}
	k.out = pgproto.AppendMessage(k.out, 't', s.known.ParameterDescription)
	k.rowDescription(s.known.RowDescription)
}

func (k *conn) rowDescription(fields []byte) {
	if fields == nil {
		k.out = pgproto.AppendMessage(k.out, 'n')
		return
	}
	k.out = pgproto.AppendMessage(k.out, 'T', fields)
}

// known has an engine describe a statement, unless one has, and goes on then.
func (k *conn) known(s *statement, then func()) {
	if s.known != nil || s.empty || s.control != "" {
		then()
		return
	}
	want := &pgproto.Statement{Query: s.query, ParameterTypes: s.types, DescribeOnly: true}
	k.ask(s, want, "", nil, func(res *pgproto.Result) {
		s.known = res
		then()
	})
}

// described settles a portal's description once the next message shows whether
// an Execute brings it. It tells whether that message must wait and come again.
func (k *conn) described(kind byte, body []byte) (again bool) {
	k.describe = false
	p := k.portals[k.describing]
	r := pgproto.Reader{Rest: body}
	if kind == 'E' && r.CString() == k.describing && p.result == nil && !p.statement.empty {
		k.describe = true // execute sees to it
		return false
	}
	tell := func() {
		s := p.statement
		switch {
		case p.result != nil:
			k.rowDescription(p.result.RowDescription)
		case s.known == nil || s.known.RowDescription == nil:
			k.rowDescription(nil)
		default:
			fields, err := pgproto.WithResultFormats(s.known.RowDescription, p.bind)
			if err != nil {
				k.failed(malformed("RowDescription"))
				return
			}
			k.rowDescription(fields)
		}
	}
	k.known(p.statement, tell)
	return k.request != nil
}

func (k *conn) execute(body []byte) *pgproto.Error {
	describe := k.describe
	k.describe = false
	r := pgproto.Reader{Rest: body}
	name, most := r.CString(), r.Int32()
	if !r.Complete() {
		return malformed("Execute")
	}
	p := k.portals[name]
	switch {
	case p == nil:
		return fail("34000", "portal %q does not exist", name)
	case p.statement.empty:
		k.out = pgproto.AppendMessage(k.out, 'I')
	case p.statement.control != "":
		if describe {
			k.rowDescription(nil)
		}
		return k.control(p.statement, func(tag string) { k.out = pgproto.AppendMessage(k.out, 'C', pgproto.CString(tag)) })
	case p.result != nil:
		k.front.held -= len(p.rest)
		e := k.rows(p, most)
		k.hold(p)
		return e
	default:
		s := p.statement
		want := &pgproto.Statement{Query: s.query, ParameterTypes: s.types, Bind: p.bind}
		p.binds.Types = s.oids()
		k.ask(s, want, p.token, &p.binds, func(res *pgproto.Result) {
			p.result, p.rest = res, res.Rows
			res.Rows = nil
			if describe {
				k.rowDescription(res.RowDescription)
			}
			_ = k.rows(p, most)
			k.hold(p)
		})
	}
	return nil
}

// rows passes on rows of a portal that has run, most of them if that is above 0.
// A portal runs once: what follows comes from what is held, also when its engine
// has drained meanwhile.
func (k *conn) rows(p *portal, most int) *pgproto.Error {
	res := p.result
	if p.over && res.RowDescription == nil {
		return fail("55000", "the portal has run and cannot be run again")
	}
	n, size := 0, 0
	for size < len(p.rest) && (most <= 0 || n < most) {
		_, _, one, _ := pgproto.ReadMessage(p.rest[size:], len(p.rest))
		size += one
		n++
	}
	k.out = append(k.out, p.rest[:size]...)
	p.rest, p.given = p.rest[size:], p.given+n
	switch {
	case most > 0 && n == most:
		k.out = pgproto.AppendMessage(k.out, 's')
	case res.EmptyQuery:
		k.out = pgproto.AppendMessage(k.out, 'I')
		p.over = true
	default:
		tag := res.Tag
		if verb, _, ok := strings.Cut(tag, " "); ok && n != res.RowCount {
			tag = verb + " " + strconv.Itoa(n)
		}
		k.out = pgproto.AppendMessage(k.out, 'C', pgproto.CString(tag))
		p.over = true
	}
	return nil
}

// hold counts what a portal keeps. The portal that would keep too much keeps
// nothing, and the batch fails.
func (k *conn) hold(p *portal) {
	f := k.front
	if f.held+len(p.rest) > f.opts.MaxHeldBytes {
		p.rest = nil
		k.failed(fail("53200", "open portals hold too many rows; fetch them, or ask for all at once"))
		return
	}
	f.held += len(p.rest)
}

func (k *conn) closeMessage(body []byte) *pgproto.Error {
	kind, name, e := k.target(body, "Close")
	if e != nil {
		return e
	}
	if kind == 'S' {
		delete(k.statements, name)
	} else if p := k.portals[name]; p != nil {
		k.front.held -= len(p.rest)
		delete(k.portals, name)
	}
	k.out = pgproto.AppendMessage(k.out, '3')
	return nil
}

// noTypes and noValues are what a Query has of a Parse and a Bind: counts of zero. Nobody
// writes to them.
var noTypes, noValues = make([]byte, 2), make([]byte, 6)

// query answers a Query.
func (k *conn) query(body []byte) *pgproto.Error {
	k.simple = true
	r := pgproto.Reader{Rest: body}
	query := r.CString()
	if !r.Complete() {
		return malformed("Query")
	}
	if done, e := k.setting(query); done || e != nil {
		return e
	}
	if strings.IndexByte(query, ';') >= 0 {
		if parts := sqltext.Split(query); len(parts) > 1 {
			return k.several(parts)
		}
	}
	s, e := k.prepare(query, noTypes, true)
	if e != nil {
		return e
	}
	if s.empty {
		k.out = pgproto.AppendMessage(k.out, 'I')
		k.simple = false
		k.ready()
		return nil
	}
	if s.control != "" {
		return k.control(s, func(tag string) {
			k.out = pgproto.AppendMessage(k.out, 'C', pgproto.CString(tag))
			k.simple = false
			k.ready()
		})
	}
	if _, e = keyOf(s.sorted, nil); e != nil && k.tx == nil {
		return e
	}
	want := &pgproto.Statement{Query: query, ParameterTypes: noTypes, Bind: noValues}
	k.ask(s, want, "", nil, func(res *pgproto.Result) {
		if res.RowDescription != nil {
			k.rowDescription(res.RowDescription)
		}
		_ = k.rows(&portal{statement: s, result: res, rest: res.Rows}, 0)
		k.simple = false
		k.ready()
	})
	return nil
}

// setting carries out the one SET that is this gateway's own.
func (k *conn) setting(query string) (done bool, e *pgproto.Error) {
	text := sqltext.SkipComments(query)
	if len(text) < 3 || !strings.EqualFold(text[:3], "SET") { // nearly all
		return false, nil
	}
	words := strings.Fields(strings.ReplaceAll(strings.TrimRight(text, "; \t\r\n"), "=", " = "))
	if len(words) > 1 && strings.EqualFold(words[1], "SESSION") {
		words = append(words[:1], words[2:]...)
	}
	if len(words) < 4 || !strings.EqualFold(words[0], "SET") || !strings.EqualFold(words[1], "statement_timeout") ||
		words[2] != "=" && !strings.EqualFold(words[2], "TO") {
		return false, nil
	}
	if e := k.setTimeout(strings.Join(words[3:], " ")); e != nil {
		return false, e
	}
	k.out = pgproto.AppendMessage(k.out, 'C', pgproto.CString("SET"))
	k.simple = false
	k.ready()
	return true, nil
}

// oids are the types of the statement's parameters: those that an engine told of, else
// those that the client gave.
func (s *statement) oids() []byte {
	if s.known != nil && len(s.known.ParameterDescription) > 2 {
		return s.known.ParameterDescription[2:]
	}
	if len(s.types) > 2 {
		return s.types[2:]
	}
	return nil
}

// ask puts one request to the core. The answer may come before it returns.
func (k *conn) ask(s *statement, want *pgproto.Statement, token string, binds *sqltext.Binds, served func(*pgproto.Result)) {
	if k.tx != nil && !want.DescribeOnly {
		k.inTransaction(want, served)
		return
	}
	want.Settings, want.User = k.settings, k.user
	want.TaintsSession = s.taints
	f := k.front
	class := s.class
	var sorted *queryshape.Execution
	if f.opts.Shapes != nil && s.read != nil && s.shape && !want.DescribeOnly {
		if c, x, ok := f.opts.Shapes.Classify(s.read, binds); ok {
			class, sorted = c, x
		}
	}
	if d, ok := f.core.Class(f.opts.DefaultClass); ok && want.DescribeOnly && d.Idempotency == policy.Idempotent {
		class = d // a description runs nothing, whatever its statement would do
	}
	if e := k.mayAsk(class.Name); e != nil {
		k.failed(e)
		return
	}
	wait := class.Timeout
	if k.timeout > 0 {
		wait = k.timeout
	}
	left, came := k.left, f.core.Now()
	if k.left = nil; left != nil && left.ReceivedAt > 0 {
		came = left.ReceivedAt
	}
	r := &core.Request{
		ID: k.id(), Class: class.Name, Statement: want, Deadline: came + wait, Client: k,
	}
	if class.Idempotency == policy.IdempotentWithKey {
		r.IdempotencyKey = token
	}
	if class.Ordered {
		r.SerialKey = token
	}
	switch {
	case s.read == nil || f.opts.Shapes == nil:
		r.DataSet, _ = sqltext.Group(s.query)
	default:
		r.DataSet, _ = s.read.DataSet()
		if sorted != nil {
			f.opts.Shapes.ApplyEstimate(r, sorted)
		} else if !want.DescribeOnly {
			f.opts.Shapes.EstimateRequest(r, s.read, binds)
		}
	}
	k.request = r
	k.then = func(a core.Answer) {
		res, ok := a.Result.(*pgproto.Result)
		if a.Verdict == core.Served && ok {
			served(res)
			return
		}
		k.failed(answerError(a))
	}
	f.core.AcceptOrphan(r, left)
}

// id is what the connection's requests are called.
func (k *conn) id() string { return fmt.Sprintf("pg%d", k.process) }

// Answer takes the core's final answer.
func (k *conn) Answer(r *core.Request, a core.Answer) {
	if tx := k.tx; tx != nil && tx.request == r {
		tx.request = nil
		if tx.then == nil { // its engine is lost between two statements, or this process ends
			if k.request, tx.failed = nil, true; k.front.draining {
				k.fatal(stopping())
			}
			return
		}
		k.word(a)
		return
	}
	then := k.then
	k.request, k.then = nil, nil
	if k.ended || then == nil {
		return
	}
	then(a)
	k.resume()
}

// answerError words a final answer that is no completion. Each kind has a code
// of its own; an engine's word on the statement passes on unchanged.
func answerError(a core.Answer) *pgproto.Error {
	e := pgproto.AsError(a.EngineError)
	switch {
	case a.InDoubt && e == nil: // also when its time is over: a time-out would say that nothing was done
		return inDoubt()
	case a.InDoubt:
		return e
	case a.DeadlinePassed:
		return fail("57014", "canceling statement due to statement timeout")
	case a.Verdict == core.Rejected:
		e := fail("53000", "the engines are busy; the statement was refused, and trying again is harmless")
		if a.RetryAfter > 0 {
			e.Hint = fmt.Sprintf("Try again in %d ms.", (a.RetryAfter+time.Millisecond-1)/time.Millisecond)
		}
		return e
	case e != nil:
		return e
	case a.Sent:
		return inDoubt()
	}
	return fail("58000", "the statement could not be sent to any engine")
}

// inDoubt is the answer to what was sent and may have run (statement_completion_unknown).
func inDoubt() *pgproto.Error {
	return fail("40003", "the statement failed on its way or at its engine; it may have run")
}
