package netio

// maxIdleCapacity is the capacity up to which an empty buffer keeps its memory, in bytes.
const maxIdleCapacity = 16 << 10

// Buffer holds what was received and not yet parsed. It grows as needed and is
// compacted in place, so that a connection needs no second one. It is for one goroutine at a time;
// a handler may use it until it returns from Data.
type Buffer struct {
	data  []byte
	start int   // of what is not consumed
	taken int64 // bytes consumed in all
}

// Bytes returns what has not been consumed. It is valid until the next call.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes not consumed.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Taken returns the number of bytes consumed since the start.
func (b *Buffer) Taken() int64 { return b.taken }

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) {
	b.start += n
	b.taken += int64(n)
	if b.start < len(b.data) {
		return
	}
	b.data = b.data[:0]
	b.start = 0
	if cap(b.data) > maxIdleCapacity { // one large message must not hold its memory for ever
		b.data = nil
	}
}

func (b *Buffer) append(p []byte) {
	if b.start > 0 && len(b.data)+len(p) > cap(b.data) {
		n := copy(b.data, b.data[b.start:])
		b.data = b.data[:n]
		b.start = 0
	}
	b.data = append(b.data, p...)
}
