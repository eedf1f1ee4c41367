package conformance

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"gannetspur/internal/pgproto"
)

// Messages of a client.

func query(text string) []byte { return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text)) }

func parse(name, text string, types ...int) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(types)))
	for _, t := range types {
		b = append(b, pgproto.Int32(t)...)
	}
	return pgproto.AppendMessage(nil, 'P', pgproto.CString(name), pgproto.CString(text), b)
}

// null as a value of bind stands for NULL.
const null = "\x00null"

func bind(portal, name string, values ...string) []byte {
	b := []byte{0, 0}
	b = binary.BigEndian.AppendUint16(b, uint16(len(values)))
	for _, v := range values {
		if v == null {
			b = append(b, 255, 255, 255, 255)
			continue
		}
		b = append(append(b, pgproto.Int32(len(v))...), v...)
	}
	return pgproto.AppendMessage(nil, 'B', pgproto.CString(portal), pgproto.CString(name), b, []byte{0, 0})
}

func describe(what byte, name string) []byte {
	return pgproto.AppendMessage(nil, 'D', []byte{what}, pgproto.CString(name))
}

func execute(portal string, most int) []byte {
	return pgproto.AppendMessage(nil, 'E', pgproto.CString(portal), pgproto.Int32(most))
}

func closing(what byte, name string) []byte {
	return pgproto.AppendMessage(nil, 'C', []byte{what}, pgproto.CString(name))
}

var (
	sync  = pgproto.AppendMessage(nil, 'S')
	flush = pgproto.AppendMessage(nil, 'H')
	leave = pgproto.AppendMessage(nil, 'X')
)

func script(messages ...[]byte) []byte { return bytes.Join(messages, nil) }

const (
	ask    = "SELECT part FROM stock_1.parts"
	askOne = "SELECT part FROM stock_1.parts WHERE part = $1"
	write  = "DELETE FROM stock_1.parts WHERE part = 'bell'"
)

// notAsked as what an engine answers by itself: it would not end.
const notAsked = "-"

// Why an engine by itself answers otherwise.
const (
	simple    = "the emulated engine speaks the extended protocol only: simple queries are what a gateway does by itself"
	begins    = "the gateway begins a transaction with its first statement and answers for it; the engine describes it"
	mayWrite  = "the gateway reads what a statement may do"
	lenient   = "the emulated engine takes what a gateway would not send it"
	noVersion = "the emulated engine knows one version"
)

