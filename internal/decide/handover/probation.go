package handover

import "time"

// The target's failure rate may exceed MaxFailureRate by usualFailureFactor times the usual rate, and by maxFailureAllowance at most. In overload rejections are normal and no reason to
// return.
const (
	usualFailureFactor  = 1.5
	maxFailureAllowance = 0.5
)

// probation is what the target has shown during an upgrade.
type probation struct {
	lastMessage         time.Duration
	successes, failures int
	maxFailureRate      float64
}

func newProbation(maxFailureRate, usualFailureRate float64, now time.Duration) probation {
	allowance := min(usualFailureFactor*max(usualFailureRate, 0), maxFailureAllowance)
	return probation{lastMessage: now, maxFailureRate: maxFailureRate + allowance}
}

func (p *probation) count(h TargetHeartbeat) {
	p.successes += h.Successes
	p.failures += h.Failures
}

// verdict is the result of a look at the probation.
type verdict uint8

const (
	verdictOpen verdict = iota // it goes on
	verdictPassed
	verdictFailed
)

// judge decides whether the probation, which has lasted for spent, is over.
func (p *probation) judge(cfg Config, spent time.Duration, inFlight int) (verdict, FailureReason) {
	total := p.successes + p.failures
	if total >= cfg.MinSuccesses && float64(p.failures) > p.maxFailureRate*float64(total) {
		return verdictFailed, TooManyFailures
	}
	if spent < cfg.MinProbation || p.successes < cfg.MinSuccesses && spent < cfg.MaxProbation {
		return verdictOpen, NoFailure
	}
	if p.successes == 0 && p.failures > 0 {
		return verdictFailed, NoSuccess
	}
	if p.successes == 0 && inFlight > 0 {
		return verdictFailed, NoAnswer
	}
	return verdictPassed, NoFailure
}
