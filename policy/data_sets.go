package policy

const (
	dataSetWindow     = 256 // queries over which the data sets' parts of the traffic are counted
	unseenDataSet     = 2.0 // queries that each data set counts for beyond those seen
	dataSetsAssumed   = 10  // data sets that this is done for
	hotDataSetSpread  = 2.0 // engines near a data set for each engine's worth of its traffic
	affinityHashPrime = 0x100000001b3
)

// dataSetCounts counts the queries of late for each data set.
type dataSetCounts struct {
	counts map[int64]float64
	total  float64
}

// record counts a query, and halves all counts once they are many.
func (d *dataSetCounts) record(dataSet int64) {
	d.counts[dataSet]++
	d.total++
	if d.total < dataSetWindow {
		return
	}
	for set, count := range d.counts {
		if count < 2 {
			delete(d.counts, set)
		} else {
			d.counts[set] = count / 2
		}
	}
	d.total /= 2
}

// fraction is the data set's fraction of the traffic.
func (d *dataSetCounts) fraction(dataSet int64) float64 {
	return (d.counts[dataSet] + unseenDataSet) / (d.total + dataSetsAssumed*unseenDataSet)
}

// hashEngineID is FNV-1a from 0: all gateways must agree on it, also across versions.
func hashEngineID(id string) (hash uint64) {
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * affinityHashPrime
	}
	return hash
}

// affinity ranks an engine for a data set. All gateways compute the same order (rendezvous hashing).
func affinity(engineHash uint64, dataSet int64) uint64 {
	x := (engineHash ^ uint64(dataSet)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}
