package handover

import (
	"cmp"
	"slices"
)

// connection is what the source knows of a connection.
type connection struct {
	id          ConnID
	transferred bool // the target has it; the source keeps a duplicate of its descriptor
	busy        bool // a request is in flight here, or part of a message was read or is to be written
	request     Request
}

// connectionTable holds connections in the order of their IDs, as IDs only rise.
type connectionTable struct{ entries []connection }

func (t *connectionTable) add(id ConnID) { t.entries = append(t.entries, connection{id: id}) }

func (t *connectionTable) find(id ConnID) *connection {
	if i, ok := t.index(id); ok {
		return &t.entries[i]
	}
	return nil
}

// local returns a connection that the source has, or nil.
func (t *connectionTable) local(id ConnID) *connection {
	if c := t.find(id); c != nil && !c.transferred {
		return c
	}
	return nil
}

// remote returns a connection that the target has, or nil.
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

// idle returns the connections that can be transferred now.
func (t *connectionTable) idle() []ConnID {
	var ids []ConnID
	for _, c := range t.entries {
		if !c.busy {
			ids = append(ids, c.id)
		}
	}
	return ids
}

// releaseTransferred removes the target's connections and returns the release of their duplicates.
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

// reclaimTransferred makes the target's connections the source's own again.
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
