package handover

import "time"

// The target's failure rate may exceed Config.MaxFailureFraction by usualFailureFactor times the usual
// failure rate of the source, and by maxFailureAllowance at most. Under overload rejections are
// normal and no reason to roll back.
const (
	usualFailureFactor  = 1.5
	maxFailureAllowance = 0.5
)

// probation holds the data by which the target of an upgrade is judged.
type probation struct {
	lastMessage         time.Duration // when the target's latest message arrived, or the upgrade began
	successes, failures int           // responses of the target
	maxFailureFraction  float64       // Config.MaxFailureFraction plus the allowance for the source's usual failure rate
}

func newProbation(maxFailureFraction, usualFailureRate float64, now time.Duration) probation {
	allowance := min(usualFailureFactor*max(usualFailureRate, 0), maxFailureAllowance)
	return probation{lastMessage: now, maxFailureFraction: maxFailureFraction + allowance}
}

// count adds the responses that a heartbeat reports.
func (p *probation) count(heartbeat TargetHeartbeat) {
	p.successes += heartbeat.Successes
	p.failures += heartbeat.Failures
}

// probationResult is the result of evaluating a probation.
type probationResult uint8

const (
	probationOngoing probationResult = iota // no decision yet
	probationPassed
	probationFailed
)

// evaluate decides whether the probation, which has lasted for elapsed, has passed or failed, and
// returns the reason if it has failed. inFlight is the number of the target's requests in flight.
//
// The failure rate is evaluated once there are MinSuccesses responses, whatever their result. A
// target without any response passes only if it has no requests in flight, as then it had no work
// that it could be judged by.
func (p *probation) evaluate(cfg Config, elapsed time.Duration, inFlight int) (probationResult, FailureReason) {
	total := p.successes + p.failures
	if total >= cfg.MinSuccesses && float64(p.failures) > p.maxFailureFraction*float64(total) {
		return probationFailed, TooManyFailures
	}
	if elapsed < cfg.MinProbation || p.successes < cfg.MinSuccesses && elapsed < cfg.MaxProbation {
		return probationOngoing, NoFailure
	}
	if p.successes == 0 && p.failures > 0 {
		return probationFailed, NoSuccessfulResponse
	}
	if p.successes == 0 && inFlight > 0 {
		return probationFailed, NoResponse
	}
	return probationPassed, NoFailure
}
