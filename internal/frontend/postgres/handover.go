package postgres

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"

	"github.com/fxamacker/cbor/v2"
)

// errMissingStatement is a state in which a portal names a statement that is not there.
var errMissingStatement = errors.New("a portal has no statement")

// connectionState is what another process needs to go on with a connection between two messages: all
// that the client has set up. What a statement may do and its class are not among it: the other
// process reads them anew, by its own rules.
type connectionState struct {
	ProcessID        uint32            `cbor:"1,keyasint"`
	SecretKey        [4]byte           `cbor:"2,keyasint"`
	Started          bool              `cbor:"3,keyasint,omitempty"`
	StatementTimeout time.Duration     `cbor:"4,keyasint,omitempty"`
	SkipToSync       bool              `cbor:"5,keyasint,omitempty"`
	DescribePending  bool              `cbor:"6,keyasint,omitempty"`
	DescribedPortal  string            `cbor:"7,keyasint,omitempty"`
	Statements       []statementState  `cbor:"8,keyasint,omitempty"`
	Portals          []portalState     `cbor:"9,keyasint,omitempty"`
	User             string            `cbor:"10,keyasint,omitempty"`
	Settings         []pgproto.Setting `cbor:"11,keyasint,omitempty"`
}

type statementState struct {
	Named          bool            `cbor:"1,keyasint,omitempty"` // false: only portals have it
	Name           string          `cbor:"2,keyasint,omitempty"`
	Query          string          `cbor:"3,keyasint"`
	ParameterTypes []byte          `cbor:"4,keyasint,omitempty"`
	Description    *pgproto.Result `cbor:"5,keyasint,omitempty"`
}

type portalState struct {
	Name      string          `cbor:"1,keyasint,omitempty"`
	Statement int             `cbor:"2,keyasint"` // index in connectionState.Statements
	Bind      []byte          `cbor:"3,keyasint,omitempty"`
	Key       string          `cbor:"4,keyasint,omitempty"`
	Result    *pgproto.Result `cbor:"5,keyasint,omitempty"`
	SentRows  int             `cbor:"6,keyasint,omitempty"`
	Remaining []byte          `cbor:"7,keyasint,omitempty"`
	Completed bool            `cbor:"8,keyasint,omitempty"`
}

// Name tells this frontend from others.
func (f *Frontend) Name() string { return "postgres" }

// ReadLimit bounds what is read of a connection and not consumed, in bytes.
func (f *Frontend) ReadLimit() int { return maxReadBuffer }

// OnAccept sets who hears of each connection that is accepted, once its handler is there.
func (f *Frontend) OnAccept(fn func(*netio.Conn)) { f.onAccept = fn }

// OnSharedStateChange is for what connections share beside SharedState; here there is none.
func (f *Frontend) OnSharedStateChange(func([]byte)) {}

// OnUnknownRequest sets who hears of a CancelRequest whose connection is not here: another process may
// have it. nil: nobody.
func (f *Frontend) OnUnknownRequest(fn func([]byte)) { f.onUnknownCancel = fn }

// HandleForwardedRequest takes a CancelRequest that another process received. It is forwarded no
// further.
func (f *Frontend) HandleForwardedRequest(body []byte) {
	forward := f.onUnknownCancel
	f.onUnknownCancel = nil
	f.cancel(body)
	f.onUnknownCancel = forward
}

// processIDGap is kept between the process IDs that two processes give out.
const processIDGap = 1 << 16

// SharedState is what all connections share: where the process IDs of new ones begin.
func (f *Frontend) SharedState() []byte {
	b, _ := cbor.Marshal(f.lastProcessID + processIDGap) // of this type it never fails
	return b
}

// ApplySharedState takes what the connections of another process share.
func (f *Frontend) ApplySharedState(b []byte) error {
	var from uint32
	if err := cbor.Unmarshal(b, &from); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	f.lastProcessID = max(f.lastProcessID, from)
	return nil
}

// Idle reports whether the connection can be handed over: no request and no transaction is open, no
// login is under way, and nothing is encrypted, since the state of TLS can't be handed over.
func (c *connection) Idle() bool {
	return c.quiescent() && c.login.exchange == nil && !c.socket.UsesTLS()
}

// Closing reports whether the connection is about to end.
func (c *connection) Closing() bool { return c.ended || c.closing }

