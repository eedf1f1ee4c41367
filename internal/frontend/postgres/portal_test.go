package postgres

import (
	"encoding/binary"
	"testing"

	"gannetspur/internal/pgproto"
)

// FuzzReadBind checks that the values of any accepted Bind fit into the message, and that its result
// formats can be applied to a row description.
func FuzzReadBind(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 2, 0, 0, 0, 1, 'k', 255, 255, 255, 255, 0, 1, 0, 1})
	f.Add([]byte{255, 255})
	fields := append([]byte{0, 1, 'c', 0}, make([]byte, 18)...)
	f.Fuzz(func(t *testing.T, b []byte) {
		values, ok := readBind(&pgproto.Reader{Rest: b})
		if !ok {
			return
		}
		size := 0
		for _, v := range values.Values {
			size += 4 + len(v)
		}
		if size > len(b) {
			t.Fatalf("values take %d bytes, want at most the %d bytes of the message", size, len(b))
		}
		out, err := pgproto.WithResultFormats(fields, b)
		if err != nil || len(out) != len(fields) || binary.BigEndian.Uint16(out[20:]) > 1 {
			t.Fatalf("description with result formats = %v, error %v, want %d bytes and format 0 or 1", out, err, len(fields))
		}
	})
}
