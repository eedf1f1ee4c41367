package policy

// reportSlowStart reports a change of an engine's slow start to the process log. before is the state before
// the change.
func (g *Gateway) reportSlowStart(e *engine, evidence StartEvidence, before *warmUp) {
	if g.slowStart.window <= 0 {
		return
	}
	e.warmUp.reportedAt = g.now
	e.recentWork.prune(g.now - g.slowStart.window)
	g.emit(SlowStartChanged{
		Engine: e.id, Evidence: evidence,
		WarmIn: max(e.warmUp.until-g.now, 0), PreviousWarmIn: max(before.until-g.now, 0),
		BudgetSpentFor: max(e.warmUp.budgetSpentUntil-g.now, 0), Sent: e.recentWork.total(),
	})
}
