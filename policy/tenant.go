package policy

import (
	"math"
	"time"
)

const (
	// overQuotaFraction is the fraction of a limit that queries beyond their tenant's quota may use.
	overQuotaFraction = 0.5
	// bucketDeviations is the extra size of a tenant's token bucket, in standard deviations of the number
	// of queries in a second.
	bucketDeviations = 2.0
	// maxShareFactor is the largest share of a gateway, in equal shares, while no engine reports the
	// queries of the other gateways.
	maxShareFactor = 2.0
	// trafficSamples is the number of reports, or control periods, over which queries in flight are
	// averaged.
	trafficSamples = 40
	// maxArrivalPeriods and initialArrivalPeriods are the largest and the initial number of control periods
	// over which the arrival rate is averaged.
	maxArrivalPeriods     = 80
	initialArrivalPeriods = 4
)

// tokenBucket limits a tenant to its quota. One token admits one query.
type tokenBucket struct {
	quota    float64 // queries per second, summed over all gateways
	tokens   float64
	filledAt time.Duration // time of the latest refill
}

// tenantQuotas holds the token bucket of each tenant, by name.
type tenantQuotas map[string]*tokenBucket

func newTenantQuotas(tenants []Tenant) tenantQuotas {
	quotas := tenantQuotas{}
	for _, t := range tenants {
		quotas[t.Name] = &tokenBucket{quota: t.Quota, tokens: t.Quota + 1}
	}
	return quotas
}

// isOverQuota takes a token from the tenant's bucket and reports whether there was none. The bucket is
// refilled in proportion to this gateway's share of all traffic. An unknown tenant is always beyond its
// quota, unless there are no tenants at all.
func (t tenantQuotas) isOverQuota(tenant string, share float64, now time.Duration) bool {
	bucket := t[tenant]
	if bucket == nil {
		return len(t) > 0
	}
	perSecond := bucket.quota * share
	// A quota of few queries per second needs a relatively larger bucket for random variation.
	size := perSecond + bucketDeviations*math.Sqrt(perSecond) + 1
	bucket.tokens = min(bucket.tokens+perSecond*(now-bucket.filledAt).Seconds(), size)
	bucket.filledAt = now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// trafficShare estimates the fraction of all traffic that arrives at this gateway.
type trafficShare struct {
	gateways         int
	totalQuota       float64 // of all tenants, queries per second; 0: no tenants
	arrivalRate      float64 // queries per second, without the clients' retries
	arrivals         int     // in this control period, without the clients' retries
	ownInFlight      float64 // mean queries in flight per engine, from this gateway
	reportedInFlight float64 // the same from all gateways; 0: not reported
}

func newTrafficShare(s *Settings) trafficShare {
	t := trafficShare{gateways: s.Gateways}
	for _, tenant := range s.Tenants {
		t.totalQuota += tenant.Quota
	}
	t.arrivalRate = t.totalQuota / float64(s.Gateways)
	return t
}

func (t *trafficShare) recordReport(inFlight float64) {
	t.reportedInFlight += (inFlight - t.reportedInFlight) / trafficSamples
}

// endPeriod ends a control period with the given number of queries in flight and updates the averages.
func (t *trafficShare) endPeriod(tickCount, queries, engines int) {
	periods := min(initialArrivalPeriods+tickCount/ticksPerPeriod, maxArrivalPeriods)
	rate := float64(t.arrivals) / controlPeriod.Seconds()
	t.arrivalRate += (rate - t.arrivalRate) / float64(periods)
	t.arrivals = 0
	perEngine := float64(queries) / float64(max(engines, 1))
	t.ownInFlight += (perEngine - t.ownInFlight) / trafficSamples
}

// share returns the estimated share, at least an equal one. With quotas it is the arrival rate over the
// total quota; otherwise it is this gateway's queries in flight over those that the engines report.
func (t *trafficShare) share() float64 {
	equal := 1 / float64(t.gateways)
	if t.totalQuota <= 0 {
		return min(max(t.ownInFlight/max(t.reportedInFlight, 1), equal), t.maxShareOfInFlight(equal))
	}
	return min(max(t.arrivalRate/t.totalQuota, equal), 1)
}

// maxShareOfInFlight returns the largest share that may be estimated from queries in flight. While no
// engine reports the queries of the other gateways, these may have as many in flight as this one.
func (t *trafficShare) maxShareOfInFlight(equalShare float64) float64 {
	if t.reportedInFlight == 0 {
		return min(maxShareFactor*equalShare, 1)
	}
	return 1
}
