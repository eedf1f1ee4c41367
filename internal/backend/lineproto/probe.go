package lineproto

import (
	"fmt"
	"strconv"

	"gannetspur/internal/core"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// probe is one question to an engine for its load, on a link that carries requests as well. A
// link carries one at a time; its tag is no id of a request, as those are 16 hex digits.
type probe struct {
	link  *link
	tag   string
	timer *timerqueue.Entry
}

// RequestLoadReport asks an engine for its load, on a connection that is up where there is one. An engine
// that a probe is out to is not asked again: two answers would tell the same.
func (ls *Backend) RequestLoadReport(id string) {
	e := ls.engines.Get(id)
	if e == nil {
		ls.core.EndLoadReport(id, core.OutcomeNoAddress, policy.LoadReport{})
		return
	}
	var on *link
	for _, l := range e.Connections {
		if l.probe != nil {
			ls.core.EndLoadReport(id, core.OutcomeNotSent, policy.LoadReport{})
			return
		}
		if !l.retired && (on == nil || on.conn == nil && l.conn != nil) {
			on = l
		}
	}
	if on == nil {
		on = ls.dial(e)
	}
	ls.probes++
	p := &probe{link: on, tag: "p" + strconv.FormatUint(ls.probes, 10)}
	on.probe = p
	p.wait()
	if on.conn != nil {
		p.write()
	}
}

// wait bounds how long the probe takes: a report of the moment is wanted, not of some time ago.
// The settings name no time of its own for it; within that of a connect an engine that lives
// has answered beside its queue.
func (p *probe) wait() {
	ls := p.link.all
	p.timer.Stop()
	p.timer = ls.loop.Timers.Add(ls.core.Now()+ls.site.ConnectTimeout, func() { p.end(core.OutcomeTimeout, policy.LoadReport{}) })
}

// write asks: for the load where the deployment's probes tell it, else whether the engine is there.
func (p *probe) write() {
	p.wait()
	word := "there "
	if p.link.all.site.Policy.ReportsLoad {
		word = "busy "
	}
	p.link.conn.Write([]byte(word + p.tag + "\r\n"))
}

// answer takes the engine's word. What is not fit tells its load all the same.
func (p *probe) answer(a answer) error {
	switch a.word {
	case "FIT":
		p.end(core.OutcomeServed, gauges(a.fields))
	case "UNFIT":
		p.end(core.OutcomeEngineError, gauges(a.fields))
	default:
		return fmt.Errorf("unknown word %.20q in the answer to a probe", a.word)
	}
	return nil
}

// end tells what came of the probe, once. A late answer goes by as one under an unknown id.
func (p *probe) end(end core.Outcome, load policy.LoadReport) {
	l := p.link
	p.timer.Stop()
	l.probe = nil
	l.used = l.all.core.Now()
	l.all.core.EndLoadReport(l.engine.ID, end, load)
	l.closeIfDone()
}