// EncodeState returns what another process needs to go on with a connection that is idle.
func (c *connection) EncodeState() []byte {
	state := connectionState{
		ProcessID:        c.processID,
		SecretKey:        c.secretKey,
		Started:          c.started,
		StatementTimeout: c.session.statementTimeout,
		SkipToSync:       c.skipToSync,
		DescribePending:  c.describePending,
		DescribedPortal:  c.describedPortal,
		User:             c.user,
		Settings:         c.session.settings,
	}
	index := map[*statement]int{}
	add := func(s *statement, encoded statementState) int {
		at, added := index[s]
		if !added {
			at = len(state.Statements)
			index[s] = at
			state.Statements = append(state.Statements, encoded)
		}
		return at
	}
	for name, s := range c.statements {
		encoded := s.encode()
		encoded.Named = true
		encoded.Name = name
		add(s, encoded)
	}
	for name, p := range c.portals {
		state.Portals = append(state.Portals, p.encode(name, add(p.statement, p.statement.encode())))
	}
	b, _ := cbor.Marshal(state) // of these types it never fails
	return b
}

func (s *statement) encode() statementState {
	return statementState{Query: s.query, ParameterTypes: s.parameterTypes, Description: s.description}
}

func (p *portal) encode(name string, statement int) portalState {
	return portalState{
		Name:      name,
		Statement: statement,
		Bind:      p.bind,
		Key:       p.key,
		Result:    p.result,
		SentRows:  p.sentRows,
		Remaining: p.remaining,
		Completed: p.completed,
	}
}

// RestoreConnection returns what makes the handler of a connection of another process, from its
// EncodeState.
func (f *Frontend) RestoreConnection(b []byte) (func(*netio.Conn) netio.Handler, error) {
	state, err := decodeConnectionState(b)
	if err != nil {
		return nil, fmt.Errorf("state of a connection: %w", err)
	}
	return func(socket *netio.Conn) netio.Handler {
		f.lastProcessID = max(f.lastProcessID, state.ProcessID)
		c := f.addConnection(socket, state.ProcessID)
		c.restore(state)
		return c
	}, nil
}

func decodeConnectionState(b []byte) (*connectionState, error) {
	var state connectionState
	if err := cbor.Unmarshal(b, &state); err != nil {
		return nil, err
	}
	for _, p := range state.Portals {
		if p.Statement < 0 || p.Statement >= len(state.Statements) {
			return nil, fmt.Errorf("%w: portal %q", errMissingStatement, p.Name)
		}
	}
	return &state, nil
}

func (c *connection) restore(state *connectionState) {
	c.secretKey = state.SecretKey
	c.user = state.User
	c.started = state.Started
	c.session.settings = state.Settings
	c.session.statementTimeout = state.StatementTimeout
	c.skipToSync = state.SkipToSync
	statements := c.restoreStatements(state.Statements)
	for _, p := range state.Portals {
		c.restorePortal(p, statements[p.Statement])
	}
	c.describedPortal = state.DescribedPortal
	c.describePending = state.DescribePending && c.portals[state.DescribedPortal] != nil
}

// restoreStatements prepares statements anew. One that the rules here have no place for is dropped,
// and nil in the result: whoever names it is told that it does not exist.
func (c *connection) restoreStatements(states []statementState) []*statement {
	restored := make([]*statement, len(states))
	for i, state := range states {
		s, e := c.frontend.prepare(state.Query, state.ParameterTypes, statementContext{})
		if e != nil {
			c.frontend.counters.Inc("pgwire.statements-dropped")
			continue
		}
		s.description = state.Description
		restored[i] = s
		if state.Named {
			c.statements[state.Name] = s
		}
	}
	return restored
}

// restorePortal restores a portal, unless its statement was dropped.
func (c *connection) restorePortal(state portalState, s *statement) {
	values, ok := readBind(&pgproto.Reader{Rest: slices.Clone(state.Bind)})
	if s == nil || !ok {
		c.frontend.counters.Inc("pgwire.portals-dropped")
		return
	}
	p := &portal{
		statement: s,
		bind:      state.Bind,
		key:       state.Key,
		result:    state.Result,
		remaining: state.Remaining,
		sentRows:  state.SentRows,
		completed: state.Completed,
	}
	if s.shape != nil {
		p.values = values
	}
	c.portals[state.Name] = p
	c.frontend.heldBytes += len(state.Remaining)
}

// Transferred tells that the connection goes on in another process.
func (c *connection) Transferred() { c.frontend.removeConnection(c) }

// RecoverRequest tells that the request which comes first was read by another process, which died.
func (c *connection) RecoverRequest(orphan core.Orphan) { c.inFlight.orphan = &orphan }
