package handover

import "time"

// The target may have a share of bad answers above MaxBadShare by usualBadFactor times the usual
// share, and by maxBadAllowance at most. In overload rejections are normal and no reason to
// return.
const (
	usualBadFactor  = 1.5
	maxBadAllowance = 0.5
)

// probation is what the target has shown during an upgrade.
type probation struct {
	lastMessage time.Duration
	good, bad   int
	maxBadShare float64
}

func newProbation(maxBadShare, usualBadShare float64, now time.Duration) probation {
	allowance := min(usualBadFactor*max(usualBadShare, 0), maxBadAllowance)
	return probation{lastMessage: now, maxBadShare: maxBadShare + allowance}
}

func (p *probation) count(h TargetHeartbeat) {
	p.good += h.Good
	p.bad += h.Bad
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
	total := p.good + p.bad
	if total >= cfg.MinGoodAnswers && float64(p.bad) > p.maxBadShare*float64(total) {
		return verdictFailed, TooManyBadAnswers
	}
	if spent < cfg.MinProbation || p.good < cfg.MinGoodAnswers && spent < cfg.MaxProbation {
		return verdictOpen, NoFailure
	}
	if p.good == 0 && p.bad > 0 {
		return verdictFailed, NoGoodAnswer
	}
	if p.good == 0 && inFlight > 0 {
		return verdictFailed, NoAnswer
	}
	return verdictPassed, NoFailure
}
