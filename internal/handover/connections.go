package handover

import (
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/netio"
)

// connectionTable holds the client connections of an upgrade by ID. Both processes use the same IDs.
type connectionTable struct {
	lastID decide.ConnID                 // the last ID assigned; IDs increase across all upgrades of this process
	local  map[decide.ConnID]*netio.Conn // owned by this process
	// busy has the local connections that can't be transferred now, as last reported to the state
	// machine.
	busy        map[decide.ConnID]bool
	transferred map[decide.ConnID]*retainedConnection // owned by the target
}

func (t *connectionTable) reset() {
	t.local = map[decide.ConnID]*netio.Conn{}
	t.busy = map[decide.ConnID]bool{}
	t.transferred = map[decide.ConnID]*retainedConnection{}
}

// add assigns an ID to a connection of this process, adds it and returns the ID.
func (t *connectionTable) add(c *netio.Conn) decide.ConnID {
	t.lastID++
	t.local[t.lastID] = c
	return t.lastID
}

func (t *connectionTable) localCount() int { return len(t.local) }

func (t *connectionTable) removeLocal(id decide.ConnID) {
	delete(t.local, id)
	delete(t.busy, id)
}

// retained returns what is retained of a transferred connection, or nil if there is none.
func (t *connectionTable) retained(conn uint32) *retainedConnection {
	return t.transferred[decide.ConnID(conn)]
}

// removeRetained removes what is retained of a transferred connection and returns it, or nil if
// there is none.
func (t *connectionTable) removeRetained(id decide.ConnID) *retainedConnection {
	r := t.transferred[id]
	delete(t.transferred, id)
	return r
}
