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

// connectionState is the state from which another process continues a connection that has no
// unanswered request. It is encoded as CBOR.
type connectionState struct {
	// Served is set if the client has made a valid request.
	Served bool `cbor:"1,keyasint,omitempty"`
	// NextPagePending is set if the latest response named a further page.
	NextPagePending bool `cbor:"2,keyasint,omitempty"`
}

// resultState is a held result as it is encoded as CBOR for another process. That process serves the
// further pages on any connection on which the client requests them.
type resultState struct {
	Path      string           `cbor:"1,keyasint"` // path of the result without a page number
	Pages     []lineproto.Rows `cbor:"2,keyasint"` // all pages, the first included
	HeldUntil time.Duration    `cbor:"3,keyasint"` // time of the loop's clock at which the result is dropped
}

// holdAfterTransfer is how long a result taken over from another process is held. No client waits longer.
const holdAfterTransfer = time.Minute

// Name returns the name that distinguishes this frontend from others in a handover.
func (f *Frontend) Name() string { return "rest" }

// ReadLimit returns the maximum number of unconsumed bytes that are buffered for a connection.
func (f *Frontend) ReadLimit() int { return http1.MaxRequestSize }

// OnAccept sets the callback for each accepted connection; it is called once the connection is
// registered. Nil removes the callback.
func (f *Frontend) OnAccept(fn func(*netio.Conn)) { f.hooks.onAccept = fn }

// OnSharedStateChange sets the callback for changes of the state that connections share, encoded for
// ApplySharedState. It is called before any response that depends on the change. Nil removes it.
func (f *Frontend) OnSharedStateChange(fn func([]byte)) { f.hooks.onSharedStateChange = fn }

// OnUnknownRequest does nothing: this frontend has no requests that only another process can answer.
func (f *Frontend) OnUnknownRequest(func([]byte)) {}

// HandleForwardedRequest does nothing: no process forwards requests of this frontend.
func (f *Frontend) HandleForwardedRequest([]byte) {}

// publishResults reports newly held results to the OnSharedStateChange callback.
func (f *Frontend) publishResults(results ...resultState) {
	if f.hooks.onSharedStateChange == nil || len(results) == 0 {
		return
	}
	encoded, err := cbor.Marshal(results)
	if err == nil { // marshalling these types never fails
		f.hooks.onSharedStateChange(encoded)
	}
}

// SharedState encodes the state that connections share: the results held for clients to fetch.
func (f *Frontend) SharedState() []byte {
	var results []resultState
	until := f.loop.Now() + holdAfterTransfer
	for path, result := range f.results.byPath {
		results = append(results, resultState{Path: path, Pages: result.pages, HeldUntil: until})
	}
	encoded, _ := cbor.Marshal(results) // never fails for these types
	return encoded
}

// ApplySharedState adds the results that another process encoded with SharedState or reported
// through OnSharedStateChange.
func (f *Frontend) ApplySharedState(encoded []byte) error {
	var results []resultState
	if err := cbor.Unmarshal(encoded, &results); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	for _, result := range results {
		if len(result.Pages) > 0 {
			f.holdResult(result)
		}
	}
	return nil
}

// RestoreConnection decodes the EncodeState of another process's connection. It returns a function
// that registers the connection in this process and returns its handler.
func (f *Frontend) RestoreConnection(encoded []byte) (func(*netio.Conn) netio.Handler, error) {
	var state connectionState
	if err := cbor.Unmarshal(encoded, &state); err != nil {
		return nil, fmt.Errorf("state of a connection: %w", err)
	}
	return func(socket *netio.Conn) netio.Handler {
		c := &conn{
			frontend: f, socket: socket, lastActivity: f.loop.Now(),
			served: state.Served, nextPagePending: state.NextPagePending,
		}
		f.add(c)
		if !c.served {
			c.startRequestTimer()
		}
		return c
	}, nil
}

// Idle reports whether the connection has no unanswered request, here or of a process that died.
func (c *conn) Idle() bool { return c.request == nil && c.orphan == nil }

// Settled reports whether EncodeState covers all requests that were read.
func (c *conn) Settled() bool { return c.Idle() }

// Closing reports whether the connection is closing or will close after its next response.
func (c *conn) Closing() bool { return c.closeAfterResponse || c.ended }

// EncodeState encodes the state from which another process continues an idle connection.
func (c *conn) EncodeState() []byte {
	state := connectionState{Served: c.served, NextPagePending: c.nextPagePending}
	encoded, _ := cbor.Marshal(state) // never fails for this type
	return encoded
}

// Transferred unregisters a connection that another process has taken over.
func (c *conn) Transferred() { c.unregister() }

// RecoverRequest stores what is known about the first request of the connection, which a process
// that died had received.
func (c *conn) RecoverRequest(orphan core.Orphan) { c.orphan = &orphan }
