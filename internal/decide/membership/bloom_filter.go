package membership

// bloomFilter is a Bloom filter (Bloom 1970) with two bits per item. It has no false negatives. Up to a quarter of the
// items that were not added are false positives; which ones depends on the salt.
type bloomFilter []byte

const (
	// bitsPerItem is the number of bits per item in a filter that fits its datagram.
	bitsPerItem = 4
	// minBitsPerItem is the smallest number of bits per item. When a filter of that size does not fit, the items are
	// divided into partitions and only one partition is requested.
	minBitsPerItem = 3
	// maxByteItems is the number of items up to which a filter has a whole byte per item: for so few items the extra
	// bytes cost little.
	maxByteItems = 64
)

// filterBytes returns the size in bytes of a filter for the given number of items, at most capacity bytes.
func filterBytes(items, capacity int) int {
	return min(max(items*bitsPerItem/8+1, min(items, maxByteItems)), capacity)
}

// positions returns the two bit positions of an item with the given hash.
func (f bloomFilter) positions(hash, salt uint32) (i, j uint32) {
	h := mixHash(hash, salt)
	bits := uint32(len(f)) * 8
	return h & 0xffff % bits, h >> 16 % bits
}

// add adds the item with the given hash.
func (f bloomFilter) add(hash, salt uint32) {
	i, j := f.positions(hash, salt)
	f[i/8] |= 1 << (i % 8)
	f[j/8] |= 1 << (j % 8)
}

// contains reports whether the item with the given hash was added, with false positives. An empty filter contains
// nothing.
func (f bloomFilter) contains(hash, salt uint32) bool {
	if len(f) == 0 {
		return false
	}
	i, j := f.positions(hash, salt)
	return f[i/8]&(1<<(i%8)) != 0 && f[j/8]&(1<<(j%8)) != 0
}
