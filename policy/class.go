package policy

import "math"

const (
	// deviationsUntilOverdue is the number of mean deviations above the expected latency at which an
	// attempt is overdue.
	deviationsUntilOverdue = 3.0
	// maxLatencyDeviation bounds the deviation that one response counts for, as a multiple of the expected
	// latency.
	maxLatencyDeviation = 5.0
	// initialLatencyDivisor divides the latency objective of a class to give its usual latency before the
	// first response.
	initialLatencyDivisor = 3
	// initialClassSamples and maxClassSamples are the smallest and the largest number of responses over
	// which the statistics of a class are averaged.
	initialClassSamples = 10
	maxClassSamples     = 50
	// baselineGrowth is the factor by which the baseline latency grows with each response, so that it
	// follows the lowest recent latency.
	baselineGrowth = 1.0005
	// estimateSamples is the number of estimates over which the usual estimate is averaged.
	estimateSamples = 50
	// minEstimateRatio and maxEstimateRatio bound the ratio of an estimate to the usual one.
	minEstimateRatio = 0.1
	maxEstimateRatio = 30
)

// class is a Class and the statistics of its queries, which are moving averages.
type class struct {
	Class
	responses  int     // number of responses recorded
	latencyMS  float64 // usual latency
	baselineMS float64 // lowest recent value of latencyMS
	workMS     float64 // usual work, summed over all threads of a query
	// latencyDeviation is the mean absolute deviation of the latency from the expected one, as a fraction
	// of the latter.
	latencyDeviation float64
	estimateMS       float64 // usual estimate of the work; 0: none so far
	unserved         unservedTime
	defaultGrantMB   float64 // granted to queries without an estimate; 0: the engine chooses
	grantMultiple    float64 // memory to grant, as a multiple of the estimate
}

func newClass(settings Class) *class {
	if settings.Threads <= 0 {
		settings.Threads = 1
	}
	initialLatencyMS := milliseconds(settings.LatencyObjective) / initialLatencyDivisor
	return &class{
		Class:            settings,
		latencyMS:        initialLatencyMS,
		baselineMS:       initialLatencyMS,
		workMS:           initialLatencyMS * settings.Threads,
		latencyDeviation: 1 / deviationsUntilOverdue,
		grantMultiple:    1,
	}
}

// samples returns the number of responses over which to average. It is smaller at first, so that the first
// responses count more.
func (c *class) samples() float64 {
	return float64(min(initialClassSamples+c.responses, maxClassSamples))
}

// recordLatency records the latency of a response to a query of the given expected work.
func (c *class) recordLatency(latencyMS, workMS float64) {
	c.responses++
	samples := c.samples()
	deviation := math.Abs(latencyMS*c.workMS/(c.latencyMS*workMS) - 1)
	c.latencyDeviation += (min(deviation, maxLatencyDeviation) - c.latencyDeviation) / samples
	c.latencyMS += (latencyMS - c.latencyMS) / samples
	c.baselineMS = min(c.baselineMS*baselineGrowth, c.latencyMS)
}

// estimateRatio records an estimate of a query's work and returns its ratio to the usual estimate.
func (c *class) estimateRatio(estimateMS float64) float64 {
	if c.estimateMS == 0 {
		c.estimateMS = estimateMS
	}
	c.estimateMS += (estimateMS - c.estimateMS) / estimateSamples
	return min(max(estimateMS/c.estimateMS, minEstimateRatio), maxEstimateRatio)
}
