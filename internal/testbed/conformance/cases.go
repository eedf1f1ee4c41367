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

// The functions below encode messages of a client.

func query(text string) []byte { return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text)) }

func parse(name, text string, types ...int) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(types)))
	for _, t := range types {
		b = append(b, pgproto.Int32(t)...)
	}
	return pgproto.AppendMessage(nil, 'P', pgproto.CString(name), pgproto.CString(text), b)
}

// null, as a value of bind, stands for NULL.
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

func describe(target byte, name string) []byte {
	return pgproto.AppendMessage(nil, 'D', []byte{target}, pgproto.CString(name))
}

func execute(portal string, maxRows int) []byte {
	return pgproto.AppendMessage(nil, 'E', pgproto.CString(portal), pgproto.Int32(maxRows))
}

func closeMessage(target byte, name string) []byte {
	return pgproto.AppendMessage(nil, 'C', []byte{target}, pgproto.CString(name))
}

var (
	sync      = pgproto.AppendMessage(nil, 'S')
	flush     = pgproto.AppendMessage(nil, 'H')
	terminate = pgproto.AppendMessage(nil, 'X')
)

// script concatenates messages.
func script(messages ...[]byte) []byte { return bytes.Join(messages, nil) }

// Statements that the cases send.
const (
	ask    = "SELECT part FROM stock_1.parts"
	askOne = "SELECT part FROM stock_1.parts WHERE part = $1"
	write  = "DELETE FROM stock_1.parts WHERE part = 'bell'"
)

// notAsked as Alone means that the engine alone is not tested, because its answer would not end.
const notAsked = "-"

// Reasons why the engine alone answers differently.
const (
	simple    = "the emulated engine executes only statements of the extended protocol; it takes simple queries for commands of the gateway"
	begins    = "the gateway answers BEGIN itself and starts the transaction with the first statement; the engine describes it"
	mayWrite  = "the gateway determines whether a statement may write"
	lenient   = "the emulated engine accepts messages that a gateway would not send"
	noVersion = "the emulated engine supports one protocol version only"
)

