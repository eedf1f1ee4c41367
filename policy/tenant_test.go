package policy

import (
	"testing"
	"time"
)

func TestQuotaToleratesSparseTraffic(t *testing.T) {
	s := testSettings()
	s.Gateways, s.Tenants = 200, []Tenant{{Name: "t", Quota: 100, Share: 1}}
	d := newDriver(t, s, liveEngine("e", "a", 1))
	over := 0
	for id := uint64(1); id < 40; id++ { // one query every two seconds, this gateway's equal share
		d.advance(2 * time.Second).handle(TimerFired{})
		if d.g.tenants.isOverQuota("t", d.g.traffic.share(), d.now) {
			over++
		}
	}
	if over > 0 {
		t.Fatalf("%d of 39 queries within the quota counted as beyond it, want 0", over)
	}
	for range 100 {
		if d.advance(100 * time.Millisecond).handle(TimerFired{}); d.g.tenants.isOverQuota("t", d.g.traffic.share(), d.now) {
			over++
		}
	}
	if over < 80 {
		t.Fatalf("%d of 100 queries at twenty times the quota counted as beyond it, want at least 80", over)
	}
}

func TestShareFollowsReportedLoadWithoutTenants(t *testing.T) {
	s := testSettings()
	s.Gateways = 100
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	d.g.settings.ProgressInterval = time.Hour // no attempt counts as silent
	d.g.silenceTimeout = time.Hour
	for id := uint64(1); id <= 8; id++ {
		d.arrive(id, "non-idempotent")
	}
	inFlight := float64(len(d.g.queries))
	if inFlight < 2 {
		t.Fatalf("%v queries in flight, want at least 2", inFlight)
	}
	for range 100 { // half of the queries on the two engines are from this gateway
		d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: 0.5, InFlight: inFlight}})
		d.runTicks(500 * time.Millisecond)
	}
	if got := d.g.traffic.share(); got < 0.4 || got > 0.6 {
		t.Fatalf("share = %.2f with half of the queries from this gateway, want 0.4 to 0.6", got)
	}
	for range 200 {
		d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: 0.5, InFlight: inFlight * 60}})
	}
	if got := d.g.traffic.share(); got < 0.01 || got > 0.011 {
		t.Fatalf("share = %v, want the equal share, 0.01 to 0.011", got)
	}
}

// TestShareIsBoundedWithoutReports has many queries in flight at one gateway while no engine reports those
// of the other gateways. These may have as many, so the gateway may take at most twice its equal share.
func TestShareIsBoundedWithoutReports(t *testing.T) {
	s := testSettings()
	s.Gateways = 6
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	for id := range uint64(500) {
		actions := d.advance(20 * time.Millisecond).handle(QueryArrived{Query: id, Class: "wide", Deadline: d.now + 15*time.Second})
		if len(sendsIn(actions)) > 0 {
			d.handle(AttemptProgress{Query: id, Kind: ProgressFraction, Value: 0.5})
		}
		d.handle(TimerFired{})
	}
	if share := d.g.traffic.share(); d.g.traffic.ownInFlight < 1 || share > 2.0/6+1e-9 {
		t.Errorf("share = %.2f with %.1f queries in flight per engine, want at most 2/6 with at least 1", share, d.g.traffic.ownInFlight)
	}
}

func TestTokenBucketRefillsAtQuota(t *testing.T) {
	quotas := newTenantQuotas([]Tenant{{Name: "t", Quota: 10}})
	now := time.Minute
	admitted := 0
	for range 100 { // all at once
		if !quotas.isOverQuota("t", 1, now) {
			admitted++
		}
	}
	// The queries of a second (10), plus twice the square root of that, plus one.
	if want := 17; admitted != want {
		t.Errorf("%d of 100 queries at once were within the quota, want %d", admitted, want)
	}
	if !quotas.isOverQuota("t", 1, now+50*time.Millisecond) {
		t.Error("query after half of the time of a token is within the quota, want it beyond")
	}
	if quotas.isOverQuota("t", 1, now+150*time.Millisecond) {
		t.Error("query after more than the time of a token is beyond the quota, want it within")
	}
	if !quotas.isOverQuota("unknown", 1, now) {
		t.Error("query of an unknown tenant is within the quota, want it beyond")
	}
	if newTenantQuotas(nil).isOverQuota("", 1, now) {
		t.Error("query is beyond the quota although there are no tenants, want it within")
	}
}
