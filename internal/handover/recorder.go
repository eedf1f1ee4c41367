package handover

import (
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
)

// recorder is the netio.Journal of a transferred connection. It reports each read and write of the
// connection to the source before it happens, so that the source can reclaim the connection.
type recorder struct {
	target  *Target
	conn    uint32       // ID of the connection
	handler Transferable // nil if the handler is not transferable
	client  core.Client  // nil if the handler is not a client of the core
}

// newRecorder returns a recorder for a connection with its ID and handler.
func (t *Target) newRecorder(conn uint32, h netio.Handler) *recorder {
	r := &recorder{target: t, conn: conn}
	r.handler, _ = h.(Transferable)
	if client, ok := h.(core.Client); ok {
		r.client = client
		t.recorders[client] = r
	}
	return r
}

// recordRequest reports to the source the sends after which a request may have run.
func (t *Target) recordRequest(r *core.Request) {
	recorder := t.recorders[r.Client]
	if recorder == nil {
		return
	}
	class, _ := t.core.Class(r.Class)
	m := newRequestRecord(recorder.conn, r.Deadline, class.Idempotency, t.core.AttemptsThatMayHaveRun(r))
	if key, ok := t.core.RememberedKey(r); ok {
		m.Class = key.Class
		m.Key = key.Token
	}
	t.send(m)
}

// stopRecording removes all recorders. This process is the owner now, so no other process will
// reclaim its connections.
func (t *Target) stopRecording() {
	for c := range t.loop.Conns() {
		if c.HasJournal() {
			c.SetJournal(nil)
		}
	}
	clear(t.recorders)
	t.core.OnAttemptsChanged(nil)
}

// Input reports bytes that are about to be read. Unlike the other methods it may be called on the
// poller's goroutine.
func (r *recorder) Input(_ *netio.Conn, offset int64, b []byte) {
	r.target.send(&InputRecord{Conn: r.conn, Offset: offset, ReceivedAt: r.target.loop.Now(), Data: b})
}

// Output reports bytes that are about to be written, with the handler's state if no request is in
// flight after them, also within a transaction.
func (r *recorder) Output(c *netio.Conn, offset int64, b []byte) {
	m := &OutputRecord{Conn: r.conn, Offset: offset, Data: b}
	if h := r.handler; h != nil && (h.Settled() || h.Closing()) {
		m.Idle = true
		m.InTransaction = !h.Idle() && !h.Closing()
		m.Closing = h.Closing() || m.InTransaction
		m.Consumed = c.ConsumedPosition()
		if !m.endsConnection() {
			m.State = h.EncodeState()
		}
	}
	r.target.send(m)
}

// Ended reports that the connection has ended.
func (r *recorder) Ended(*netio.Conn) {
	delete(r.target.recorders, r.client)
	r.target.send(&ConnectionClosed{Conn: r.conn})
}
