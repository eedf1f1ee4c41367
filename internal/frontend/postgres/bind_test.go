package postgres

import (
	"encoding/binary"
	"testing"

	"gannetspur/internal/pgproto"
)

// Whatever a client binds, its values lie within the message, and the formats of a
// description can be set from any Bind that was taken.
func FuzzBound(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 2, 0, 0, 0, 1, 'k', 255, 255, 255, 255, 0, 1, 0, 1})
	f.Add([]byte{255, 255})
	fields := append([]byte{0, 1, 'c', 0}, make([]byte, 18)...)
	f.Fuzz(func(t *testing.T, b []byte) {
		binds, ok := bound(&pgproto.Reader{Rest: b})
		if !ok {
			return
		}
		size := 0
		for _, v := range binds.Values {
			size += 4 + len(v)
		}
		if size > len(b) {
			t.Fatalf("%d bytes of values in %d", size, len(b))
		}
		out, err := pgproto.WithResultFormats(fields, b)
		if err != nil || len(out) != len(fields) || binary.BigEndian.Uint16(out[20:]) > 1 {
			t.Fatalf("formats %v, %v", out, err)
		}
	})
}

// Times are read as PostgreSQL writes them, or refused.
func TestSetTimeout(t *testing.T) {
	for text, want := range map[string]int64{
		"0": 0, "250": 250, "'2s'": 2000, "1 min": 60000, "DEFAULT": 0,
		"": -1, "-1": -1, "5 weeks": -1, "1.5s": -1, "99999999999": -1,
	} {
		k := &conn{}
		e := k.setTimeout(text)
		if got := k.timeout.Milliseconds(); (e != nil) != (want < 0) || e == nil && got != want {
			t.Errorf("%q: got %d ms, %v", text, got, e)
		}
	}
}
