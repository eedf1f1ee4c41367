package postgres

import (
	"slices"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// mostSettings bounds what one client has set, and maxSetting the text of each.
const (
	mostSettings = 64
	maxSetting   = 4 << 10
)

// sessionOnly are settings that belong to an engine's session itself, which no client owns.
var sessionOnly = map[string]bool{
	"role": true, "session_authorization": true, "client_encoding": true, "transaction_isolation": true, "transaction_read_only": true, "transaction_deferrable": true,
}

// set is what a SET says: which setting, and to what. name is "" where it is none that follows a client.
func set(query string) (name, value string) {
	l := sqltext.Lexer{Src: query}
	word := func(t sqltext.Token) string {
		if t.Kind != sqltext.Ident {
			return ""
		}
		return strings.ToLower(l.Text(t))
	}
	l.Next() // SET
	t := l.Next()
	if word(t) == "session" {
		t = l.Next()
	}
	switch name = word(t); name {
	case "", "local", "characteristics", "authorization", "constraints", "transaction", "role", "xml", "names":
		return "", ""
	case "time": // TIME ZONE
		if t = l.Next(); word(t) != "zone" {
			return "", ""
		}
		return "timezone", rest(query, t.End)
	}
	t = l.Next()
	for t.Kind == sqltext.Dot { // of an extension
		part := l.Next()
		if word(part) == "" {
			return "", ""
		}
		name += "." + word(part)
		t = l.Next()
	}
	if l.Text(t) != "=" && word(t) != "to" || sessionOnly[name] {
		return "", ""
	}
	return name, rest(query, t.End)
}

func rest(query string, from int) string { return strings.TrimRight(query[from:], "; \t\r\n") }

// sets carries out SET, RESET and DISCARD outside of a transaction: what a client has set follows it
// to whatever engine its statements run on.
func (k *conn) sets(s *statement, said func(tag string)) *pgproto.Error {
	words := strings.Fields(strings.ToLower(strings.Join(wordsOf(s.query), " ")))
	switch s.control {
	case "DISCARD":
		if len(words) != 2 {
			return fail("42601", "syntax error at or near DISCARD")
		}
		if words[1] == "all" {
			k.settings, k.timeout = nil, 0
			clear(k.statements)
			k.dropPortals()
		}
		said("DISCARD " + strings.ToUpper(words[1]))
		return nil
	case "RESET":
		switch {
		case len(words) != 2:
			return fail("0A000", "%s is not supported", strings.ToUpper(strings.Join(words, " ")))
		case words[1] == "all":
			k.settings, k.timeout = nil, 0
		case words[1] == "statement_timeout":
			k.timeout = 0
		default:
			k.unset(words[1])
		}
		said("RESET")
		return nil
	}
	name, value := set(s.query)
	switch {
	case len(words) > 1 && words[1] == "local":
		k.notice("25P01", "SET LOCAL can only be used in transaction blocks")
		said("SET")
		return nil
	case name == "":
		return fail("0A000", "this SET is not supported: it would change an engine's session, which clients share")
	case name == "statement_timeout":
		if e := k.setTimeout(value); e != nil {
			return e
		}
		said("SET")
		return nil
	case strings.EqualFold(strings.TrimSpace(value), "default"):
		k.unset(name)
		said("SET")
		return nil
	case len(s.query) > maxSetting || len(k.settings) >= mostSettings:
		return fail("54000", "more than %d settings, or one of more than %d bytes", mostSettings, maxSetting)
	}
	class, ok := k.front.core.Class(k.front.opts.DefaultClass)
	if !ok || class.Idempotency != policy.Idempotent {
		return fail("0A000", "SET needs a default class that is safe to repeat")
	}
	one := pgproto.Setting{Name: name, Text: s.query}
	want := &pgproto.Statement{Query: s.query, ParameterTypes: noTypes, Bind: noValues, ChangedSetting: name}
	k.ask(&statement{query: s.query, types: noTypes, sorted: sorted{class: class}}, want, "", nil, func(res *pgproto.Result) {
		k.unset(name)
		k.settings = append(slices.Clone(k.settings), one) // statements that are out keep theirs
		slices.SortFunc(k.settings, func(a, b pgproto.Setting) int { return strings.Compare(a.Name, b.Name) })
		k.out = append(k.out, res.ParameterStatus...)
		said(res.Tag)
	})
	return nil
}

// unset has a setting be as the engines have it.
func (k *conn) unset(name string) {
	k.settings = slices.DeleteFunc(slices.Clone(k.settings), func(s pgproto.Setting) bool { return s.Name == name })
}
