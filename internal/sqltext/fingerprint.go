package sqltext

import "hash/maphash"

// fingerprinter hashes normal forms with two random seeds, in one piece or in parts.
type fingerprinter struct {
	seeds   [2]maphash.Seed
	partial [2]maphash.Hash // hashes of the parts written so far
}

func newFingerprinter() fingerprinter {
	return fingerprinter{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
}

// ofBytes returns the fingerprint of a whole normal form.
func (f *fingerprinter) ofBytes(form []byte) (fingerprint [2]uint64) {
	for i, seed := range f.seeds {
		fingerprint[i] = maphash.Bytes(seed, form)
	}
	return fingerprint
}

// ofString returns the same as ofBytes for a string.
func (f *fingerprinter) ofString(form string) (fingerprint [2]uint64) {
	for i, seed := range f.seeds {
		fingerprint[i] = maphash.String(seed, form)
	}
	return fingerprint
}

// start begins a normal form that is written in parts.
func (f *fingerprinter) start() {
	for i, seed := range f.seeds {
		f.partial[i].SetSeed(seed)
	}
}

// write hashes the next part.
func (f *fingerprinter) write(part []byte) {
	for i := range f.partial {
		_, _ = f.partial[i].Write(part) // maphash.Hash.Write never fails
	}
}

// sum returns the fingerprint of all parts written since start.
func (f *fingerprinter) sum() (fingerprint [2]uint64) {
	for i := range f.partial {
		fingerprint[i] = f.partial[i].Sum64()
	}
	return fingerprint
}
