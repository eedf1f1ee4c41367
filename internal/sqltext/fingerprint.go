package sqltext

import "hash/maphash"

// fingerprinter hashes normal forms with two seeds, whole or part by part.
type fingerprinter struct {
	seeds   [2]maphash.Seed
	partial [2]maphash.Hash // of the parts written so far
}

func newFingerprinter() fingerprinter {
	return fingerprinter{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
}

func (f *fingerprinter) ofBytes(form []byte) (fingerprint [2]uint64) {
	for i, seed := range f.seeds {
		fingerprint[i] = maphash.Bytes(seed, form)
	}
	return fingerprint
}

func (f *fingerprinter) ofString(form string) (fingerprint [2]uint64) {
	for i, seed := range f.seeds {
		fingerprint[i] = maphash.String(seed, form)
	}
	return fingerprint
}

// start begins a form that comes in parts.
func (f *fingerprinter) start() {
	for i, seed := range f.seeds {
		f.partial[i].SetSeed(seed)
	}
}

// write takes the next part.
func (f *fingerprinter) write(part []byte) {
	for i := range f.partial {
		_, _ = f.partial[i].Write(part) // it never fails
	}
}

// sum is the fingerprint of the parts together.
func (f *fingerprinter) sum() (fingerprint [2]uint64) {
	for i := range f.partial {
		fingerprint[i] = f.partial[i].Sum64()
	}
	return fingerprint
}
