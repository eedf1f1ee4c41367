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
	MaxNameLength   = 64       // bytes of a name, a class, an id or a key
	MaxClasses      = 64       // in a digest
	MaxKeys         = 512      // in one Keys
	MaxBodySize     = 16 << 20 // bytes of a statement or of an answer's rows
	MaxSends        = 64
	maxMicroseconds = 24 * 3600 * 1_000_000
	maxAmount       = 1e9 // s or MB
)

// Hello is the first frame of each side.
type Hello struct {
	Site    string `cbor:"1,keyasint"`
	Gateway string `cbor:"2,keyasint"`
	// Incarnation tells one life of a gateway from the next: a number that is drawn at its start.
	Incarnation uint64 `cbor:"3,keyasint"`
	Format      string `cbor:"4,keyasint"` // of statements and rows: lines or postgres
	AcceptsZstd bool   `cbor:"5,keyasint"` // it reads packed bodies
}

// Request is a query without its statement, which follows as Data.
type Request struct {
	ID               string  `cbor:"1,keyasint"` // the client's
	Class            string  `cbor:"2,keyasint"`
	Idempotency      uint8   `cbor:"3,keyasint"` // 0 runs once at most, 1 keyed, 2 safe; the other side must agree
	IdempotencyKey   string  `cbor:"4,keyasint,omitempty"`
	DataSet          int64   `cbor:"5,keyasint,omitempty"`
	RemainingUS      int64   `cbor:"6,keyasint"` // µs that the other side has, the way back taken off
	WorkUS           int64   `cbor:"7,keyasint,omitempty"`
	MemoryMB         float64 `cbor:"8,keyasint,omitempty"`
	ClientRetry      bool    `cbor:"9,keyasint,omitempty"`
	MaxSends         int     `cbor:"10,keyasint"`           // that the other side may make, 1 to MostSends
	FirstSentAgoUS   int64   `cbor:"11,keyasint,omitempty"` // µs since the first send anywhere that may have run, and 1; 0: none may have
	Size             int     `cbor:"12,keyasint"`           // of Data that follows, in bytes
	UncompressedSize int     `cbor:"13,keyasint,omitempty"` // of that unpacked; 0: it is not packed
}

// Response is how a query ended. Its rows or its error follow as Data.
type Response struct {
	Verdict          uint8 `cbor:"1,keyasint"`           // 0 failed, 1 refused, 2 served
	MayHaveRun       bool  `cbor:"2,keyasint,omitempty"` // an engine was sent it; false: proof that none was
	SendCount        int   `cbor:"3,keyasint,omitempty"`
	RetryAfterUS     int64 `cbor:"4,keyasint,omitempty"` // µs, with refused
	DeadlinePassed   bool  `cbor:"5,keyasint,omitempty"`
	WorkUS           int64 `cbor:"6,keyasint,omitempty"` // µs that it needed
	Size             int   `cbor:"7,keyasint,omitempty"`
	UncompressedSize int   `cbor:"8,keyasint,omitempty"`
	IsError          bool  `cbor:"9,keyasint,omitempty"` // the body is an error's
}

// LoadReport is what a gateway says of itself.
type LoadReport struct {
	FreeCapacity   map[string]float64 `cbor:"1,keyasint"` // by class, 0 to 1
	AvailableCores float64            `cbor:"2,keyasint"` // s of one core, until the next word
	Draining       bool               `cbor:"3,keyasint,omitempty"`
}

// SentKey is that a key was sent to an engine, so many µs ago.
type SentKey struct {
	Key   string `cbor:"1,keyasint"`
	AgoUS int64  `cbor:"2,keyasint"`
}

// SentKeys are keys that were sent to engines since the last SentKeys.
type SentKeys struct {
	Keys []SentKey `cbor:"1,keyasint"`
}

// ErrBounds is a field out of its bounds.
var ErrBounds = errors.New("site link: out of bounds")

// Message is what a frame says.
type Message interface{ check() error }

var (
	writer = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	reader = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: MaxKeys, MaxMapPairs: MaxClasses, UTF8: cbor.UTF8RejectInvalid,
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

// Decode reads a head, whole and within its bounds.
func Decode(b []byte, h Message) error {
	if err := reader.Unmarshal(b, h); err != nil {
		return fmt.Errorf("site link: a head can't be read: %w", err)
	}
	return h.check()
}

func bad(what string) error { return fmt.Errorf("%w: %s", ErrBounds, what) }

func name(s string) bool {
	if s == "" || len(s) > MaxNameLength || !utf8.ValidString(s) {
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
	return size >= 0 && size <= MaxBodySize && (raw == 0 || raw > 0 && raw <= MaxBodySize && size > 0)
}

func (g *Hello) check() error {
	if !name(g.Site) || !name(g.Gateway) || !name(g.Format) {
		return bad("greet: a name")
	}
	return nil
}

func (a *Request) check() error {
	switch {
	case !name(a.ID) || !name(a.Class) || a.IdempotencyKey != "" && !name(a.IdempotencyKey):
		return bad("ask: a name")
	case a.Idempotency > 2:
		return bad("ask: effect")
	case a.RemainingUS < 0 || a.RemainingUS > maxMicroseconds || a.FirstSentAgoUS < 0 || a.FirstSentAgoUS > maxMicroseconds || a.WorkUS < 0 || a.WorkUS > maxMicroseconds:
		return bad("ask: a time")
	case !(a.MemoryMB >= 0) || a.MemoryMB > maxAmount:
		return bad("ask: memory")
	case a.MaxSends < 1 || a.MaxSends > MaxSends:
		return bad("ask: sends")
	case !body(a.Size, a.UncompressedSize) || a.Size == 0:
		return bad("ask: size")
	}
	return nil
}

func (a *Response) check() error {
	switch {
	case a.Verdict > 2:
		return bad("answer: verdict")
	case a.SendCount < 0 || a.SendCount > MaxSends:
		return bad("answer: sends")
	case a.RetryAfterUS < 0 || a.RetryAfterUS > maxMicroseconds || a.WorkUS < 0 || a.WorkUS > maxMicroseconds:
		return bad("answer: a time")
	case !body(a.Size, a.UncompressedSize):
		return bad("answer: size")
	case a.Verdict == 2 && (a.IsError || !a.MayHaveRun):
		return bad("answer: served without having run")
	}
	return nil
}

func (d *LoadReport) check() error {
	if !(d.AvailableCores >= 0) || d.AvailableCores > maxAmount || len(d.FreeCapacity) > MaxClasses {
		return bad("digest: takes")
	}
	for class, room := range d.FreeCapacity {
		if !name(class) || !(room >= 0) || room > 1 || math.IsNaN(room) {
			return bad("digest: room")
		}
	}
	return nil
}

func (k *SentKeys) check() error {
	if len(k.Keys) > MaxKeys {
		return bad("keys: too many")
	}
	for _, s := range k.Keys {
		if !name(s.Key) || s.AgoUS < 0 || s.AgoUS > maxMicroseconds {
			return bad("keys: a key")
		}
	}
	return nil
}
