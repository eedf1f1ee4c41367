// Package conformance says what a server of the PostgreSQL wire protocol (version 3.0, chapter 55 of its manual) answers to
// scripts of messages, and tries that on one: whole, split at every byte, and in pieces drawn by chance. A gateway before an
// engine and the engine by itself are asked the same, so that differences are the gateway's.
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

// Case is one script and what is expected to come back, as words: a letter for each message, with what matters of it.
type Case struct {
	Name  string
	About string // messages and behaviour of the protocol that it tries
	Kind  Kind
	Open  []byte // what the connection begins with; nil: a usual startup
	Send  []byte // behind that
	Ready int    // how many ReadyForQuery end it; 0: the connection's end
	Want  string
	Alone string // what the emulated engine answers by itself, where that differs, or notAsked; with Why
	Why   string
}

// Kind is what a server makes of a case's subject.
type Kind uint8

// Kinds.
const (
	Supported Kind = iota
	Refused        // with an error of the protocol's, and the connection goes on
	Ended          // with a FATAL error or none, and the connection's end
)

func (k Kind) String() string { return [...]string{"supported", "refused", "ended"}[k] }

// Way is how a script is cut when it is sent.
type Way uint8

// Ways.
const (
	Whole  Way = iota
	Bytes      // each byte by itself
	Pieces     // of 1 to 30 bytes, by chance
)

// Ways are all of them.
var Ways = []Way{Whole, Bytes, Pieces}

func (w Way) String() string { return [...]string{"whole", "byte by byte", "in pieces"}[w] }

// patience is how long a server has for a case. Its answers take milliseconds.
const patience = 10 * time.Second

// Play plays a case on a server and words what came. An answer that does not come in time is worded as "...".
func Play(addr string, c Case, way Way, seed uint64) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return "", fmt.Errorf("conformance: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return "", fmt.Errorf("conformance: %w", err)
	}
	p := &peer{conn: conn}
	usual := c.Open == nil
	if code, _, _, _ := pgproto.ReadStartup(c.Open); code == pgproto.SSLRequest || code == pgproto.GSSENCRequest {
		p.letter = true
	}
	if usual {
		if _, err := conn.Write(Startup(pgproto.Version, "user", "desk")); err != nil {
			return "", fmt.Errorf("conformance: %w", err)
		}
		if words := p.until(1); !strings.HasSuffix(words, "Z(I)") {
			return words, nil
		}
	}
	go cut(conn, append(append([]byte{}, c.Open...), c.Send...), way, seed)
	return p.until(c.Ready), nil
}

// cut sends a script. A server may end the connection in the middle of it.
func cut(conn net.Conn, b []byte, way Way, seed uint64) {
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

// peer reads a server's messages.
type peer struct {
	conn   net.Conn
	in     []byte
	letter bool // a request for encryption is answered by one letter, which is no message
}

// until words what comes up to the n-th ReadyForQuery, or where n is 0 to the connection's end. The letter that answers a request for encryption
// is worded as "no" or "yes".
func (p *peer) until(ready int) string {
	var words []string
	for {
		if p.letter && len(p.in) > 0 {
			if said, ok := map[byte]string{'N': "no", 'S': "yes"}[p.in[0]]; ok {
				words = append(words, said)
				p.in = p.in[1:]
			}
			p.letter = false
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
		if kind == 'S' || kind == 'K' { // parameters and keys are a server's own
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

// word is a message in short.
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

// Startup is a connection's first message with parameters.
func Startup(version uint32, params ...string) []byte {
	var body []byte
	for _, p := range params {
		body = append(body, pgproto.CString(p)...)
	}
	return pgproto.AppendStartup(nil, version, append(body, 0))
}

// Result is what came of a case.
type Result struct {
	Case
	Got    map[Way]string
	Engine string // by itself; "": not asked
}

// OK tells whether all came as expected, however the script was cut, and from the engine by itself.
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

// All plays all cases on a server, and where there is one on an engine by itself.
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
