package membership

// bloomFilter is a Bloom filter (Bloom 1970) with two bits for each item. Items that were added are always found; of
// others up to one in four seems to be, and different ones with each salt.
type bloomFilter []byte

const (
	// bitsPerItem is the size of a filter where there is capacity.
	bitsPerItem = 4
	// minBitsPerItem is its size where there is little. Below that the items are divided into partitions, and one of
	// them is requested.
	minBitsPerItem = 3
	// maxByteItems is the number of items up to which a filter has a byte for each, which costs little.
	maxByteItems = 64
)

// filterBytes is the size of a filter of so many items that has so much capacity, in bytes.
func filterBytes(items, capacity int) int {
	return min(max(items*bitsPerItem/8+1, min(items, maxByteItems)), capacity)
}

// positions are the bits of an item.
func (f bloomFilter) positions(hash, salt uint32) (i, j uint32) {
	h := mixHash(hash, salt)
	bits := uint32(len(f)) * 8
	return h & 0xffff % bits, h >> 16 % bits
}

func (f bloomFilter) add(hash, salt uint32) {
	i, j := f.positions(hash, salt)
	f[i/8] |= 1 << (i % 8)
	f[j/8] |= 1 << (j % 8)
}

func (f bloomFilter) contains(hash, salt uint32) bool {
	if len(f) == 0 {
		return false
	}
	i, j := f.positions(hash, salt)
	return f[i/8]&(1<<(i%8)) != 0 && f[j/8]&(1<<(j%8)) != 0
}