// Cases returns all cases. The emulated engine answers a statement with two rows: its text and its first bound value.
func Cases() []Case {
	rows := func(text, key string) string { return "D(" + text + ") D(" + key + ") C(SELECT 2)" }
	one := rows(ask, "")
	second := "T(1) " + rows(" "+ask, "") // the text after the semicolon starts with a space
	var list []Case
	add := func(kind Kind, about string, cases ...Case) {
		for _, c := range cases {
			c.Kind, c.About = kind, about
			list = append(list, c)
		}
	}
	startup := func(params ...string) []byte {
		return Startup(pgproto.Version, append([]string{"user", "desk"}, params...)...)
	}
	add(Supported, "StartupMessage, AuthenticationOk, ParameterStatus, BackendKeyData, ReadyForQuery",
		Case{Name: "startup", Open: startup(), Ready: 1, Want: "R(0) Z(I)"},
		Case{Name: "startup with settings", Open: startup("application_name", "till", "options", "-c statement_timeout=5s"), Ready: 1, Want: "R(0) Z(I)"})
	add(Supported, "NegotiateProtocolVersion",
		Case{Name: "later minor version", Open: Startup(pgproto.Version+2, "user", "desk"), Ready: 1, Want: "v(0,0) R(0) Z(I)", Alone: "R(0) Z(I)", Why: noVersion},
		Case{Name: "unknown protocol option", Open: startup("_pq_.odd", "1"), Ready: 1, Want: "v(0,1) R(0) Z(I)", Alone: "R(0) Z(I)", Why: noVersion})
	add(Ended, "StartupMessage",
		Case{Name: "unsupported major version", Open: Startup(2<<16, "user", "desk"), Want: "E(FATAL 08P01) end", Alone: "R(0) Z(I) end", Why: noVersion, Send: terminate},
		Case{Name: "no user parameter", Open: Startup(pgproto.Version, "database", "stock"), Want: "E(FATAL 28000) end", Alone: "R(0) Z(I) end", Why: lenient, Send: terminate},
		Case{Name: "length field of 3", Open: []byte{0, 0, 0, 3, 0, 3, 0, 0}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient},
		Case{Name: "length field of 2 GB", Open: []byte{127, 255, 255, 255, 0, 3, 0, 0}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient})
	add(Supported, "SSLRequest, GSSENCRequest without encryption",
		Case{Name: "SSLRequest, declined", Open: pgproto.AppendStartup(nil, pgproto.SSLRequest, nil), Send: startup(), Ready: 1, Want: "no R(0) Z(I)"},
		Case{Name: "GSSENCRequest, declined", Open: pgproto.AppendStartup(nil, pgproto.GSSENCRequest, nil), Send: startup(), Ready: 1, Want: "no R(0) Z(I)",
			Alone: "R(0) Z(I)", Why: lenient})
	add(Ended, "CancelRequest",
		Case{Name: "unknown key", Open: pgproto.AppendStartup(nil, pgproto.CancelRequest, script(pgproto.Int32(1), pgproto.Int32(99))), Want: "end"})
	add(Supported, "Query, RowDescription, DataRow, CommandComplete, EmptyQueryResponse",
		Case{Name: "one statement", Send: query(ask), Ready: 1, Want: "T(1) " + one + " Z(I)", Alone: "C(" + ask + ") Z(I)", Why: simple},
		Case{Name: "empty statement", Send: query(""), Ready: 1, Want: "I Z(I)", Alone: "C() Z(I)", Why: simple},
		Case{Name: "comment only", Send: query("-- nothing"), Ready: 1, Want: "I Z(I)", Alone: "C(-- nothing) Z(I)", Why: simple},
		Case{Name: "two queries sent at once", Send: script(query(ask), query(ask)), Ready: 2, Want: "T(1) " + one + " Z(I) T(1) " + one + " Z(I)",
			Alone: "C(" + ask + ") Z(I) C(" + ask + ") Z(I)", Why: simple},
		Case{Name: "statement with an error", Send: query("SELECT 1/0"), Ready: 1, Want: "E(22012) Z(I)", Alone: "C(SELECT 1/0) Z(I)", Why: simple})
	add(Supported, "several statements in a Query",
		Case{Name: "both succeed", Send: query(ask + "; " + ask), Ready: 1, Want: "T(1) " + one + " " + second + " Z(I)", Alone: "C(" + ask + "; " + ask + ") Z(I)", Why: simple},
		Case{Name: "the second fails", Send: query(ask + "; SELECT 1/0; " + ask), Ready: 1, Want: "T(1) " + one + " E(22012) Z(I)",
			Alone: "C(" + ask + "; SELECT 1/0; " + ask + ") Z(I)", Why: simple})
	add(Supported, "Parse, Bind, Describe, Execute, Sync, ParseComplete, BindComplete, ParameterDescription",
		Case{Name: "unnamed statement and portal", Send: script(parse("", ask), bind("", ""), describe('P', ""), execute("", 0), sync), Ready: 1, Want: "1 2 T(1) " + one + " Z(I)"},
		Case{Name: "without Describe", Send: script(parse("", ask), bind("", ""), execute("", 0), sync), Ready: 1, Want: "1 2 " + one + " Z(I)"},
		Case{Name: "Describe of a statement", Send: script(parse("s", askOne), describe('S', "s"), sync), Ready: 1, Want: "1 t(1) T(1) Z(I)"},
		Case{Name: "statement bound twice", Send: script(parse("s", askOne), bind("", "s", "a"), execute("", 0), bind("", "s", "b"), execute("", 0), sync), Ready: 1,
			Want: "1 2 " + rows(askOne, "a") + " 2 " + rows(askOne, "b") + " Z(I)"},
		Case{Name: "NULL as a value", Send: script(parse("s", askOne), bind("", "s", null), execute("", 0), sync), Ready: 1, Want: "1 2 " + rows(askOne, "") + " Z(I)"},
		Case{Name: "two batches sent at once", Send: script(parse("s", askOne), bind("", "s", "a"), execute("", 0), sync, bind("", "s", "b"), execute("", 0), sync), Ready: 2,
			Want: "1 2 " + rows(askOne, "a") + " Z(I) 2 " + rows(askOne, "b") + " Z(I)"},
		Case{Name: "empty statement", Send: script(parse("", ""), bind("", ""), execute("", 0), sync), Ready: 1, Want: "1 2 I Z(I)",
			Alone: "1 2 D() D() C(SELECT 2) Z(I)", Why: lenient},
		Case{Name: "Sync only", Send: sync, Ready: 1, Want: "Z(I)"})
	add(Supported, "Flush",
		Case{Name: "answers before Sync", Send: script(parse("", ask), flush, bind("", ""), flush, execute("", 0), flush, sync), Ready: 1, Want: "1 2 " + one + " Z(I)"})
	add(Supported, "Close, CloseComplete",
		Case{Name: "statement", Send: script(parse("s", ask), closeMessage('S', "s"), parse("s", askOne), sync), Ready: 1, Want: "1 3 1 Z(I)"},
		Case{Name: "unknown statement and portal", Send: script(closeMessage('S', "none"), closeMessage('P', "none"), sync), Ready: 1, Want: "3 3 Z(I)"},
		Case{Name: "portal", Send: script(parse("", ask), bind("p", ""), closeMessage('P', "p"), execute("p", 0), sync), Ready: 1, Want: "1 2 3 E(34000) Z(I)"})
	add(Supported, "Execute with a limit, PortalSuspended",
		Case{Name: "one row at a time", Send: script(parse("", ask), bind("p", ""), execute("p", 1), execute("p", 1), execute("p", 1), sync), Ready: 1,
			Want: "1 2 D(" + ask + ") s D() s C(SELECT 0) Z(I)"},
		Case{Name: "portal is closed by Sync", Send: script(parse("", ask), bind("p", ""), execute("p", 1), sync, execute("p", 1), sync), Ready: 2,
			Want: "1 2 D(" + ask + ") s Z(I) E(34000) Z(I)"})
	add(Refused, "statement and portal names",
		Case{Name: "unknown statement", Send: script(bind("", "none"), execute("", 0), sync), Ready: 1, Want: "E(26000) Z(I)"},
		Case{Name: "unknown portal", Send: script(execute("none", 0), sync), Ready: 1, Want: "E(34000) Z(I)"},
		Case{Name: "duplicate statement name", Send: script(parse("s", ask), parse("s", ask), sync), Ready: 1, Want: "1 E(42P05) Z(I)"},
		Case{Name: "duplicate portal name", Send: script(parse("", ask), bind("p", ""), bind("p", ""), sync), Ready: 1, Want: "1 2 E(42P03) Z(I)"})
	add(Supported, "after an error, messages up to Sync are skipped",
		Case{Name: "rest of the batch", Send: script(parse("", "SELECT 1/0"), bind("", ""), execute("", 0), parse("", ask), bind("", ""), execute("", 0), sync), Ready: 1,
			Want: "1 2 E(22012) Z(I)"},
		Case{Name: "next batch is executed", Send: script(execute("none", 0), parse("", ask), sync, parse("", ask), bind("", ""), execute("", 0), sync), Ready: 2,
			Want: "E(34000) Z(I) 1 2 " + one + " Z(I)"})
	add(Supported, "transactions, ReadyForQuery with T and E",
		Case{Name: "committed", Send: script(query("BEGIN"), query(ask), query("COMMIT")), Ready: 3, Want: "C(BEGIN) Z(T) T(1) " + one + " Z(T) C(COMMIT) Z(I)",
			Alone: "C(BEGIN) Z(I) C(" + ask + ") Z(I) C(COMMIT) Z(I)", Why: simple},
		Case{Name: "failed and rolled back", Send: script(query("BEGIN"), query("SELECT 1/0"), query(ask), query("ROLLBACK")), Ready: 4,
			Want:  "C(BEGIN) Z(T) E(22012) Z(E) E(25P02) Z(E) C(ROLLBACK) Z(I)",
			Alone: "C(BEGIN) Z(I) C(SELECT 1/0) Z(I) C(" + ask + ") Z(I) C(ROLLBACK) Z(I)", Why: simple},
		Case{Name: "with the extended protocol", Send: script(parse("", "BEGIN"), bind("", ""), execute("", 0), sync, parse("", write), bind("", ""), execute("", 0), sync,
			parse("", "COMMIT"), bind("", ""), execute("", 0), sync), Ready: 3, Want: "1 2 C(BEGIN) Z(T) 1 2 " + rows(write, "") + " Z(T) 1 2 C(COMMIT) Z(I)"},
		Case{Name: "COMMIT of a failed transaction", Send: script(query("BEGIN"), query("SELECT 1/0"), query("COMMIT")), Ready: 3, Want: "C(BEGIN) Z(T) E(22012) Z(E) C(ROLLBACK) Z(I)",
			Alone: "C(BEGIN) Z(I) C(SELECT 1/0) Z(I) C(COMMIT) Z(I)", Why: simple})
	add(Refused, "unsupported features, with 0A000",
		Case{Name: "FunctionCall", Send: script(pgproto.AppendMessage(nil, 'F', pgproto.Int32(1), []byte{0, 0, 0, 0, 0, 0}), query(ask)), Ready: 2,
			Want: "E(0A000) Z(I) T(1) " + one + " Z(I)", Alone: notAsked, Why: lenient},
		Case{Name: "COPY", Send: query("COPY stock_1.parts FROM STDIN"), Ready: 1, Want: "E(0A000) Z(I)", Alone: "C(COPY stock_1.parts FROM STDIN) Z(I)", Why: mayWrite},
		Case{Name: "LISTEN", Send: query("LISTEN stock"), Ready: 1, Want: "E(0A000) Z(I)", Alone: "C(LISTEN stock) Z(I)", Why: mayWrite},
		Case{Name: "PREPARE outside of a transaction", Send: query("PREPARE p AS SELECT 1"), Ready: 1, Want: "E(0A000) Z(I)", Alone: "C(PREPARE p AS SELECT 1) Z(I)", Why: mayWrite})
	add(Supported, "CopyData, CopyDone, CopyFail outside of a COPY: ignored",
		Case{Name: "all three, then Sync", Send: script(pgproto.AppendMessage(nil, 'd', []byte("x\n")), pgproto.AppendMessage(nil, 'c'), pgproto.AppendMessage(nil, 'f', pgproto.CString("no")), sync), Ready: 1, Want: "Z(I)"})
	add(Ended, "Terminate",
		Case{Name: "idle connection", Send: terminate, Want: "end"},
		Case{Name: "after a batch", Send: script(parse("", ask), bind("", ""), execute("", 0), sync, terminate), Want: "1 2 " + one + " Z(I) end"})
	add(Ended, "malformed framing",
		Case{Name: "unknown message type", Send: pgproto.AppendMessage(nil, 'y', []byte("odd")), Want: "E(FATAL 08P01) end", Alone: notAsked, Why: lenient},
		Case{Name: "length field of 3", Send: []byte{'Q', 0, 0, 0, 3}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient},
		Case{Name: "length field of 2 GB", Send: []byte{'Q', 127, 255, 255, 255}, Want: "E(FATAL 08P01) end", Alone: "end", Why: lenient})
	add(Refused, "malformed message body",
		Case{Name: "Query without its terminating zero", Send: pgproto.AppendMessage(nil, 'Q', []byte("SELECT 1")), Ready: 1, Want: "E(08P01) Z(I)", Alone: "C() Z(I)", Why: lenient},
		Case{Name: "truncated Parse", Send: script(pgproto.AppendMessage(nil, 'P', []byte("s")), sync), Ready: 1, Want: "E(08P01) Z(I)", Alone: "1 Z(I)", Why: lenient},
		Case{Name: "Bind with fewer values than it states", Send: script(parse("s", askOne), pgproto.AppendMessage(nil, 'B', []byte("\x00s\x00\x00\x00\x00\x05")), sync), Ready: 1,
			Want: "1 E(08P01) Z(I)", Alone: "1 2 Z(I)", Why: lenient})
	return slices.Clip(list)
}

// Chain returns a case that runs n cases one after the other on one connection. They are drawn at random, by seed, from those
// that use a standard startup and keep the connection open. State that one case leaves behind must not change the answers to
// the next.
func Chain(n int, seed uint64) Case {
	rng := rand.New(rand.NewPCG(seed, 2))
	var candidates []Case
	for _, c := range Cases() {
		if c.Open == nil && c.Ready > 0 {
			candidates = append(candidates, c)
		}
	}
	chain := Case{Name: fmt.Sprintf("%d random cases, seed %d", n, seed), About: "cases one after the other"}
	var want []string
	for range n {
		c := candidates[rng.IntN(len(candidates))]
		chain.Send = append(append(chain.Send, c.Send...), script(closeMessage('S', "s"), sync)...)
		chain.Ready += c.Ready + 1
		want = append(want, c.Want, "3 Z(I)")
	}
	chain.Want = strings.Join(want, " ")
	return chain
}
