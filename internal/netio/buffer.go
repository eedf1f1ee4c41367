package netio

// maxIdleCapacity is the largest capacity, in bytes, that an empty buffer keeps allocated.
const maxIdleCapacity = 16 << 10

// Buffer holds the bytes that were received and not yet parsed. It grows as needed and is
// compacted in place, so that a connection needs no second buffer. Only one goroutine may use it at a
// time; a handler may use it until it returns from Data.
type Buffer struct {
	data     []byte
	start    int   // index in data of the first byte that is not consumed
	consumed int64 // total number of bytes consumed
}

// Bytes returns the bytes that are not consumed. The slice is valid until the next method call.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes that are not consumed.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Taken returns the total number of bytes consumed since the buffer was created.
func (b *Buffer) Taken() int64 { return b.consumed }

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) {
	b.start += n
	b.consumed += int64(n)
	if b.start < len(b.data) {
		return
	}
	b.data = b.data[:0]
	b.start = 0
	if cap(b.data) > maxIdleCapacity { // one large message must not keep its memory allocated for the connection's lifetime
		b.data = nil
	}
}

// append adds p, after moving the unconsumed bytes to the front if p would not fit behind them.
func (b *Buffer) append(p []byte) {
	if b.start > 0 && len(b.data)+len(p) > cap(b.data) {
		n := copy(b.data, b.data[b.start:])
		b.data = b.data[:n]
		b.start = 0
	}
	b.data = append(b.data, p...)
}
