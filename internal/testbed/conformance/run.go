// Package conformance tests a server of the PostgreSQL wire protocol (version 3.0, chapter 55 of PostgreSQL's manual). Each
// case sends a script of messages and compares the answer with the expected one. A script is sent in one write, byte by byte,
// and in pieces of random length. A gateway in front of an engine and the engine alone get the same scripts, so that
// differences between them are due to the gateway.
package conformance

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"gannetspur/internal/pgproto"
)

// Case is a script of messages and the expected answer. An answer is written as words, one per message: the letter of its
// type, and its relevant content in parentheses.
type Case struct {
	Name  string // what the script does
	About string // messages or behavior of the protocol under test
	Kind  Kind   // how the server is expected to react
	Open  []byte // first message of the connection; nil: a standard startup, whose answer is not part of Want
	Send  []byte // messages after that
	Ready int    // number of ReadyForQuery messages after which the answer ends; 0: the answer ends with the connection
	Want  string // expected answer
	Alone string // expected answer of the emulated engine alone; "": the same as Want; notAsked: it is not tested
	Why   string // reason for Alone, if that is not ""
}

// Kind is how a server reacts to a script.
type Kind uint8

// Reactions of a server.
const (
	Supported Kind = iota // the script is executed
	Refused               // the server answers with an ErrorResponse, and the connection stays open
	Ended                 // the server closes the connection, with a FATAL error or without
)

func (k Kind) String() string { return [...]string{"supported", "refused", "ended"}[k] }

// Way is how a script is divided into writes.
type Way uint8

// Ways of dividing a script.
const (
	Whole  Way = iota // one write
	Bytes             // one write per byte
	Pieces            // writes of 1 to 30 bytes, drawn at random
)

// Ways lists all ways of dividing a script.
var Ways = []Way{Whole, Bytes, Pieces}

func (w Way) String() string { return [...]string{"whole", "byte by byte", "in pieces"}[w] }

// caseTimeout is the time limit of a case. Answers normally take milliseconds.
const caseTimeout = 10 * time.Second

// Play runs a case against the server at addr and returns its answer as words. A missing answer is written as "..." after the
// timeout. seed determines the pieces.
func Play(addr string, c Case, way Way, seed uint64) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, caseTimeout)
	if err != nil {
		return "", fmt.Errorf("conformance: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(caseTimeout)); err != nil {
		return "", fmt.Errorf("conformance: %w", err)
	}
	p := &peer{conn: conn}
	standard := c.Open == nil
	if code, _, _, _ := pgproto.ReadStartup(c.Open); code == pgproto.SSLRequest || code == pgproto.GSSENCRequest {
		p.encryption = true
	}
	if standard {
		if _, err := conn.Write(Startup(pgproto.Version, "user", "desk")); err != nil {
			return "", fmt.Errorf("conformance: %w", err)
		}
		if words := p.readUntil(1); !strings.HasSuffix(words, "Z(I)") {
			return words, nil
		}
	}
	go send(conn, append(append([]byte{}, c.Open...), c.Send...), way, seed)
	return p.readUntil(c.Ready), nil
}

