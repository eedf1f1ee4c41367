package remotesite

import "time"

// localSite is the index of this site among the sites where tables are warm; others are indexes of
// peers.
const localSite = -1

const (
	// affinityExpiry is how long tables stay warm after a query.
	affinityExpiry = 30 * time.Second
	// maxAffinityGroups bounds the groups that are remembered.
	maxAffinityGroups = 1024
)

// tableAffinity remembers where the queries of a group of tables ran last, as their tables are in
// memory there.
type tableAffinity struct{ lastRuns map[int64]siteRun }

type siteRun struct {
	site int
	at   time.Duration
}

// record takes that a query of a group ran at a site.
func (a *tableAffinity) record(now time.Duration, group int64, site int) {
	if group == 0 {
		return
	}
	if a.lastRuns == nil {
		a.lastRuns = map[int64]siteRun{}
	}
	if _, known := a.lastRuns[group]; !known && len(a.lastRuns) >= maxAffinityGroups {
		a.evict(now)
	}
	a.lastRuns[group] = siteRun{site, now}
}

// evict removes expired groups, and all where none has expired: there are more groups than can be
// told apart.
func (a *tableAffinity) evict(now time.Duration) {
	for group, run := range a.lastRuns {
		if now-run.at >= affinityExpiry {
			delete(a.lastRuns, group)
		}
	}
	if len(a.lastRuns) >= maxAffinityGroups {
		clear(a.lastRuns)
	}
}

// lookup returns the site where the tables of a group are warm, if they are anywhere.
func (a *tableAffinity) lookup(now time.Duration, group int64) (site int, warm bool) {
	run, known := a.lastRuns[group]
	if group == 0 || !known || now-run.at >= affinityExpiry {
		return 0, false
	}
	return run.site, true
}
