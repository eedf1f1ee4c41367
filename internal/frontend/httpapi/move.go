package httpapi

import (
	"fmt"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/netio"

	"github.com/fxamacker/cbor/v2"
)

// What another process needs to go on with a connection, or with a result that is fetched
// part by part, on whichever connection its client asks for the next one.

// state is a connection between two calls.
type state struct {
	Good    bool `cbor:"1,keyasint,omitempty"`
	Further bool `cbor:"2,keyasint,omitempty"`
}

// heldState is a result that its client has not fetched whole.
type heldState struct {
	Path  string           `cbor:"1,keyasint"`
	Parts []lineproto.Rows `cbor:"2,keyasint"`
	Until time.Duration    `cbor:"3,keyasint"`
}

// Name tells this front from others.
func (f *Frontend) Name() string { return "rest" }

// ReadLimit bounds what is read of a connection and not consumed, in bytes.
func (f *Frontend) ReadLimit() int { return http1.MaxRequestSize }

// OnAccept names who hears of each connection that is accepted, once its handler is there.
func (f *Frontend) OnAccept(fn func(*netio.Conn)) { f.accepted = fn }

// OnSharedChange names who hears of what all connections share, as ApplySharedState takes it, before
// anything is answered that relies on it; nil: nobody.
func (f *Frontend) OnSharedChange(fn func([]byte)) { f.shared = fn }

// OnUnknownCall is for calls that another process may have the answer to; here there are none.
func (f *Frontend) OnUnknownCall(func([]byte)) {}

// HandleForwardedCall takes such a call of another process.
func (f *Frontend) HandleForwardedCall([]byte) {}

func (f *Frontend) hold(h heldState) {
	if f.held[h.Path] != nil {
		return
	}
	size := 0
	for _, rows := range h.Parts {
		for _, p := range rows {
			size += len(p)
		}
	}
	f.held[h.Path] = &held{pages: h.Parts, size: size}
	f.heldSize += size
	f.loop.Timers.Add(h.Until, func() { f.release(h.Path) })
}

func (f *Frontend) share(all ...heldState) {
	if f.shared == nil || len(all) == 0 {
		return
	}
	if b, err := cbor.Marshal(all); err == nil { // of these types it never fails
		f.shared(b)
	}
}

// SharedState is what all connections share: results that wait to be fetched.
func (f *Frontend) SharedState() []byte {
	var all []heldState
	for path, h := range f.held {
		all = append(all, heldState{Path: path, Parts: h.pages, Until: f.loop.Now() + heldMoved})
	}
	b, _ := cbor.Marshal(all) // of these types it never fails
	return b
}

// heldMoved is how long a result that another process held is kept: no client waits longer.
const heldMoved = time.Minute

// ApplySharedState takes what the connections of another process share.
func (f *Frontend) ApplySharedState(b []byte) error {
	var all []heldState
	if err := cbor.Unmarshal(b, &all); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	for _, h := range all {
		if len(h.Parts) > 0 {
			f.hold(h)
		}
	}
	return nil
}

// RestoreConnection is a handler for a connection of another process, from its EncodeState.
func (f *Frontend) RestoreConnection(b []byte) (func(*netio.Conn) netio.Handler, error) {
	var s state
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("state of a connection: %w", err)
	}
	return func(c *netio.Conn) netio.Handler {
		k := &conn{front: f, conn: c, used: f.loop.Now(), good: s.Good, further: s.Further}
		f.conns[k] = struct{}{}
		if len(f.conns) > f.opts.MaxClients {
			f.makeRoom()
		}
		if !k.good {
			k.await()
		}
		return k
	}, nil
}

// Idle tells whether the connection is between two calls.
func (k *conn) Idle() bool { return k.request == nil }

// Closing tells whether the connection is about to end.
func (k *conn) Closing() bool { return k.close || k.ended }

// EncodeState is what another process needs to go on with a connection that is settled.
func (k *conn) EncodeState() []byte {
	b, _ := cbor.Marshal(state{k.good, k.further}) // of these types it never fails
	return b
}

// Transferred tells that the connection goes on in another process.
func (k *conn) Transferred() {
	k.ended = true
	k.due.Stop()
	delete(k.front.conns, k)
}

// RecoverRequest tells that the call which comes first was another process's, which died.
func (k *conn) RecoverRequest(left core.Orphan) { k.left = &left }
