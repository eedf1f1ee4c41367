package handover

import (
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/netio"
)

// connectionTable has the connections of an upgrade by the IDs that both processes use.
type connectionTable struct {
	lastID      decide.ConnID // IDs rise over all upgrades of this process
	local       map[decide.ConnID]*netio.Conn
	busy        map[decide.ConnID]bool // of local: the machine knows that they can't be transferred
	transferred map[decide.ConnID]*retainedConnection
}

func (t *connectionTable) reset() {
	t.local = map[decide.ConnID]*netio.Conn{}
	t.busy = map[decide.ConnID]bool{}
	t.transferred = map[decide.ConnID]*retainedConnection{}
}

// add adds a connection of this process.
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

// retained returns what is retained of a connection, or nil.
func (t *connectionTable) retained(conn uint32) *retainedConnection {
	return t.transferred[decide.ConnID(conn)]
}

// takeRetained removes what is retained of a connection and returns it, or nil.
func (t *connectionTable) takeRetained(id decide.ConnID) *retainedConnection {
	r := t.transferred[id]
	delete(t.transferred, id)
	return r
}
