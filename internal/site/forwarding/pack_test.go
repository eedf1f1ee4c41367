package forwarding

import (
	"bytes"
	"errors"
	"testing"

	"gannetspur/internal/site/message"

	"github.com/klauspost/compress/zstd"
)

// Bodies are restored unchanged. Small and incompressible bodies are not compressed. A body that does not
// decompress to its announced size is an error, so that it cannot use more memory than announced.
func TestCompression(t *testing.T) {
	p, err := NewPacker()
	if err != nil {
		t.Fatal(err)
	}
	rows := bytes.Repeat([]byte("a line of rows\t"), 10_000)
	noise := make([]byte, 10_000)
	for i, x := 0, uint32(1); i < len(noise); i++ {
		x ^= x << 13
		x ^= x >> 17
		x ^= x << 5
		noise[i] = byte(x >> 11)
	}
	for name, tt := range map[string]struct {
		b          []byte
		compressed bool
	}{"rows": {rows, true}, "small": {rows[:minCompressSize-1], false}, "noise": {noise, false}, "empty": {nil, false}} {
		body, size := p.Pack(tt.b)
		got, err := p.Unpack(body, size)
		if err != nil || !bytes.Equal(got, tt.b) || (size > 0) != tt.compressed {
			t.Errorf("%s: sent %d bytes, announced size %d (want compressed %v), restored %d of %d bytes, error %v", name, len(body), size, tt.compressed, len(got), len(tt.b), err)
		}
	}
	body, size := p.Pack(rows)
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	bomb := enc.EncodeAll(make([]byte, message.MaxBodySize+1), nil)
	for name, tt := range map[string]struct {
		b    []byte
		size int
	}{
		"longer than announced": {body, size - 1}, "shorter than announced": {body, size + 1}, "truncated": {body[:len(body)-1], size}, "not zstd": {rows, size}, "empty": {nil, size},
		"decompression bomb with its true size": {bomb, message.MaxBodySize + 1}, "decompression bomb with a false size": {bomb, 1000},
	} {
		if _, err := p.Unpack(tt.b, tt.size); !errors.Is(err, errCompressedBody) {
			t.Errorf("%s: error = %v, want %v", name, err, errCompressedBody)
		}
	}
	if _, err := (Packer{}).Unpack(body, size); !errors.Is(err, errCompressedBody) {
		t.Errorf("compressed body at a zero Packer: error = %v, want %v", err, errCompressedBody)
	}
}
