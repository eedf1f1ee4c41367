package policy

import (
	"math"
	"time"
)

const (
	overQuotaFraction   = 0.5 // of a limit, for queries beyond their tenant's quota
	bucketDeviations    = 2.0 // of a second's queries that a tenant's bucket forgives
	maxShareFactor      = 2.0 // equal shares that a gateway takes at most while it can't see the others
	trafficSamples      = 40  // reports or control periods that queries in flight are averaged over
	maxArrivalPeriods   = 80  // control periods that the arrival rate is averaged over
	firstArrivalPeriods = 4
)

// tokenBucket limits a tenant to its quota.
type tokenBucket struct {
	quota    float64 // queries per second, over all gateways
	tokens   float64
	filledAt time.Duration
}

// tenantQuotas has the bucket of each tenant.
type tenantQuotas map[string]*tokenBucket

func newTenantQuotas(tenants []Tenant) tenantQuotas {
	quotas := tenantQuotas{}
	for _, t := range tenants {
		quotas[t.Name] = &tokenBucket{quota: t.Quota, tokens: t.Quota + 1}
	}
	return quotas
}

// isOverQuota takes one token of the tenant's, for this gateway's share of all traffic. Unknown tenants count
// as beyond their quota.
func (t tenantQuotas) isOverQuota(tenant string, share float64, now time.Duration) bool {
	bucket := t[tenant]
	if bucket == nil {
		return len(t) > 0
	}
	perSecond := bucket.quota * share
	// A quota of few queries a second needs more room for chance.
	size := perSecond + bucketDeviations*math.Sqrt(perSecond) + 1
	bucket.tokens = min(bucket.tokens+perSecond*(now-bucket.filledAt).Seconds(), size)
	bucket.filledAt = now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// trafficShare estimates this gateway's share of all traffic.
type trafficShare struct {
	gateways         int
	totalQuota       float64 // of all tenants, queries per second; 0: there are none
	arrivalRate      float64 // queries per second, without the clients' retries
	arrivals         int     // of this control period
	ownInFlight      float64 // queries of this gateway for each engine, averaged
	reportedInFlight float64 // queries of all gateways on an engine, averaged; 0: not reported
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

// endPeriod takes the arrivals of a control period and the queries in flight at its end.
func (t *trafficShare) endPeriod(tickCount, queries, engines int) {
	periods := min(firstArrivalPeriods+tickCount/ticksPerPeriod, maxArrivalPeriods)
	rate := float64(t.arrivals) / controlPeriod.Seconds()
	t.arrivalRate += (rate - t.arrivalRate) / float64(periods)
	t.arrivals = 0
	perEngine := float64(queries) / float64(max(engines, 1))
	t.ownInFlight += (perEngine - t.ownInFlight) / trafficSamples
}

// share is an equal one at the least: with quotas, the arrivals over the quotas; else this gateway's queries
// over those that the engines report.
func (t *trafficShare) share() float64 {
	equal := 1 / float64(t.gateways)
	if t.totalQuota <= 0 {
		return min(max(t.ownInFlight/max(t.reportedInFlight, 1), equal), t.maxShareOfInFlight(equal))
	}
	return min(max(t.arrivalRate/t.totalQuota, equal), 1)
}

// maxShareOfInFlight bounds the share where no engine reports what the other gateways have in flight: it may
// be as much.
func (t *trafficShare) maxShareOfInFlight(equal float64) float64 {
	if t.reportedInFlight == 0 {
		return min(maxShareFactor*equal, 1)
	}
	return 1
}