// send sends a script. It ignores write errors, because a server may close the connection before the end of the script.
func send(conn net.Conn, b []byte, way Way, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for len(b) > 0 {
		n := len(b)
		switch way {
		case Bytes:
			n = 1
		case Pieces:
			n = min(1+rng.IntN(30), n)
		}
		if _, err := conn.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
}

// peer reads the messages of a server.
type peer struct {
	conn       net.Conn
	in         []byte // input not processed yet
	encryption bool   // whether the next byte is the answer to a request for encryption, a single letter instead of a message
}

// readUntil returns the messages up to the ReadyForQuery of the given count as words, or those up to the end of the connection
// if ready is 0. The answer to a request for encryption is written as "no" or "yes".
func (p *peer) readUntil(ready int) string {
	var words []string
	for {
		if p.encryption && len(p.in) > 0 {
			if answer, ok := map[byte]string{'N': "no", 'S': "yes"}[p.in[0]]; ok {
				words = append(words, answer)
				p.in = p.in[1:]
			}
			p.encryption = false
			continue
		}
		kind, body, n, err := pgproto.ReadMessage(p.in, 1<<24)
		if err != nil {
			return strings.Join(append(words, "unreadable"), " ")
		}
		if n == 0 {
			b := make([]byte, 8192)
			m, err := p.conn.Read(b)
			p.in = append(p.in, b[:m]...)
			switch {
			case err == nil:
			case errors.Is(err, os.ErrDeadlineExceeded):
				return strings.Join(append(words, "..."), " ")
			case errors.Is(err, io.EOF), len(p.in) == 0 && m == 0:
				return strings.Join(append(words, "end"), " ")
			}
			continue
		}
		p.in = p.in[n:]
		if kind == 'S' || kind == 'K' { // ParameterStatus and BackendKeyData differ between servers
			continue
		}
		words = append(words, word(kind, body))
		if kind == 'Z' {
			if ready--; ready == 0 {
				return strings.Join(words, " ")
			}
		}
	}
}

// word returns the word for a message.
func word(kind byte, body []byte) string {
	r := pgproto.Reader{Rest: body}
	switch kind {
	case 'Z':
		return "Z(" + string(body) + ")"
	case 'C':
		return "C(" + r.CString() + ")"
	case 'R':
		return fmt.Sprintf("R(%d)", r.Int32())
	case 'v':
		return fmt.Sprintf("v(%d,%d)", r.Int32(), r.Int32())
	case 'T', 't':
		return fmt.Sprintf("%c(%d)", kind, r.Count())
	case 'D':
		var values []string
		for range r.Count() {
			if n := r.Int32(); n >= 0 {
				values = append(values, string(r.Bytes(n)))
			} else {
				values = append(values, "NULL")
			}
		}
		return "D(" + strings.Join(values, ",") + ")"
	case 'E', 'N':
		e, err := pgproto.ReadError(body)
		if err != nil {
			return string(kind) + "(unreadable)"
		}
		if e.Severity == "FATAL" {
			return string(kind) + "(FATAL " + e.Code + ")"
		}
		return string(kind) + "(" + e.Code + ")"
	}
	return string(kind)
}

// Startup returns a StartupMessage. params alternates names and values of parameters.
func Startup(version uint32, params ...string) []byte {
	var body []byte
	for _, p := range params {
		body = append(body, pgproto.CString(p)...)
	}
	return pgproto.AppendStartup(nil, version, append(body, 0))
}

// Result is the result of a case.
type Result struct {
	Case
	Got    map[Way]string // answers of the server
	Engine string         // answer of the engine alone; "": not tested
}

// OK reports whether the server's answers to all ways of dividing the script, and that of the engine alone, are as expected.
func (r *Result) OK() bool {
	for _, got := range r.Got {
		if got != r.Want {
			return false
		}
	}
	alone := r.Want
	if r.Alone != "" {
		alone = r.Alone
	}
	return r.Engine == "" || r.Engine == alone
}

// All runs all cases against the server at the address server and, if engine is not "", against the engine alone at that
// address. It returns an error if one of them cannot be reached.
func All(server, engine string, seed uint64) ([]*Result, error) {
	var list []*Result
	for _, c := range Cases() {
		r := &Result{Case: c, Got: map[Way]string{}}
		for _, way := range Ways {
			got, err := Play(server, c, way, seed)
			if err != nil {
				return nil, err
			}
			r.Got[way] = got
		}
		if engine != "" && c.Alone != notAsked {
			got, err := Play(engine, c, Whole, seed)
			if err != nil {
				return nil, err
			}
			r.Engine = got
		}
		list = append(list, r)
	}
	return list, nil
}
