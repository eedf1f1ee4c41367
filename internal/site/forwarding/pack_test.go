package forwarding

import (
	"bytes"
	"errors"
	"testing"

	"gannetspur/internal/site/message"

	"github.com/klauspost/compress/zstd"
)

// Bodies come back as they were; small ones and what does not shrink are left as they are; what
// does not unpack to the length that it said is an error, and takes no more memory than that.
func TestPack(t *testing.T) {
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
		b      []byte
		packed bool
	}{"rows": {rows, true}, "small": {rows[:minPackedBytes-1], false}, "noise": {noise, false}, "nothing": {nil, false}} {
		body, raw := p.Pack(tt.b)
		got, err := p.Unpack(body, raw)
		if err != nil || !bytes.Equal(got, tt.b) || (raw > 0) != tt.packed {
			t.Errorf("%s: packed to %d, said %d, %d came back: %v", name, len(body), raw, len(got), err)
		}
	}
	body, raw := p.Pack(rows)
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	bomb := enc.EncodeAll(make([]byte, message.MaxBodySize+1), nil)
	for name, tt := range map[string]struct {
		b   []byte
		raw int
	}{
		"longer than said": {body, raw - 1}, "shorter": {body, raw + 1}, "cut": {body[:len(body)-1], raw}, "no zstd": {rows, raw}, "nothing": {nil, raw},
		"a bomb that says so": {bomb, message.MaxBodySize + 1}, "a bomb": {bomb, 1000},
	} {
		if _, err := p.Unpack(tt.b, tt.raw); !errors.Is(err, errPacked) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := (Packer{}).Unpack(body, raw); !errors.Is(err, errPacked) {
		t.Error("unpacked without having offered to")
	}
}
