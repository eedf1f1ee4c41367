package handover

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
)

// recorder sends a record of what the target does with one connection, before it does it, so that
// the source can reclaim the connection. It is the connection's netio.Journal.
type recorder struct {
	target  *Target
	conn    uint32
	handler Transferable
	client  core.Client
}

func (t *Target) newRecorder(conn uint32, h netio.Handler) *recorder {
	r := &recorder{target: t, conn: conn}
	r.handler, _ = h.(Transferable)
	if client, ok := h.(core.Client); ok {
		r.client = client
		t.recorders[client] = r
	}
	return r
}

// recordRequest records that a request goes to an engine.
func (t *Target) recordRequest(r *core.Request, firstSend time.Duration) {
	recorder := t.recorders[r.Client]
	if recorder == nil {
		return
	}
	class, _ := t.core.Class(r.Class)
	t.send(&RequestRecord{
		Conn: recorder.conn, Idempotency: uint8(class.Idempotency), FirstSend: firstSend, KeyWindow: class.DedupWindow, Deadline: r.Deadline,
	})
}

// stopRecording ends all records: this process is the owner, and nobody would reclaim anything.
func (t *Target) stopRecording() {
	for c := range t.loop.Conns() {
		if c.HasJournal() {
			c.SetJournal(nil)
		}
	}
	clear(t.recorders)
	t.core.OnFirstSend(nil)
}

// Input records what is read.
func (r *recorder) Input(_ *netio.Conn, offset int64, b []byte) {
	r.target.send(&InputRecord{Conn: r.conn, Offset: offset, ReceivedAt: r.target.loop.Now(), Data: b})
}

// Output records what is written, with the handler's state if no request is in flight behind it.
func (r *recorder) Output(c *netio.Conn, offset int64, b []byte) {
	m := &OutputRecord{Conn: r.conn, Offset: offset, Data: b}
	if h := r.handler; h != nil && (h.Idle() || h.Closing()) {
		m.Idle = true
		m.Closing = h.Closing()
		m.Consumed = c.ConsumedPosition()
		if !m.Closing {
			m.State = h.EncodeState()
		}
	}
	r.target.send(m)
}

// Ended records that the connection has ended.
func (r *recorder) Ended(*netio.Conn) {
	delete(r.target.recorders, r.client)
	r.target.send(&ConnectionClosed{Conn: r.conn})
}
