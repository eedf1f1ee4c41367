package postgres

import (
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"

	"github.com/fxamacker/cbor/v2"
)

// What another process needs to go on with a connection between two messages: all that the
// client has set up. What a statement may do and its class are not among it: the other
// process reads them anew, by its own rules.

type connState struct {
	Process    uint32            `cbor:"1,keyasint"`
	Secret     [4]byte           `cbor:"2,keyasint"`
	Started    bool              `cbor:"3,keyasint,omitempty"`
	Timeout    time.Duration     `cbor:"4,keyasint,omitempty"`
	Skip       bool              `cbor:"5,keyasint,omitempty"`
	Describe   bool              `cbor:"6,keyasint,omitempty"`
	Describing string            `cbor:"7,keyasint,omitempty"`
	Statements []statementState  `cbor:"8,keyasint,omitempty"`
	Portals    []portalState     `cbor:"9,keyasint,omitempty"`
	User       string            `cbor:"10,keyasint,omitempty"`
	Settings   []pgproto.Setting `cbor:"11,keyasint,omitempty"`
}

type statementState struct {
	Named bool            `cbor:"1,keyasint,omitempty"` // it has its name still; else only portals have it
	Name  string          `cbor:"2,keyasint,omitempty"`
	Query string          `cbor:"3,keyasint"`
	Types []byte          `cbor:"4,keyasint,omitempty"`
	Known *pgproto.Result `cbor:"5,keyasint,omitempty"`
}

type portalState struct {
	Name      string          `cbor:"1,keyasint,omitempty"`
	Statement int             `cbor:"2,keyasint"`
	Bind      []byte          `cbor:"3,keyasint,omitempty"`
	Token     string          `cbor:"4,keyasint,omitempty"`
	Result    *pgproto.Result `cbor:"5,keyasint,omitempty"`
	Given     int             `cbor:"6,keyasint,omitempty"`
	Rest      []byte          `cbor:"7,keyasint,omitempty"`
	Over      bool            `cbor:"8,keyasint,omitempty"`
}

// Name tells this front from others.
func (f *Frontend) Name() string { return "postgres" }

// ReadLimit bounds what is read of a connection and not consumed, in bytes.
func (f *Frontend) ReadLimit() int { return maxBuffer }

// OnAccept names who hears of each connection that is accepted, once its handler is there.
func (f *Frontend) OnAccept(fn func(*netio.Conn)) { f.accepted = fn }

// OnSharedChange is for what connections share beside what SharedState tells; here there is none.
func (f *Frontend) OnSharedChange(func([]byte)) {}

// OnUnknownCall names who hears of a CancelRequest whose connection is not here: another process
// may have it. nil: nobody.
func (f *Frontend) OnUnknownCall(fn func([]byte)) { f.stray = fn }

// HandleForwardedCall takes a CancelRequest that another process was sent.
func (f *Frontend) HandleForwardedCall(body []byte) {
	stray := f.stray
	f.stray = nil // it goes no further
	f.cancel(body)
	f.stray = stray
}

// numbersApart is kept between the process numbers that two processes give out.
const numbersApart = 1 << 16

// SharedState is what all connections share: where the process numbers of new ones begin.
func (f *Frontend) SharedState() []byte {
	b, _ := cbor.Marshal(f.last + numbersApart) // of this type it never fails
	return b
}

// ApplySharedState takes what the connections of another process share.
func (f *Frontend) ApplySharedState(b []byte) error {
	var from uint32
	if err := cbor.Unmarshal(b, &from); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	f.last = max(f.last, from)
	return nil
}

// Idle tells whether no request and no transaction is open, no login under way and nothing encrypted:
// the state of TLS can't be handed on.
func (k *conn) Idle() bool {
	return k.request == nil && k.tx == nil && k.login == nil && !k.conn.UsesTLS()
}

// Closing tells whether the connection is about to end.
func (k *conn) Closing() bool { return k.ended || k.ending }

// EncodeState is what another process needs to go on with a connection that is settled.
func (k *conn) EncodeState() []byte {
	s := connState{
		Process: k.process, Secret: k.secret, Started: k.started, Timeout: k.timeout, Skip: k.skip, User: k.user, Settings: k.settings,
		Describe: k.describe, Describing: k.describing,
	}
	place := map[*statement]int{}
	add := func(st *statement, name string, named bool) int {
		at, ok := place[st]
		if !ok {
			at = len(s.Statements)
			place[st] = at
			s.Statements = append(s.Statements, statementState{named, name, st.query, st.types, st.known})
		}
		return at
	}
	for name, st := range k.statements {
		add(st, name, true)
	}
	for name, p := range k.portals {
		s.Portals = append(s.Portals, portalState{name, add(p.statement, "", false), p.bind, p.token, p.result, p.given, p.rest, p.over})
	}
	b, _ := cbor.Marshal(s) // of these types it never fails
	return b
}

// RestoreConnection is a handler for a connection of another process, from its EncodeState.
func (f *Frontend) RestoreConnection(b []byte) (func(*netio.Conn) netio.Handler, error) {
	var s connState
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("state of a connection: %w", err)
	}
	for _, p := range s.Portals {
		if p.Statement < 0 || p.Statement >= len(s.Statements) {
			return nil, fmt.Errorf("state of a connection: portal %q has no statement", p.Name)
		}
	}
	return func(c *netio.Conn) netio.Handler {
		f.last = max(f.last, s.Process)
		k := f.enter(c, s.Process)
		k.secret, k.user, k.settings, k.started, k.timeout, k.skip = s.Secret, s.User, s.Settings, s.Started, s.Timeout, s.Skip
		k.describe, k.describing = s.Describe, s.Describing
		all := make([]*statement, len(s.Statements))
		for i, st := range s.Statements {
			one, e := k.prepare(st.Query, st.Types, false)
			if e != nil { // the rules here have no place for it; whoever names it is told that it is not there
				f.stats.Add("pgwire.statements-dropped")
				continue
			}
			one.known = st.Known
			if all[i] = one; st.Named {
				k.statements[st.Name] = one
			}
		}
		for _, p := range s.Portals {
			st := all[p.Statement]
			r := pgproto.Reader{Rest: slices.Clone(p.Bind)}
			binds, ok := bound(&r)
			if st == nil || !ok {
				f.stats.Add("pgwire.portals-dropped")
				continue
			}
			one := &portal{statement: st, bind: p.Bind, token: p.Token, result: p.Result, given: p.Given, rest: p.Rest, over: p.Over}
			if st.read != nil {
				one.binds = binds
			}
			k.portals[p.Name] = one
			f.held += len(p.Rest)
		}
		if k.describe && k.portals[k.describing] == nil {
			k.describe = false
		}
		return k
	}, nil
}

// Transferred tells that the connection goes on in another process.
func (k *conn) Transferred() {
	k.ended = true
	k.stall.Stop()
	delete(k.front.conns, k.process)
	k.dropPortals()
}

// RecoverRequest tells that the request which comes first was another process's, which died.
func (k *conn) RecoverRequest(left core.Orphan) { k.left = &left }
