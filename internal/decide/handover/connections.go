package handover

import (
	"cmp"
	"slices"
)

// connection is the source's state of a client connection.
type connection struct {
	id          ConnID
	transferred bool    // the target has it; the source keeps a duplicate of its descriptor
	busy        bool    // at the source, with a request in flight or a partly read or written message
	request     Request // the target's latest record, if transferred
}

// connectionTable holds the connections sorted by ID. New connections are appended, as their IDs
// are higher than all earlier ones.
type connectionTable struct{ entries []connection }

func (t *connectionTable) add(id ConnID) { t.entries = append(t.entries, connection{id: id}) }

func (t *connectionTable) find(id ConnID) *connection {
	if i, ok := t.index(id); ok {
		return &t.entries[i]
	}
	return nil
}

// local returns the connection if it is at the source, else nil.
func (t *connectionTable) local(id ConnID) *connection {
	if c := t.find(id); c != nil && !c.transferred {
		return c
	}
	return nil
}

// remote returns the connection if it was transferred to the target, else nil.
func (t *connectionTable) remote(id ConnID) *connection {
	if c := t.find(id); c != nil && c.transferred {
		return c
	}
	return nil
}

func (t *connectionTable) index(id ConnID) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(c connection, id ConnID) int { return cmp.Compare(c.id, id) })
}

func (t *connectionTable) remove(id ConnID) {
	if i, ok := t.index(id); ok {
		t.entries = slices.Delete(t.entries, i, i+1)
	}
}

func (t *connectionTable) empty() bool { return len(t.entries) == 0 }

// idle returns the connections that can be transferred now. It is called before the first transfer
// of an upgrade, when all connections are at the source.
func (t *connectionTable) idle() []ConnID {
	var ids []ConnID
	for _, c := range t.entries {
		if !c.busy {
			ids = append(ids, c.id)
		}
	}
	return ids
}

// releaseTransferred removes the target's connections and returns the effects that release their
// duplicates.
func (t *connectionTable) releaseTransferred() []SourceEffect {
	var effects []SourceEffect
	for _, c := range t.entries {
		if c.transferred {
			effects = append(effects, ReleaseDuplicate{c.id})
		}
	}
	t.entries = slices.DeleteFunc(t.entries, func(c connection) bool { return c.transferred })
	return effects
}

// reclaimTransferred moves the target's connections back to the source and returns the effects that
// reclaim them. Those with a request in flight count as busy until it is recovered.
func (t *connectionTable) reclaimTransferred() []SourceEffect {
	var effects []SourceEffect
	for i := range t.entries {
		c := &t.entries[i]
		if !c.transferred {
			continue
		}
		effects = append(effects, ReclaimConnection{c.id, c.request})
		c.transferred = false
		c.busy = c.request.InFlight
		c.request = Request{}
	}
	return effects
}
