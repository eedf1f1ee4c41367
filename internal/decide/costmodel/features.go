package costmodel

import (
	"math"

	"gannetspur/internal/sqltext"
)

// featureCount is the number of features of the prior.
const featureCount = 29

// featureVector holds the features of a statement and its values for the prior.
type featureVector [featureCount]float64

// Indexes in a feature vector of the features that newFeatureVector sets separately.
const (
	longListFeature   = 22
	wideRangeFeature  = 23
	largeLimitFeature = 24
	firstClassFeature = 25                               // from here on, one indicator for each of the first known classes
	classFeatures     = featureCount - firstClassFeature // number of these indicators
)

// maxJoinsFeature bounds the number of joins that are counted.
const maxJoinsFeature = 6

// newFeatureVector returns the features of a statement and its values, scaled to similar ranges.
// class is the index of the statement's class if already known, or -1.
func newFeatureVector(f *sqltext.Features, p *sqltext.Profile, class int) (x featureVector) {
	indicator := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	logScale := func(n float64) float64 { return math.Log2(1 + n) }
	x = featureVector{
		1, // intercept
		logScale(float64(f.Tables)),
		float64(min(f.Joins, maxJoinsFeature)),
		logScale(float64(f.Aggregates)),
		indicator(f.Windows > 0),
		indicator(f.Groups > 0),
		indicator(f.Sorts > 0),
		indicator(f.Distincts > 0),
		logScale(float64(max(f.Selects-1, 0))),
		indicator(f.Command == sqltext.CommandInsert),
		indicator(f.Command != sqltext.CommandInsert && f.Command != sqltext.CommandSelect),
		indicator(f.Where),
		indicator(f.Limited),
		logScale(float64(p.Alternatives)) / 4,
		logScale(p.Span) / 4,
		indicator(p.HalfOpen),
		indicator(p.Pattern == sqltext.PrefixPattern),
		indicator(p.Pattern == sqltext.LeadingWildcard),
		logScale(p.Limit) / 8,
		indicator(p.DisabledRestrictions > 0),
		indicator(p.Unrestricted),
		logScale(float64(p.Rows)) / 4,
	}
	// Above a certain size each doubling has a larger effect: short lists and narrow ranges are looked
	// up in an index, long and wide ones are not.
	x[longListFeature] = math.Max(0, logScale(float64(p.Alternatives))-4) / 2
	x[wideRangeFeature] = math.Max(0, logScale(p.Span)-4) / 2
	x[largeLimitFeature] = math.Max(0, logScale(p.Limit)-8) / 4
	if class >= 0 && class < classFeatures {
		x[firstClassFeature+class] = 1
	}
	return x
}
