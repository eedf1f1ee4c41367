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

// errMissingStatement is returned for a state in which a portal refers to a statement that is missing.
var errMissingStatement = errors.New("portal refers to a missing statement")

// connectionState is the state that another process needs to continue a connection between two
// messages: everything that the client has set up. It does not include the effects and classes of
// statements, because the other process determines them by its own rules. Unless commented, the fields
// here, in statementState and in portalState have the meaning and unit of the fields of the same name
// in connection, statement and portal.
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
	Transaction      *transactionState `cbor:"12,keyasint,omitempty"` // nil if none is open
}

// transactionState is an open transaction in a connectionState. Its engine connection is never handed over. So if
// a statement was sent to an engine, the transaction is lost for the other process.
type transactionState struct {
	BeginQuery string `cbor:"1,keyasint"`
	AtEngine   bool   `cbor:"2,keyasint,omitempty"` // a statement was sent to an engine
	Failed     bool   `cbor:"3,keyasint,omitempty"`
	Lost       bool   `cbor:"4,keyasint,omitempty"`
}

// statementState is a prepared statement in a connectionState.
type statementState struct {
	Named          bool            `cbor:"1,keyasint,omitempty"` // false if only portals refer to it
	Name           string          `cbor:"2,keyasint,omitempty"`
	Query          string          `cbor:"3,keyasint"`
	ParameterTypes []byte          `cbor:"4,keyasint,omitempty"`
	Description    *pgproto.Result `cbor:"5,keyasint,omitempty"`
}

// portalState is a portal in a connectionState.
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

// Name returns the name that distinguishes this frontend from others.
func (f *Frontend) Name() string { return "postgres" }

// ReadLimit returns the maximum size in bytes of data that is read from a connection but not yet
// consumed.
func (f *Frontend) ReadLimit() int { return maxReadBuffer }

// OnAccept sets the function that is called for each accepted connection, once its handler exists.
func (f *Frontend) OnAccept(fn func(*netio.Conn)) { f.onAccept = fn }

// OnSharedStateChange does nothing: connections of this frontend share nothing besides SharedState.
func (f *Frontend) OnSharedStateChange(func([]byte)) {}

// OnUnknownRequest sets the function that is called with the body of a CancelRequest whose connection
// is unknown here: another process may own it. nil disables the call.
func (f *Frontend) OnUnknownRequest(fn func([]byte)) { f.onUnknownCancel = fn }

// HandleForwardedRequest handles a CancelRequest that another process received. It is not forwarded
// again.
func (f *Frontend) HandleForwardedRequest(body []byte) {
	forward := f.onUnknownCancel
	f.onUnknownCancel = nil
	f.handleCancelRequest(body)
	f.onUnknownCancel = forward
}

// processIDGap separates the process IDs that two processes assign, so that they don't collide.
const processIDGap = 1 << 16

// SharedState returns the encoded state that all connections share: the number after which the process
// IDs of another process begin.
func (f *Frontend) SharedState() []byte {
	b, _ := cbor.Marshal(f.lastProcessID + processIDGap) // can't fail for this type
	return b
}

// ApplySharedState applies the SharedState of another process.
func (f *Frontend) ApplySharedState(b []byte) error {
	var firstProcessID uint32
	if err := cbor.Unmarshal(b, &firstProcessID); err != nil {
		return fmt.Errorf("decode shared state: %w", err)
	}
	f.lastProcessID = max(f.lastProcessID, firstProcessID)
	return nil
}

// Idle reports whether the connection can be handed over: no request and no transaction is open, no
// login is in progress, and the connection does not use TLS, whose state can't be handed over.
func (c *connection) Idle() bool { return c.Settled() && c.transaction == nil }

// Settled reports whether EncodeState covers all messages that were read: no request is in flight, here or in a process
// that died, though a transaction may be open, no login is in progress, and the connection does not use TLS.
func (c *connection) Settled() bool {
	return c.inFlight.request == nil && c.inFlight.orphan == nil && c.login.exchange == nil && !c.socket.UsesTLS()
}

// Closing reports whether the connection is about to end.
func (c *connection) Closing() bool { return c.ended || c.closing }

// EncodeState returns the encoded connectionState of a settled connection.
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
		Transaction:      c.transaction.encode(),
	}
	positions := map[*statement]int{}
	addStatement := func(s *statement, encoded statementState) int {
		position, added := positions[s]
		if !added {
			position = len(state.Statements)
			positions[s] = position
			state.Statements = append(state.Statements, encoded)
		}
		return position
	}
	for name, s := range c.statements {
		encoded := s.encode()
		encoded.Named = true
		encoded.Name = name
		addStatement(s, encoded)
	}
	for name, p := range c.portals {
		state.Portals = append(state.Portals, p.encode(name, addStatement(p.statement, p.statement.encode())))
	}
	b, _ := cbor.Marshal(state) // can't fail for these types
	return b
}

// encode returns the state of an open transaction, or nil if t is nil.
func (t *transaction) encode() *transactionState {
	if t == nil {
		return nil
	}
	return &transactionState{BeginQuery: t.beginQuery, AtEngine: t.request != nil, Failed: t.failed, Lost: t.lost}
}

// restoreTransaction opens a decoded transaction. If an engine ran a part of it, that part is rolled back.
func (c *connection) restoreTransaction(state *transactionState) {
	if state == nil {
		return
	}
	c.openTransaction(&transaction{
		beginQuery: state.BeginQuery,
		failed:     state.Failed || state.AtEngine,
		lost:       state.Lost || state.AtEngine && !state.Failed,
	})
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

// RestoreConnection decodes the EncodeState of another process's connection. It returns a function that
// creates the connection's handler for its socket.
func (f *Frontend) RestoreConnection(b []byte) (func(*netio.Conn) netio.Handler, error) {
	state, err := decodeConnectionState(b)
	if err != nil {
		return nil, fmt.Errorf("decode connection state: %w", err)
	}
	return func(socket *netio.Conn) netio.Handler {
		f.lastProcessID = max(f.lastProcessID, state.ProcessID)
		c := f.addConnection(socket, state.ProcessID)
		c.restore(state)
		return c
	}, nil
}

// decodeConnectionState decodes a connectionState and checks that each portal's statement exists.
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

// restore applies a decoded state to a new connection.
func (c *connection) restore(state *connectionState) {
	c.secretKey = state.SecretKey
	c.user = state.User
	c.started = state.Started
	c.session.settings = state.Settings
	c.session.statementTimeout = state.StatementTimeout
	c.skipToSync = state.SkipToSync
	c.countSettings()
	statements := c.restoreStatements(state.Statements)
	for _, p := range state.Portals {
		c.restorePortal(p, statements[p.Statement])
	}
	c.describedPortal = state.DescribedPortal
	c.describePending = state.DescribePending && c.portals[state.DescribedPortal] != nil
	c.restoreTransaction(state.Transaction)
}

// restoreStatements prepares the statements again. One that this process rejects is dropped and nil in
// the result: a client that refers to it is told that it does not exist.
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
			c.putStatement(state.Name, s)
		}
	}
	return restored
}

// restorePortal restores a portal. It drops the portal if its statement was dropped or its Bind is
// malformed.
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
	c.addMemory(p.size())
	c.frontend.heldBytes += len(state.Remaining)
}

// Transferred removes the connection because another process has taken it over.
func (c *connection) Transferred() { c.frontend.removeConnection(c) }

// RecoverRequest records that the next request was already read by another process, which died.
func (c *connection) RecoverRequest(orphan core.Orphan) { c.inFlight.orphan = &orphan }
