package remotesite

import "time"

// localSite is the index of this site among the sites where tables are warm; others are indexes of
// peers.
const localSite = -1

const (
	// affinityExpiry is how long tables stay warm after a query.
	affinityExpiry = 30 * time.Second
	// maxAffinityDataSets bounds the data sets that are remembered.
	maxAffinityDataSets = 1024
)

// dataSetAffinity remembers where the queries of a data set ran last, as its tables are in
// memory there.
type dataSetAffinity struct{ lastRuns map[int64]siteRun }

type siteRun struct {
	site int
	at   time.Duration
}

// record takes that a query of a data set ran at a site.
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

// evict removes expired data sets, and all where none has expired: there are more than can be
// told apart.
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

// lookup returns the site where the tables of a data set are warm, if they are anywhere.
func (a *dataSetAffinity) lookup(now time.Duration, dataSet int64) (site int, warm bool) {
	run, known := a.lastRuns[dataSet]
	if dataSet == 0 || !known || now-run.at >= affinityExpiry {
		return 0, false
	}
	return run.site, true
}
