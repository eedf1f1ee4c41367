package policy

import "math"

const (
	deviationsUntilOverdue = 3.0 // mean deviations of latency from which an attempt is overdue
	maxLatencyDeviation    = 5.0 // of one response, as a multiple of the expected latency
	initialLatencyDivisor  = 3   // of the objective, for the latency of a class without a response
	initialClassSamples    = 10
	maxClassSamples        = 50     // responses over which a class is averaged
	baselineGrowth         = 1.0005 // of the lowest latency with each response
	estimateSamples        = 50
	minEstimateRatio       = 0.1 // of an estimate to the usual one
	maxEstimateRatio       = 30
)

// class is a Class with what is learned of it, as moving averages.
type class struct {
	Class
	responses        int
	latencyMS        float64 // usual latency
	baselineMS       float64 // its lowest latency of late
	workMS           float64 // usual work of all threads
	latencyDeviation float64 // mean deviation of a latency from the expected one, as a fraction of that
	estimateMS       float64 // usual estimate of the work; 0: none was seen
	defaultGrantMB   float64 // memory to grant where there is no estimate; 0: the engine chooses
	grantMultiple    float64 // memory to grant, as a multiple of the estimate
}

func newClass(settings Class) *class {
	if settings.Threads <= 0 {
		settings.Threads = 1
	}
	usual := milliseconds(settings.LatencyObjective) / initialLatencyDivisor
	return &class{
		Class:            settings,
		latencyMS:        usual,
		baselineMS:       usual,
		workMS:           usual * settings.Threads,
		latencyDeviation: 1 / deviationsUntilOverdue,
		grantMultiple:    1,
	}
}

// samples is the number of responses that an average is taken over: the first responses count more.
func (c *class) samples() float64 {
	return float64(min(initialClassSamples+c.responses, maxClassSamples))
}

// recordLatency counts a response to a query of the given expected work.
func (c *class) recordLatency(latencyMS, workMS float64) {
	c.responses++
	samples := c.samples()
	deviation := math.Abs(latencyMS*c.workMS/(c.latencyMS*workMS) - 1)
	c.latencyDeviation += (min(deviation, maxLatencyDeviation) - c.latencyDeviation) / samples
	c.latencyMS += (latencyMS - c.latencyMS) / samples
	c.baselineMS = min(c.baselineMS*baselineGrowth, c.latencyMS)
}

// estimateRatio takes an estimate of a query's work and returns it relative to the usual one.
func (c *class) estimateRatio(estimateMS float64) float64 {
	if c.estimateMS == 0 {
		c.estimateMS = estimateMS
	}
	c.estimateMS += (estimateMS - c.estimateMS) / estimateSamples
	return min(max(estimateMS/c.estimateMS, minEstimateRatio), maxEstimateRatio)
}
