package policy

// Placement is where an attempt was sent, as the engine list had it at that moment. A list that moves the
// engine to another zone or cell later does not change which engines know the attempt's idempotency key.
type Placement struct {
	Engine string // ID; empty: unknown
	Zone   string
	Cell   int64
}

// placement returns where the engine is according to the engine list.
func (e *engine) placement() Placement { return Placement{Engine: e.id, Zone: e.zone, Cell: e.cell} }

// dropsRepeatAt reports whether a repeat of the attempt is dropped at the engine.
func (a *attempt) dropsRepeatAt(e *engine) bool {
	return sharesDeduplication(a.query.class.DedupScope, a.placement, e.placement())
}

// sharesDeduplication reports whether engines at two places drop each other's repeats of a query with an
// idempotency key.
func sharesDeduplication(scope DedupScope, a, b Placement) bool {
	switch scope {
	case DedupAll:
		return true
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	}
	return false
}
