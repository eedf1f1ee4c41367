package eventbus

import (
	"encoding/binary"
	"encoding/hex"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// appendFrame returns the bytes of a frame.
func appendFrame(number uint64, kind byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	return append(b, payload...)
}

// record returns the bytes of the record of an engine at 127.0.0.9, with the second zone, the first kind and cell 3. The four
// bytes between cell and boot time are ignored.
func record(id uint32, port uint16, state byte, bootMS uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = binary.BigEndian.AppendUint16(append(b, 127, 0, 0, 9), port)
	b = append(b, state, 1, 0, 0, 3, 0, 0, 3, 232)
	return binary.BigEndian.AppendUint64(b, bootMS)
}

// TestWireFormat checks the decoding of fixed bytes in the format of the event bus: a frame of each
// kind, records of each state, and each frame and payload truncated to every length.
func TestWireFormat(t *testing.T) {
	decoder := recordDecoder{zones: []string{"hall-a", "hall-b"}, kinds: []string{"std-8"}}
	for name, tt := range map[string]struct {
		bytes string
		kind  frameKind
		mode  policy.ListMode
		want  []core.Engine
	}{
		"heartbeat": {bytes: "00000009" + "0000000000000007" + "00", kind: kindHeartbeat, mode: policy.ListChanges},
		"full list": {
			bytes: "0000003f" + "0000000000000007" + "01" +
				"00c41f7a" + "0a010203" + "1f90" + "00" + "01" + "00" + "0102" + "00000000" + "0000018bcfe56800" +
				"00000007" + "7f000009" + "0046" + "01" + "00" + "01" + "0003" + "ffffffff" + "0000000000000000",
			kind: kindFullList, mode: policy.ListFull,
			want: []core.Engine{
				{Addr: "10.1.2.3:8080", Engine: policy.Engine{
					ID: "s-00c41f7a", Zone: "hall-b", Kind: "std-8", Cell: 0x102, State: policy.EngineLive,
					Started: 1_700_000_000 * time.Second, StartKnown: true,
				}},
				{Addr: "127.0.0.9:70", Engine: policy.Engine{ID: "s-00000007", Zone: "hall-a", Cell: 3, State: policy.EngineDraining}},
			},
		},
		"change": {
			bytes: "00000024" + "8000000000000008" + "02" +
				"ffffffff" + "ffffffff" + "ffff" + "02" + "09" + "ff" + "ffff" + "00000000" + "0000080000000000",
			kind: kindChanges, mode: policy.ListChanges,
			want: []core.Engine{{Addr: "255.255.255.255:65535", Engine: policy.Engine{ID: "s-ffffffff", Cell: 0xffff, State: policy.EngineDeparted}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := hex.DecodeString(tt.bytes)
			if err != nil {
				t.Fatal(err)
			}
			f, size, err := parseFrame(append(b, 0xaa))
			if err != nil || size != len(b) || f.kind != tt.kind || f.number != binary.BigEndian.Uint64(b[4:]) {
				t.Fatalf("parseFrame() = %+v, %d, %v, want kind %d, number %d and size %d", f, size, err, tt.kind, binary.BigEndian.Uint64(b[4:]), len(b))
			}
			if mode, err := f.kind.listMode(); err != nil || mode != tt.mode {
				t.Errorf("listMode() = %v, %v, want %v", mode, err, tt.mode)
			}
			got, err := decoder.decode(f.payload)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(append([]core.Engine{}, tt.want...), got); diff != "" {
				t.Errorf("decode() (-want +got):\n%s", diff)
			}
			for n := range b {
				if _, size, err := parseFrame(b[:n]); size != 0 || err != nil {
					t.Errorf("parseFrame() of the first %d bytes = size %d, error %v, want 0 and none", n, size, err)
				}
			}
			for n := range f.payload {
				if _, err := decoder.decode(f.payload[:n]); (err == nil) != (n%recordLength == 0) {
					t.Errorf("decode() of the first %d bytes of the payload: error %v, want an error = %v", n, err, n%recordLength != 0)
				}
			}
		})
	}
}

// TestWireFormatErrors checks that invalid lengths, kinds and states are rejected.
func TestWireFormatErrors(t *testing.T) {
	for name, b := range map[string][]byte{
		"length below the minimum": {0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1},
		"length above the maximum": {0, 0x10, 0, 1},
	} {
		if _, _, err := parseFrame(b); err == nil {
			t.Errorf("%s: parseFrame() returned no error, want one", name)
		}
	}
	if _, err := frameKind(3).listMode(); err == nil {
		t.Error("listMode() of frame kind 3 returned no error, want one")
	}
	const unknownState = 3
	if _, err := (recordDecoder{}).decode(record(7, 70, unknownState, 0)); err == nil {
		t.Errorf("decode() of a record with state %d returned no error, want one", unknownState)
	}
}

// FuzzParse checks that arbitrary bytes are decoded or rejected without reading past their end.
func FuzzParse(f *testing.F) {
	f.Add(appendFrame(4, 2, record(7, 70, 0, 0)...))
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, size, err := parseFrame(b)
		if size > len(b) || err != nil && size != 0 {
			t.Fatalf("parseFrame() = size %d, error %v, want at most %d, and 0 with an error", size, err, len(b))
		}
		if engines, err := (recordDecoder{}).decode(parsed.payload); err == nil && len(engines)*recordLength != len(parsed.payload) {
			t.Fatalf("decode() = %d engines of a payload of %d bytes, want one for every %d bytes", len(engines), len(parsed.payload), recordLength)
		}
	})
}
