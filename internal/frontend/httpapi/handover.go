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

// connectionState is what another process needs to go on with a connection between two requests.
type connectionState struct {
	Served          bool `cbor:"1,keyasint,omitempty"`
	NextPagePending bool `cbor:"2,keyasint,omitempty"`
}

// resultState is what another process needs to go on with a result that its client has not fetched
// whole, on whichever connection the client asks for the next page.
type resultState struct {
	Path  string           `cbor:"1,keyasint"`
	Pages []lineproto.Rows `cbor:"2,keyasint"`
	Until time.Duration    `cbor:"3,keyasint"`
}

// holdAfterTransfer is how long a result that another process held is kept: no client waits longer.
const holdAfterTransfer = time.Minute

// Name distinguishes this frontend from others.
func (f *Frontend) Name() string { return "rest" }

// ReadLimit bounds what is read of a connection and not consumed, in bytes.
func (f *Frontend) ReadLimit() int { return http1.MaxRequestSize }

// OnAccept sets the callback for each connection that is accepted, once its handler is there.
func (f *Frontend) OnAccept(fn func(*netio.Conn)) { f.hooks.onAccept = fn }

// OnSharedChange sets the callback for what all connections share, as ApplySharedState takes it. It
// is called before any response that relies on it; nil: there is none.
func (f *Frontend) OnSharedChange(fn func([]byte)) { f.hooks.onSharedChange = fn }

// OnUnknownCall sets nothing: there are no requests that only another process could answer.
func (f *Frontend) OnUnknownCall(func([]byte)) {}

// HandleForwardedCall ignores its argument, as OnUnknownCall does.
func (f *Frontend) HandleForwardedCall([]byte) {}

// publishResults reports results that are held from now on.
func (f *Frontend) publishResults(results ...resultState) {
	if f.hooks.onSharedChange == nil || len(results) == 0 {
		return
	}
	encoded, err := cbor.Marshal(results)
	if err == nil { // always, for these types
		f.hooks.onSharedChange(encoded)
	}
}

// SharedState is what all connections share: the results that wait to be fetched.
func (f *Frontend) SharedState() []byte {
	var results []resultState
	until := f.loop.Now() + holdAfterTransfer
	for path, result := range f.results.byPath {
		results = append(results, resultState{Path: path, Pages: result.pages, Until: until})
	}
	encoded, _ := cbor.Marshal(results) // never fails for these types
	return encoded
}

// ApplySharedState takes over what the connections of another process share.
func (f *Frontend) ApplySharedState(encoded []byte) error {
	var results []resultState
	if err := cbor.Unmarshal(encoded, &results); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	for _, result := range results {
		if len(result.Pages) > 0 {
			f.hold(result)
		}
	}
	return nil
}

// RestoreConnection returns a function that makes the handler of a connection of another process,
// from its EncodeState.
func (f *Frontend) RestoreConnection(encoded []byte) (func(*netio.Conn) netio.Handler, error) {
	var state connectionState
	if err := cbor.Unmarshal(encoded, &state); err != nil {
		return nil, fmt.Errorf("state of a connection: %w", err)
	}
	return func(socket *netio.Conn) netio.Handler {
		c := &conn{
			front: f, socket: socket, lastActivity: f.loop.Now(),
			served: state.Served, nextPagePending: state.NextPagePending,
		}
		f.add(c)
		if !c.served {
			c.startRequestTimer()
		}
		return c
	}, nil
}

// Idle tells whether the connection is between two requests.
func (c *conn) Idle() bool { return c.request == nil }

// Closing tells whether the connection is about to end.
func (c *conn) Closing() bool { return c.closeAfterResponse || c.ended }

// EncodeState is what another process needs to go on with an idle connection.
func (c *conn) EncodeState() []byte {
	state := connectionState{Served: c.served, NextPagePending: c.nextPagePending}
	encoded, _ := cbor.Marshal(state) // never fails for this type
	return encoded
}

// Transferred notifies that the connection goes on in another process.
func (c *conn) Transferred() { c.forget() }

// RecoverRequest notifies that the request which comes first was another process's, which died.
func (c *conn) RecoverRequest(orphan core.Orphan) { c.orphan = &orphan }
