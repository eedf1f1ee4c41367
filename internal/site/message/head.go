// Package head is what the frames of the link between two gateways say, as CBOR (RFC 8949)
// with small numbers as the fields' names. What can't be read, is out of its bounds or has a
// field that isn't known is an error: within one version of the link there is none.
package message

import (
	"errors"
	"fmt"
	"math"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Bounds.
const (
	MostName    = 64       // bytes of a name, a class, an id or a key
	MostClasses = 64       // in a digest
	MostKeys    = 512      // in one Keys
	MostBody    = 16 << 20 // bytes of a statement or of an answer's rows
	MostSends   = 64
	mostUS      = 24 * 3600 * 1_000_000
	mostWork    = 1e9 // s or MB
)

// Greet is the first frame of each side.
type Greet struct {
	Site    string `cbor:"1,keyasint"`
	Gateway string `cbor:"2,keyasint"`
	// Start tells one life of a gateway from the next: a number that is drawn at its start.
	Start uint64 `cbor:"3,keyasint"`
	Form  string `cbor:"4,keyasint"` // of statements and rows: lines or postgres
	Zstd  bool   `cbor:"5,keyasint"` // it reads packed bodies
}

// Ask is a query without its statement, which follows as Data.
type Ask struct {
	ID     string  `cbor:"1,keyasint"` // the client's
	Class  string  `cbor:"2,keyasint"`
	Effect uint8   `cbor:"3,keyasint"` // 0 runs once at most, 1 keyed, 2 safe; the other side must agree
	Key    string  `cbor:"4,keyasint,omitempty"`
	Group  int64   `cbor:"5,keyasint,omitempty"`
	Left   int64   `cbor:"6,keyasint"` // µs that the other side has, the way back taken off
	Work   int64   `cbor:"7,keyasint,omitempty"`
	MB     float64 `cbor:"8,keyasint,omitempty"`
	Repeat bool    `cbor:"9,keyasint,omitempty"`
	Sends  int     `cbor:"10,keyasint"`           // that the other side may make, 1 to MostSends
	Before int64   `cbor:"11,keyasint,omitempty"` // µs since the first send anywhere that may have run, and 1; 0: none may have
	Size   int     `cbor:"12,keyasint"`           // of Data that follows, in bytes
	Raw    int     `cbor:"13,keyasint,omitempty"` // of that unpacked; 0: it is not packed
}

// Answer is how a query ended. Its rows or its error follow as Data.
type Answer struct {
	Verdict  uint8 `cbor:"1,keyasint"`           // 0 failed, 1 refused, 2 served
	Ran      bool  `cbor:"2,keyasint,omitempty"` // an engine was sent it; false: proof that none was
	Sends    int   `cbor:"3,keyasint,omitempty"`
	ComeBack int64 `cbor:"4,keyasint,omitempty"` // µs, with refused
	Late     bool  `cbor:"5,keyasint,omitempty"`
	Work     int64 `cbor:"6,keyasint,omitempty"` // µs that it needed
	Size     int   `cbor:"7,keyasint,omitempty"`
	Raw      int   `cbor:"8,keyasint,omitempty"`
	Detail   bool  `cbor:"9,keyasint,omitempty"` // the body is an error's
}

// Digest is what a gateway says of itself.
type Digest struct {
	Room   map[string]float64 `cbor:"1,keyasint"` // by class, 0 to 1
	Takes  float64            `cbor:"2,keyasint"` // s of one core, until the next word
	Drains bool               `cbor:"3,keyasint,omitempty"`
}

// Key is that a key was sent to an engine, so many µs ago.
type Key struct {
	Key string `cbor:"1,keyasint"`
	Ago int64  `cbor:"2,keyasint"`
}

// Keys are keys that were sent to engines since the last Keys.
type Keys struct {
	Sent []Key `cbor:"1,keyasint"`
}

// ErrBounds is a field out of its bounds.
var ErrBounds = errors.New("site link: out of bounds")

// Head is what a frame says.
type Head interface{ check() error }

var (
	writer = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	reader = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: MostKeys, MaxMapPairs: MostClasses, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode())
)

// must is for options that this file names: one that is wrong shows at the start of every test.
func must[T any](m T, err error) T {
	if err != nil {
		panic(err)
	}
	return m
}

// Append writes a head.
func Append(b []byte, h any) ([]byte, error) {
	enc, err := writer.Marshal(h)
	if err != nil {
		return b, fmt.Errorf("site link: %w", err)
	}
	return append(b, enc...), nil
}

// Read reads a head, whole and within its bounds.
func Read(b []byte, h Head) error {
	if err := reader.Unmarshal(b, h); err != nil {
		return fmt.Errorf("site link: a head can't be read: %w", err)
	}
	return h.check()
}

func bad(what string) error { return fmt.Errorf("%w: %s", ErrBounds, what) }

func name(s string) bool {
	if s == "" || len(s) > MostName || !utf8.ValidString(s) {
		return false
	}
	for _, c := range s {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func body(size, raw int) bool {
	return size >= 0 && size <= MostBody && (raw == 0 || raw > 0 && raw <= MostBody && size > 0)
}

func (g *Greet) check() error {
	if !name(g.Site) || !name(g.Gateway) || !name(g.Form) {
		return bad("greet: a name")
	}
	return nil
}

func (a *Ask) check() error {
	switch {
	case !name(a.ID) || !name(a.Class) || a.Key != "" && !name(a.Key):
		return bad("ask: a name")
	case a.Effect > 2:
		return bad("ask: effect")
	case a.Left < 0 || a.Left > mostUS || a.Before < 0 || a.Before > mostUS || a.Work < 0 || a.Work > mostUS:
		return bad("ask: a time")
	case !(a.MB >= 0) || a.MB > mostWork:
		return bad("ask: memory")
	case a.Sends < 1 || a.Sends > MostSends:
		return bad("ask: sends")
	case !body(a.Size, a.Raw) || a.Size == 0:
		return bad("ask: size")
	}
	return nil
}

func (a *Answer) check() error {
	switch {
	case a.Verdict > 2:
		return bad("answer: verdict")
	case a.Sends < 0 || a.Sends > MostSends:
		return bad("answer: sends")
	case a.ComeBack < 0 || a.ComeBack > mostUS || a.Work < 0 || a.Work > mostUS:
		return bad("answer: a time")
	case !body(a.Size, a.Raw):
		return bad("answer: size")
	case a.Verdict == 2 && (a.Detail || !a.Ran):
		return bad("answer: served without having run")
	}
	return nil
}

func (d *Digest) check() error {
	if !(d.Takes >= 0) || d.Takes > mostWork || len(d.Room) > MostClasses {
		return bad("digest: takes")
	}
	for class, room := range d.Room {
		if !name(class) || !(room >= 0) || room > 1 || math.IsNaN(room) {
			return bad("digest: room")
		}
	}
	return nil
}

func (k *Keys) check() error {
	if len(k.Sent) > MostKeys {
		return bad("keys: too many")
	}
	for _, s := range k.Sent {
		if !name(s.Key) || s.Ago < 0 || s.Ago > mostUS {
			return bad("keys: a key")
		}
	}
	return nil
}
