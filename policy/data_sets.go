package policy

const (
	// dataSetWindow is the number of queries after which all counts are halved.
	dataSetWindow = 256
	// The counts are smoothed as if each of priorDataSets data sets had received priorDataSetCount queries.
	priorDataSetCount = 2.0
	priorDataSets     = 10
	// nearEngineFactor times a data set's fraction of the traffic times the number of engines is the
	// number of engines, beyond the first, that are near the data set.
	nearEngineFactor = 2.0
	// affinityHashPrime is the 64-bit FNV prime.
	affinityHashPrime = 0x100000001b3
)

// dataSetCounts counts the recent queries of each data set.
type dataSetCounts struct {
	counts map[int64]float64
	total  float64
}

// record counts a query. It halves all counts once they reach dataSetWindow, so that old queries lose
// weight.
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

// fraction returns the smoothed fraction of the traffic that goes to the data set.
func (d *dataSetCounts) fraction(dataSet int64) float64 {
	return (d.counts[dataSet] + priorDataSetCount) / (d.total + priorDataSets*priorDataSetCount)
}

// hashEngineID returns the FNV-1a hash of the ID, with an offset basis of 0. All gateways must compute the
// same value, also across versions.
func hashEngineID(id string) (hash uint64) {
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * affinityHashPrime
	}
	return hash
}

// affinity returns the rank of an engine for a data set; higher is preferred. All gateways compute the same
// order (rendezvous hashing). The constants are the increment and the multipliers of SplitMix64.
func affinity(engineHash uint64, dataSet int64) uint64 {
	x := (engineHash ^ uint64(dataSet)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}
