package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
)

// TestDigest compares generated files byte for byte with those of the first version: a seed must always
// generate the same traffic, so that results stay comparable.
func TestDigest(t *testing.T) {
	want := map[Arrivals]string{
		Poisson: "95e846e5f56e57a36a146352fa28eb919109151356ba8beba2fd50fbf8328900",
		Bursts:  "c8a6943b14b8e659909a5369898269ddc7d075be6290909e74d262f0930edff3",
		Season:  "879d29d5b98ee3ea9d6f9afc0138daf611eda321c673e004fcc4cd269b21e482",
	}
	for kind, digest := range want {
		file := sha256.Sum256(generate(t, kind, 5000))
		if got := hex.EncodeToString(file[:]); got != digest {
			t.Errorf("%s: digest of the file = %s, want %s", kind, got, digest)
		}
	}
}
