package postgres

import (
	"slices"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
)

// several answers a Query of several statements, one after the other up to the first error. They are
// one transaction, unless the message has transactions of its own that they stand in.
func (k *conn) several(parts []string) *pgproto.Error {
	implicit := k.tx == nil && !slices.ContainsFunc(parts, func(text string) bool {
		word, _ := sqltext.FirstWord(text)
		return controls[word]
	})
	open := k.tx != nil || implicit
	all := make([]*statement, len(parts))
	for i, text := range parts {
		s, e := k.read(text, noTypes, true, open)
		if e != nil {
			return e
		}
		all[i] = s
		switch {
		case s.control == "BEGIN" || s.control == "START":
			open = true
		case ends(s):
			open = false
		case !open:
			return fail("0A000", "statements beside a transaction in one message are not supported: send them by themselves")
		}
	}
	if implicit {
		if e := k.open("BEGIN"); e != nil {
			return e
		}
		k.tx.implicit = true
	}
	k.step(all)
	return nil
}

// ends tells whether a statement ends its transaction.
func ends(s *statement) bool {
	switch s.control {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return !toSavepoint(s.query)
	}
	return false
}

// step carries out the first of the statements that are left, and goes on from its answer.
func (k *conn) step(left []*statement) {
	if k.ended {
		return
	}
	if len(left) == 0 {
		k.finish()
		return
	}
	s := left[0]
	if s.control != "" {
		e := k.control(s, func(tag string) {
			k.out = pgproto.AppendMessage(k.out, 'C', pgproto.CString(tag))
			k.step(left[1:])
		})
		if e != nil {
			k.failed(e)
		}
		return
	}
	k.inTransaction(&pgproto.Statement{Query: s.query, ParameterTypes: noTypes, Bind: noValues}, func(res *pgproto.Result) {
		if res.RowDescription != nil {
			k.rowDescription(res.RowDescription)
		}
		_ = k.rows(&portal{statement: s, result: res, rest: res.Rows}, 0)
		k.step(left[1:])
	})
}

// finish commits what was begun for the message, and ends it.
func (k *conn) finish() {
	done := func(string) {
		k.simple = false
		k.ready()
	}
	if k.tx == nil || !k.tx.implicit {
		done("")
		return
	}
	if e := k.control(&statement{query: "COMMIT", control: "COMMIT"}, done); e != nil {
		k.failed(e)
	}
}
