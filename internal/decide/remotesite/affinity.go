package remotesite

import "time"

// localSite is the site index of this site in a siteRun. All other indexes are those of peers.
const localSite = -1

const (
	// affinityExpiry is how long the tables of a data set count as warm after a query.
	affinityExpiry = 30 * time.Second
	// maxAffinityDataSets bounds the number of data sets that are remembered.
	maxAffinityDataSets = 1024
)

// dataSetAffinity remembers at which site the last query of each data set ran. The tables of the data
// set are warm there: the engines hold them in memory.
type dataSetAffinity struct{ lastRuns map[int64]siteRun }

// siteRun is the run of a query at a site.
type siteRun struct {
	site int           // index of the peer, or localSite
	at   time.Duration // when the query was sent there
}

// record records that a query of a data set runs at a site. Data set 0 means unknown and is ignored.
func (a *dataSetAffinity) record(now time.Duration, dataSet int64, site int) {
	if dataSet == 0 {
		return
	}
	if a.lastRuns == nil {
		a.lastRuns = map[int64]siteRun{}
	}
	if _, known := a.lastRuns[dataSet]; !known && len(a.lastRuns) >= maxAffinityDataSets {
		a.evict(now)
	}
	a.lastRuns[dataSet] = siteRun{site, now}
}

// evict removes the expired data sets. If that doesn't make room it removes all: more data sets are in
// use than can be remembered.
func (a *dataSetAffinity) evict(now time.Duration) {
	for dataSet, run := range a.lastRuns {
		if now-run.at >= affinityExpiry {
			delete(a.lastRuns, dataSet)
		}
	}
	if len(a.lastRuns) >= maxAffinityDataSets {
		clear(a.lastRuns)
	}
}

// lookup returns the site where the tables of a data set are warm; warm is false if there is none.
func (a *dataSetAffinity) lookup(now time.Duration, dataSet int64) (site int, warm bool) {
	run, known := a.lastRuns[dataSet]
	if dataSet == 0 || !known || now-run.at >= affinityExpiry {
		return 0, false
	}
	return run.site, true
}
