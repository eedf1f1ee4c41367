package policy

import "testing"

// TestAffinityIsStable compares hashes and affinities with those of commit c18a9bd. Gateways of several
// versions run side by side and must choose the same engines for a data set.
func TestAffinityIsStable(t *testing.T) {
	for _, c := range []struct {
		id            string
		hash          uint64
		affinityTo0   uint64
		affinityToNeg uint64 // to data set -3
	}{
		{"", 0x0, 0x0, 0xd1fd4fe2081a56a4},
		{"e1", 0x1574d000123b8aa, 0xa65117949e3f984, 0x5206983f64bda711},
		{"engine-07", 0xe3057a72dfb9ed50, 0x35a5fb51d5eb9e48, 0x47e8edbaa7d92a1b},
		{"10.0.0.7:8080", 0x890b38fa94de4f14, 0x1b007a16d14c9114, 0x8636ea8a5d6f84e7},
	} {
		hash := hashEngineID(c.id)
		if hash != c.hash {
			t.Errorf("hashEngineID(%q) = %#x, want %#x", c.id, hash, c.hash)
		}
		if got := affinity(hash, 0); got != c.affinityTo0 {
			t.Errorf("affinity of %q to data set 0 = %#x, want %#x", c.id, got, c.affinityTo0)
		}
		if got := affinity(hash, -3); got != c.affinityToNeg {
			t.Errorf("affinity of %q to data set -3 = %#x, want %#x", c.id, got, c.affinityToNeg)
		}
	}
}

func TestDataSetCountsHalveAtWindow(t *testing.T) {
	d := dataSetCounts{counts: map[int64]float64{}}
	d.record(1)
	for range dataSetWindow - 1 {
		d.record(2)
	}
	if d.total != dataSetWindow/2 {
		t.Errorf("total = %v after a full window, want %v", d.total, dataSetWindow/2)
	}
	if _, ok := d.counts[1]; ok {
		t.Error("data set with a single query is still counted after the halving, want it dropped")
	}
	if got, want := d.counts[2], float64(dataSetWindow-1)/2; got != want {
		t.Errorf("count of the other data set = %v, want %v", got, want)
	}
	if hot, unseen := d.fraction(2), d.fraction(3); hot <= unseen || unseen <= 0 {
		t.Errorf("fractions of a hot and an unseen data set = %v, %v, want hot > unseen > 0", hot, unseen)
	}
}
