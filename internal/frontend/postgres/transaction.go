package postgres

import (
	"slices"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Limits of transactions where the options name none.
const (
	usualIdleInTx = 10 * time.Second
	usualTx       = 60 * time.Second
)

// transaction is a client's open transaction. It is one request to the core, of the class for
// writes: the module chooses an engine for its first statement, and what follows goes to
// the same connection. What of it may have run is never repeated.
type transaction struct {
	begin    string        // the statement that began it
	request  *core.Request // nil before its first statement, and once it is lost
	failed   bool          // until its end everything is refused (25P02)
	ending   bool          // its last statement is out
	implicit bool          // of one message with several statements, and over with it
	idle     *timerqueue.Entry
	limit    *timerqueue.Entry
	then     func(core.Answer) // of the statement that is out
}

// controls are the statements that begin, end and divide transactions.
var controls = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// withinOnly are statements whose effect ends with their transaction, and that are refused without.
var withinOnly = map[string]bool{"LOCK": true, "DECLARE": true, "FETCH": true, "MOVE": true, "CLOSE": true, "SET": true}

// within tells whether a statement may run in a transaction only, and does: what it leaves behind
// ends with it.
func within(word, query string) bool {
	words := wordsOf(query)
	switch word {
	case "DECLARE":
		for _, w := range words {
			if strings.Trim(w, ";") == "HOLD" && !strings.Contains(strings.ToUpper(query), "WITHOUT HOLD") { // it would outlive its transaction
				return false
			}
		}
	case "SET":
		return len(words) > 1 && slices.Contains([]string{"LOCAL", "TRANSACTION", "CONSTRAINTS"}, words[1])
	}
	return withinOnly[word]
}

// status is what ReadyForQuery tells.
func (k *conn) status() byte {
	switch {
	case k.tx == nil:
		return 'I'
	case k.tx.failed:
		return 'E'
	}
	return 'T'
}

// control carries out a statement that begins, ends or divides a transaction; said tells its
// client that it is done. What only the engine can do goes to it.
func (k *conn) control(s *statement, said func(tag string)) *pgproto.Error {
	switch s.control {
	case "SET", "RESET", "DISCARD":
		if k.tx != nil { // it was prepared outside of one
			return fail("0A000", "%s is not supported in a transaction; SET LOCAL is", s.control)
		}
		return k.sets(s, said)
	}
	words := wordsOf(s.query)
	if words[len(words)-1] == "CHAIN" && !strings.Contains(strings.Join(words, " "), "NO CHAIN") || len(words) > 1 && words[1] == "PREPARED" {
		return fail("0A000", "%s is not supported", strings.Join(words, " "))
	}
	switch s.control {
	case "BEGIN", "START":
		if k.tx != nil {
			k.notice("25001", "there is already a transaction in progress")
		} else if e := k.open(s.query); e != nil {
			return e
		}
		if s.control == "START" {
			said("START TRANSACTION")
			return nil
		}
		said("BEGIN")
		return nil
	case "SAVEPOINT", "RELEASE":
		return k.divide(s, said)
	}
	if s.control == "ROLLBACK" && toSavepoint(s.query) {
		return k.divide(s, said)
	}
	tag := "COMMIT"
	if s.control == "ROLLBACK" || s.control == "ABORT" {
		tag = "ROLLBACK"
	}
	tx := k.tx
	switch {
	case tx == nil:
		k.notice("25P01", "there is no transaction in progress")
		said(tag)
	case tx.request == nil: // no engine has any of it, or has any more
		if tx.failed {
			tag = "ROLLBACK"
		}
		k.close()
		said(tag)
	default:
		tx.ending = tag == "COMMIT" && !tx.failed
		query := s.query
		if tx.failed { // the engine may not know: what failed may never have come to it
			query = "ROLLBACK"
		}
		k.send(&pgproto.Statement{Query: query, ParameterTypes: noTypes, Bind: noValues, EndsTransaction: true}, func(a core.Answer) {
			ending := tx.ending
			k.close()
			res, _ := a.Result.(*pgproto.Result)
			switch e := pgproto.AsError(a.EngineError); {
			case a.Verdict == core.Served && res != nil:
				said(res.Tag)
			case e != nil: // rolled back, as its constraints want, say
				k.failed(e)
			case ending:
				k.failed(fail("40003", "the connection to the engine was lost while it committed; the transaction may have run"))
			default: // what it undoes is undone with its connection
				said("ROLLBACK")
			}
		})
	}
	return nil
}

// toSavepoint tells whether a ROLLBACK goes back to a savepoint only.
func toSavepoint(query string) bool { return slices.Contains(wordsOf(query), "TO") }

// wordsOf are the words of a statement in capitals, behind what comments it begins with.
func wordsOf(query string) []string {
	return strings.Fields(strings.ToUpper(strings.TrimRight(sqltext.SkipComments(query), "; \t\r\n")))
}

// divide passes a savepoint on, which needs a transaction and an engine that has it.
func (k *conn) divide(s *statement, said func(tag string)) *pgproto.Error {
	if k.tx == nil {
		return fail("25P01", "%s can only be used in transaction blocks", s.control)
	}
	if k.tx.failed && k.tx.request == nil || k.tx.failed && s.control != "ROLLBACK" {
		return aborted()
	}
	want := &pgproto.Statement{Query: s.query, ParameterTypes: noTypes, Bind: noValues}
	k.run(want, func(res *pgproto.Result) {
		k.tx.failed = false
		said(res.Tag)
	})
	return nil
}

func aborted() *pgproto.Error {
	return fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

// notice tells of something that is no error.
func (k *conn) notice(code, text string) {
	e := fail(code, "%s", text)
	e.Severity = "WARNING"
	k.out = pgproto.AppendMessage(k.out, 'N', e.Body())
}

// open begins a transaction, of which no engine hears before its first statement.
func (k *conn) open(begin string) *pgproto.Error {
	class, ok := k.front.core.Class(k.front.opts.WriteClass)
	if !ok || class.Idempotency != policy.NotIdempotent {
		return fail("0A000", "this gateway has no class for writes, which transactions need")
	}
	if e := k.mayAsk(class.Name); e != nil {
		return e
	}
	k.tx = &transaction{begin: begin}
	k.tx.limit = k.front.loop.Timers.Add(k.front.loop.Now()+or(k.front.opts.TransactionTimeout, usualTx), func() {
		k.expire("25P04", "terminating connection due to transaction timeout")
	})
	k.rest()
	return nil
}

func or(d, usual time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return usual
}

// rest has the transaction end if its client says nothing for long: it holds what others wait for.
func (k *conn) rest() {
	tx := k.tx
	tx.idle.Stop()
	tx.idle = k.front.loop.Timers.Add(k.front.loop.Now()+or(k.front.opts.IdleTransactionTimeout, usualIdleInTx), func() {
		if k.tx == tx && k.request == nil {
			k.expire("25P03", "terminating connection due to idle-in-transaction timeout")
		}
	})
}

// expire ends a transaction and its connection, as PostgreSQL does.
func (k *conn) expire(code, text string) {
	if k.ended || k.tx == nil {
		return
	}
	k.front.stats.Add("pgwire.transactions-expired")
	if k.tx.ending { // its word is on its way, or its loss is told
		return
	}
	k.abandon()
	k.fatal(fail(code, "%s", text))
}

// abandon gives up what an engine has of a transaction: its connection is closed, which rolls
// back.
func (k *conn) abandon() {
	tx := k.tx
	if tx == nil {
		return
	}
	tx.idle.Stop()
	tx.limit.Stop()
	if r := tx.request; r != nil {
		tx.request, tx.then = nil, nil
		if k.request == r {
			k.request = nil
		}
		k.front.core.ClientDisconnected(r)
	}
}

// close ends the client's transaction.
func (k *conn) close() {
	k.tx.idle.Stop()
	k.tx.limit.Stop()
	k.front.stats.Add("pgwire.transactions")
	k.tx = nil
	k.dropPortals()
}

// inTransaction has a statement run within the open transaction.
func (k *conn) inTransaction(want *pgproto.Statement, served func(*pgproto.Result)) {
	if k.tx.failed {
		k.failed(aborted())
		return
	}
	k.run(want, served)
}

// run has a statement of the transaction run, whether that has failed or not.
func (k *conn) run(want *pgproto.Statement, served func(*pgproto.Result)) {
	tx := k.tx
	k.send(want, func(a core.Answer) {
		res, _ := a.Result.(*pgproto.Result)
		if a.Verdict == core.Served && res != nil {
			k.rest()
			served(res)
			return
		}
		tx.failed = true
		k.rest()
		e := pgproto.AsError(a.EngineError)
		switch {
		case e != nil:
		case a.Verdict == core.Rejected:
			e = answerError(a)
		case a.DeadlinePassed:
			e = fail("57014", "canceling statement due to statement timeout")
		default: // its commit was not sent: with the connection it is rolled back
			e = fail("40000", "the connection to the engine was lost; the transaction is rolled back")
		}
		k.failed(e)
	})
}

// send puts a statement of the transaction to the core: the first one as a request that goes on, the
// others to its engine.
func (k *conn) send(want *pgproto.Statement, then func(core.Answer)) {
	tx, f := k.tx, k.front
	class, _ := f.core.Class(f.opts.WriteClass)
	wait := class.Timeout
	if k.timeout > 0 {
		wait = k.timeout
	}
	tx.idle.Stop()
	tx.then = then
	if r := tx.request; r != nil {
		k.request = r
		if !f.core.Continue(r, want, wait) { // its end is on its way to Answer, or was told
			k.request, tx.request = nil, nil
			then(core.Answer{Verdict: core.Failed})
		}
		return
	}
	want.BeginQuery, want.Settings, want.User = tx.begin, k.settings, k.user
	r := &core.Request{
		ID: k.id(), Class: class.Name, Statement: want, Deadline: f.core.Now() + wait, Client: k, Streaming: true,
	}
	tx.request, k.request = r, r
	f.core.Accept(r)
}

// PartialAnswer takes the answer to a statement of a transaction that goes on.
func (k *conn) PartialAnswer(r *core.Request, a core.Answer) {
	tx := k.tx
	if tx == nil || tx.request != r || tx.then == nil {
		return
	}
	if a.EngineError != nil {
		a.Verdict = core.Failed
	}
	k.word(a)
}

// word gives the answer to a statement of the transaction to whoever waits for it.
func (k *conn) word(a core.Answer) {
	then := k.tx.then
	k.request, k.tx.then = nil, nil
	if k.ended || then == nil {
		return
	}
	then(a)
	k.resume()
}
