package simwire

import (
	"encoding/json"

	"gannetspur/internal/config"
	"gannetspur/policy"
)

// engineTableCount is the number of engine lists that the protocol provides, numbered from 0.
const engineTableCount = 16

// readTable stores a list of engines under a number, by which later messages refer to it.
func (h *Host) readTable(m *message) {
	number, ok := h.tableNumber(m, 0)
	var rows [][]json.RawMessage
	m.decode(1, "elements", &rows)
	if !ok || m.err != nil {
		return
	}
	table := make([]policy.Engine, len(rows))
	for i, row := range rows {
		entry := &message{name: "POOL", values: row}
		table[i] = decodeEngine(entry)
		if entry.err != nil {
			m.errorf("elements", "entry %d: %v", i, entry.err)
			return
		}
	}
	h.tables[number] = table
}

// tableNumber decodes the number of an engine list from value i, and reports whether it is valid.
func (h *Host) tableNumber(m *message, i int) (number int64, ok bool) {
	number = m.integer(i, "table")
	if m.err == nil && (number < 0 || number >= engineTableCount) {
		m.errorf("table", "%d is not within 0 to %d", number, engineTableCount-1)
	}
	return number, m.err == nil
}

func decodeEngine(m *message) policy.Engine {
	engine := policy.Engine{Zone: m.text(0, "zone"), Kind: m.text(1, "family-type"), ID: m.text(2, "engine")}
	m.decodeOptional(3, "cluster", &engine.Cell)
	var startedMS float64
	m.decodeOptional(4, "last-start-ms", &startedMS)
	engine.Started = config.FromMS(startedMS)
	engine.StartKnown = startedMS > 0
	state := m.text(6, "availability")
	switch state {
	case "live":
		engine.State = policy.EngineLive
	case "quiescing":
		engine.State = policy.EngineDraining
	case "dead":
		engine.State = policy.EngineDeparted
	default:
		m.errorf("availability", "unknown state %q", state)
	}
	return engine
}