// Cases are all scripts. Rows of the emulated engine say what was asked and what was bound first.
func Cases() []Case {
	rows := func(text, key string) string { return "D(" + text + ") D(" + key + ") C(SELECT 2)" }
	one := rows(ask, "")
	second := "T(1) " + rows(" "+ask, "") // parted at the semicolon
	var list []Case
	add := func(kind Kind, about string, cases ...Case) {
		for _, c := range cases {
			c.Kind, c.About = kind, about
			list = append(list, c)
		}
	}
	usual := func(params ...string) []byte {
		return Startup(pgproto.Version, append([]string{"user", "desk"}, params...)...)
	}
	add(Supported, "StartupMessage, AuthenticationOk, ParameterStatus, BackendKeyData, ReadyForQuery",
		Case{Name: "startup", Open: usual(), Ready: 1, Want: "R(0) Z(I)"},
		Case{Name: "startup with settings", Open: usual("application_name", "till", "options", "-c statement_timeout=5s"), Ready: 1, Want: "R(0) Z(I)"})
	add(Supported, "NegotiateProtocolVersion",
		Case{Name: "a later minor version", Open: Startup(pgproto.Version+2, "user", "desk"), Ready: 1, Want: "v(0,0) R(0) Z(I)", Alone: "R(0) Z(I)", Why: noVersion},
		Case{Name: "an option of the protocol", Open: usual("_pq_.odd", "1"), Ready: 1, Want: "v(0,1) R(0) Z(I)", Alone: "R(0) Z(I)", Why: noVersion})
	add(Ended, "StartupMessage",
		Case{Name: "another major version", Open: Startup(2<<16, "user", "desk"), Want: "E(FATAL 08P01) end", Alone: "R(0) Z(I) end", Why: noVersion, Send: leave},
		Case{Name: "no user", Open: Startup(pgproto.Version, "database", "stock"), Want: "E(FATAL 28000) end", Alone: "R(0) Z(I) end", Why: lenient, Send: leave},
		Case{Name: "a length of 3", Open: []byte{0, 0, 0, 3, 0, 3, 0, 0}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient},
		Case{Name: "a length of 2 GB", Open: []byte{127, 255, 255, 255, 0, 3, 0, 0}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient})
	add(Supported, "SSLRequest, GSSENCRequest without encryption",
		Case{Name: "SSLRequest, declined", Open: pgproto.AppendStartup(nil, pgproto.SSLRequest, nil), Send: usual(), Ready: 1, Want: "no R(0) Z(I)"},
		Case{Name: "GSSENCRequest, declined", Open: pgproto.AppendStartup(nil, pgproto.GSSENCRequest, nil), Send: usual(), Ready: 1, Want: "no R(0) Z(I)",
			Alone: "R(0) Z(I)", Why: lenient})
	add(Ended, "CancelRequest",
		Case{Name: "with a key that nobody has", Open: pgproto.AppendStartup(nil, pgproto.CancelRequest, script(pgproto.Int32(1), pgproto.Int32(99))), Want: "end"})
	add(Supported, "Query, RowDescription, DataRow, CommandComplete, EmptyQueryResponse",
		Case{Name: "one statement", Send: query(ask), Ready: 1, Want: "T(1) " + one + " Z(I)", Alone: "C(" + ask + ") Z(I)", Why: simple},
		Case{Name: "nothing", Send: query(""), Ready: 1, Want: "I Z(I)", Alone: "C() Z(I)", Why: simple},
		Case{Name: "a comment alone", Send: query("-- nothing"), Ready: 1, Want: "I Z(I)", Alone: "C(-- nothing) Z(I)", Why: simple},
		Case{Name: "two, the second behind the first's answer", Send: script(query(ask), query(ask)), Ready: 2, Want: "T(1) " + one + " Z(I) T(1) " + one + " Z(I)",
			Alone: "C(" + ask + ") Z(I) C(" + ask + ") Z(I)", Why: simple},
		Case{Name: "an error", Send: query("SELECT 1/0"), Ready: 1, Want: "E(22012) Z(I)", Alone: "C(SELECT 1/0) Z(I)", Why: simple})
	add(Supported, "several statements in a Query",
		Case{Name: "both served", Send: query(ask + "; " + ask), Ready: 1, Want: "T(1) " + one + " " + second + " Z(I)", Alone: "C(" + ask + "; " + ask + ") Z(I)", Why: simple},
		Case{Name: "the second fails", Send: query(ask + "; SELECT 1/0; " + ask), Ready: 1, Want: "T(1) " + one + " E(22012) Z(I)",
			Alone: "C(" + ask + "; SELECT 1/0; " + ask + ") Z(I)", Why: simple})
	add(Supported, "Parse, Bind, Describe, Execute, Sync, ParseComplete, BindComplete, ParameterDescription",
		Case{Name: "unnamed", Send: script(parse("", ask), bind("", ""), describe('P', ""), execute("", 0), sync), Ready: 1, Want: "1 2 T(1) " + one + " Z(I)"},
		Case{Name: "undescribed", Send: script(parse("", ask), bind("", ""), execute("", 0), sync), Ready: 1, Want: "1 2 " + one + " Z(I)"},
		Case{Name: "a statement described", Send: script(parse("s", askOne), describe('S', "s"), sync), Ready: 1, Want: "1 t(1) T(1) Z(I)"},
		Case{Name: "bound twice", Send: script(parse("s", askOne), bind("", "s", "a"), execute("", 0), bind("", "s", "b"), execute("", 0), sync), Ready: 1,
			Want: "1 2 " + rows(askOne, "a") + " 2 " + rows(askOne, "b") + " Z(I)"},
		Case{Name: "NULL", Send: script(parse("s", askOne), bind("", "s", null), execute("", 0), sync), Ready: 1, Want: "1 2 " + rows(askOne, "") + " Z(I)"},
		Case{Name: "two batches ahead", Send: script(parse("s", askOne), bind("", "s", "a"), execute("", 0), sync, bind("", "s", "b"), execute("", 0), sync), Ready: 2,
			Want: "1 2 " + rows(askOne, "a") + " Z(I) 2 " + rows(askOne, "b") + " Z(I)"},
		Case{Name: "an empty statement", Send: script(parse("", ""), bind("", ""), execute("", 0), sync), Ready: 1, Want: "1 2 I Z(I)",
			Alone: "1 2 D() D() C(SELECT 2) Z(I)", Why: lenient},
		Case{Name: "nothing but Sync", Send: sync, Ready: 1, Want: "Z(I)"})
	add(Supported, "Flush",
		Case{Name: "answers ahead of Sync", Send: script(parse("", ask), flush, bind("", ""), flush, execute("", 0), flush, sync), Ready: 1, Want: "1 2 " + one + " Z(I)"})
	add(Supported, "Close, CloseComplete",
		Case{Name: "a statement", Send: script(parse("s", ask), closing('S', "s"), parse("s", askOne), sync), Ready: 1, Want: "1 3 1 Z(I)"},
		Case{Name: "what is not there", Send: script(closing('S', "none"), closing('P', "none"), sync), Ready: 1, Want: "3 3 Z(I)"},
		Case{Name: "a portal", Send: script(parse("", ask), bind("p", ""), closing('P', "p"), execute("p", 0), sync), Ready: 1, Want: "1 2 3 E(34000) Z(I)"})
	add(Supported, "Execute with a limit, PortalSuspended",
		Case{Name: "a row at a time", Send: script(parse("", ask), bind("p", ""), execute("p", 1), execute("p", 1), execute("p", 1), sync), Ready: 1,
			Want: "1 2 D(" + ask + ") s D() s C(SELECT 0) Z(I)"},
		Case{Name: "behind Sync it is gone", Send: script(parse("", ask), bind("p", ""), execute("p", 1), sync, execute("p", 1), sync), Ready: 2,
			Want: "1 2 D(" + ask + ") s Z(I) E(34000) Z(I)"})
	add(Refused, "names",
		Case{Name: "a statement that is not there", Send: script(bind("", "none"), execute("", 0), sync), Ready: 1, Want: "E(26000) Z(I)"},
		Case{Name: "a portal that is not there", Send: script(execute("none", 0), sync), Ready: 1, Want: "E(34000) Z(I)"},
		Case{Name: "a statement's name given twice", Send: script(parse("s", ask), parse("s", ask), sync), Ready: 1, Want: "1 E(42P05) Z(I)"},
		Case{Name: "a portal's name given twice", Send: script(parse("", ask), bind("p", ""), bind("p", ""), sync), Ready: 1, Want: "1 2 E(42P03) Z(I)"})
	add(Supported, "after an error all up to Sync is skipped",
		Case{Name: "in a batch", Send: script(parse("", "SELECT 1/0"), bind("", ""), execute("", 0), parse("", ask), bind("", ""), execute("", 0), sync), Ready: 1,
			Want: "1 2 E(22012) Z(I)"},
		Case{Name: "the next batch goes on", Send: script(execute("none", 0), parse("", ask), sync, parse("", ask), bind("", ""), execute("", 0), sync), Ready: 2,
			Want: "E(34000) Z(I) 1 2 " + one + " Z(I)"})
	add(Supported, "transactions, ReadyForQuery with T and E",
		Case{Name: "committed", Send: script(query("BEGIN"), query(ask), query("COMMIT")), Ready: 3, Want: "C(BEGIN) Z(T) T(1) " + one + " Z(T) C(COMMIT) Z(I)",
			Alone: "C(BEGIN) Z(I) C(" + ask + ") Z(I) C(COMMIT) Z(I)", Why: simple},
		Case{Name: "failed and rolled back", Send: script(query("BEGIN"), query("SELECT 1/0"), query(ask), query("ROLLBACK")), Ready: 4,
			Want:  "C(BEGIN) Z(T) E(22012) Z(E) E(25P02) Z(E) C(ROLLBACK) Z(I)",
			Alone: "C(BEGIN) Z(I) C(SELECT 1/0) Z(I) C(" + ask + ") Z(I) C(ROLLBACK) Z(I)", Why: simple},
		Case{Name: "by the extended protocol", Send: script(parse("", "BEGIN"), bind("", ""), execute("", 0), sync, parse("", write), bind("", ""), execute("", 0), sync,
			parse("", "COMMIT"), bind("", ""), execute("", 0), sync), Ready: 3, Want: "1 2 C(BEGIN) Z(T) 1 2 " + rows(write, "") + " Z(T) 1 2 C(COMMIT) Z(I)"},
		Case{Name: "COMMIT of a failed one", Send: script(query("BEGIN"), query("SELECT 1/0"), query("COMMIT")), Ready: 3, Want: "C(BEGIN) Z(T) E(22012) Z(E) C(ROLLBACK) Z(I)",
			Alone: "C(BEGIN) Z(I) C(SELECT 1/0) Z(I) C(COMMIT) Z(I)", Why: simple})
	add(Refused, "what is not supported, with 0A000",
		Case{Name: "FunctionCall", Send: script(pgproto.AppendMessage(nil, 'F', pgproto.Int32(1), []byte{0, 0, 0, 0, 0, 0}), query(ask)), Ready: 2,
			Want: "E(0A000) Z(I) T(1) " + one + " Z(I)", Alone: notAsked, Why: lenient},
		Case{Name: "COPY", Send: query("COPY stock_1.parts FROM STDIN"), Ready: 1, Want: "E(0A000) Z(I)", Alone: "C(COPY stock_1.parts FROM STDIN) Z(I)", Why: mayWrite},
		Case{Name: "LISTEN", Send: query("LISTEN stock"), Ready: 1, Want: "E(0A000) Z(I)", Alone: "C(LISTEN stock) Z(I)", Why: mayWrite},
		Case{Name: "PREPARE outside of a transaction", Send: query("PREPARE p AS SELECT 1"), Ready: 1, Want: "E(0A000) Z(I)", Alone: "C(PREPARE p AS SELECT 1) Z(I)", Why: mayWrite})
	add(Supported, "CopyData, CopyDone, CopyFail outside of a COPY: passed by",
		Case{Name: "left over", Send: script(pgproto.AppendMessage(nil, 'd', []byte("x\n")), pgproto.AppendMessage(nil, 'c'), pgproto.AppendMessage(nil, 'f', pgproto.CString("no")), sync), Ready: 1, Want: "Z(I)"})
	add(Ended, "Terminate",
		Case{Name: "at rest", Send: leave, Want: "end"},
		Case{Name: "behind a batch", Send: script(parse("", ask), bind("", ""), execute("", 0), sync, leave), Want: "1 2 " + one + " Z(I) end"})
	add(Ended, "what can't be read",
		Case{Name: "an unknown message", Send: pgproto.AppendMessage(nil, 'y', []byte("odd")), Want: "E(FATAL 08P01) end", Alone: notAsked, Why: lenient},
		Case{Name: "a length of 3", Send: []byte{'Q', 0, 0, 0, 3}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient},
		Case{Name: "a length of 2 GB", Send: []byte{'Q', 127, 255, 255, 255}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient})
	add(Refused, "what is whole and can't be read",
		Case{Name: "a Query without its zero", Send: pgproto.AppendMessage(nil, 'Q', []byte("SELECT 1")), Ready: 1, Want: "E(08P01) Z(I)", Alone: "C() Z(I)", Why: lenient},
		Case{Name: "a Parse that is cut off", Send: script(pgproto.AppendMessage(nil, 'P', []byte("s")), sync), Ready: 1, Want: "E(08P01) Z(I)", Alone: "1 Z(I)", Why: lenient},
		Case{Name: "a Bind that counts more values than it has", Send: script(parse("s", askOne), pgproto.AppendMessage(nil, 'B', []byte("\x00s\x00\x00\x00\x00\x05")), sync), Ready: 1,
			Want: "1 E(08P01) Z(I)", Alone: "1 2 Z(I)", Why: lenient})
	return slices.Clip(list)
}

// Chain is n cases behind each other on one connection, drawn from those that leave it as it was: what one leaves
// behind must not change what the next brings.
func Chain(n int, seed uint64) Case {
	rng := rand.New(rand.NewPCG(seed, 2))
	var from []Case
	for _, c := range Cases() {
		if c.Open == nil && c.Ready > 0 {
			from = append(from, c)
		}
	}
	chain := Case{Name: fmt.Sprintf("%d cases, drawn by %d", n, seed), About: "one after the other"}
	var want []string
	for range n {
		c := from[rng.IntN(len(from))]
		chain.Send = append(append(chain.Send, c.Send...), script(closing('S', "s"), sync)...)
		chain.Ready += c.Ready + 1
		want = append(want, c.Want, "3 Z(I)")
	}
	chain.Want = strings.Join(want, " ")
	return chain
}
