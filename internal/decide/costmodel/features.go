package costmodel

import (
	"math"

	"gannetspur/internal/sqltext"
)

// featureCount is the number of features of the prior.
const featureCount = 29

type featureVector [featureCount]float64

// Places of features that are set apart from the others.
const (
	longListFeature   = 22
	wideRangeFeature  = 23
	largeLimitFeature = 24
	firstClassFeature = 25 // one of each known class from here on
	classFeatures     = featureCount - firstClassFeature
)

// maxJoinsFeature bounds the joins that count.
const maxJoinsFeature = 6

// newFeatureVector returns the features of a statement and its values, scaled to similar ranges.
// class is the index of the class that is already known, or -1.
func newFeatureVector(f *sqltext.Features, p *sqltext.Profile, class int) (x featureVector) {
	indicator := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	log := func(n float64) float64 { return math.Log2(1 + n) }
	x = featureVector{
		1, // intercept
		log(float64(f.Tables)),
		float64(min(f.Joins, maxJoinsFeature)),
		log(float64(f.Aggregates)),
		indicator(f.Windows > 0),
		indicator(f.Groups > 0),
		indicator(f.Sorts > 0),
		indicator(f.Distincts > 0),
		log(float64(max(f.Selects-1, 0))),
		indicator(f.Command == sqltext.CommandInsert),
		indicator(f.Command != sqltext.CommandInsert && f.Command != sqltext.CommandSelect),
		indicator(f.Where),
		indicator(f.Limited),
		log(float64(p.Alternatives)) / 4,
		log(p.Span) / 4,
		indicator(p.HalfOpen),
		indicator(p.Pattern == sqltext.PrefixPattern),
		indicator(p.Pattern == sqltext.LeadingWildcard),
		log(p.Limit) / 8,
		indicator(p.DisabledRestrictions > 0),
		indicator(p.Unrestricted),
		log(float64(p.Rows)) / 4,
	}
	// Above some size each doubling counts for more: short lists are found by an index, long ones
	// are not.
	x[longListFeature] = math.Max(0, log(float64(p.Alternatives))-4) / 2
	x[wideRangeFeature] = math.Max(0, log(p.Span)-4) / 2
	x[largeLimitFeature] = math.Max(0, log(p.Limit)-8) / 4
	if class >= 0 && class < classFeatures {
		x[firstClassFeature+class] = 1
	}
	return x
}
