// Package message has the messages of the link between two gateways, as CBOR (RFC 8949) maps whose
// keys are small numbers. A message that can't be decoded, has a field out of its bounds or one that
// isn't known is an error: within one version of the link there is none.
package message

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of fields.
const (
	MaxNameLength   = 64       // bytes of a name, a class, an id or a key
	MaxClasses      = 64       // in a LoadReport
	MaxKeys         = 512      // in one SentKeys
	MaxBodySize     = 16 << 20 // bytes of a statement or of a response's rows
	MaxSends        = 64
	maxMicroseconds = 24 * 3600 * 1_000_000
	maxAmount       = 1e9 // s or MB
)

// Values of Request.Idempotency. Both sides must have the same for a class.
const (
	NotIdempotent     = 0
	IdempotentWithKey = 1
	Idempotent        = 2
)

// Values of Response.Verdict.
const (
	Failed   = 0
	Rejected = 1
	Served   = 2
)

// Message is one of the types of this package.
type Message interface{ check() error }

// Hello is the first frame of each side.
type Hello struct {
	Site    string `cbor:"1,keyasint"`
	Gateway string `cbor:"2,keyasint"`
	// Incarnation is a number that is drawn when a gateway starts.
	Incarnation uint64 `cbor:"3,keyasint"`
	Format      string `cbor:"4,keyasint"` // of statements and rows: lines or postgres
	AcceptsZstd bool   `cbor:"5,keyasint"` // it decodes compressed bodies
}

// Request is a client's request without its statement, which follows as Data.
type Request struct {
	ID             string `cbor:"1,keyasint"` // the client's
	Class          string `cbor:"2,keyasint"`
	Idempotency    uint8  `cbor:"3,keyasint"` // NotIdempotent, IdempotentWithKey or Idempotent
	IdempotencyKey string `cbor:"4,keyasint,omitempty"`
	DataSet        int64  `cbor:"5,keyasint,omitempty"`
	// RemainingUS is the time that the receiver has, without that for the way back.
	RemainingUS int64   `cbor:"6,keyasint"`
	WorkUS      int64   `cbor:"7,keyasint,omitempty"`
	MemoryMB    float64 `cbor:"8,keyasint,omitempty"`
	ClientRetry bool    `cbor:"9,keyasint,omitempty"`
	MaxSends    int     `cbor:"10,keyasint"` // that the receiver may make, 1 to MaxSends
	// FirstSentAgoUS is 1 more than the time since the first send anywhere that may have run; 0: none
	// may have.
	FirstSentAgoUS   int64 `cbor:"11,keyasint,omitempty"`
	Size             int   `cbor:"12,keyasint"`           // bytes of Data that follow
	UncompressedSize int   `cbor:"13,keyasint,omitempty"` // of that Data; 0: it is not compressed
}

// Response is how a request ended. Its rows or its error follow as Data.
type Response struct {
	Verdict          uint8 `cbor:"1,keyasint"`           // Failed, Rejected or Served
	MayHaveRun       bool  `cbor:"2,keyasint,omitempty"` // it was sent to an engine; false: proof that it was not
	SendCount        int   `cbor:"3,keyasint,omitempty"`
	RetryAfterUS     int64 `cbor:"4,keyasint,omitempty"` // with Rejected
	DeadlinePassed   bool  `cbor:"5,keyasint,omitempty"`
	WorkUS           int64 `cbor:"6,keyasint,omitempty"` // that it took
	Size             int   `cbor:"7,keyasint,omitempty"` // bytes of Data that follow
	UncompressedSize int   `cbor:"8,keyasint,omitempty"` // of that Data; 0: it is not compressed
	IsError          bool  `cbor:"9,keyasint,omitempty"` // the body is an engine's error
}

// LoadReport is what a gateway reports of itself.
type LoadReport struct {
	FreeCapacity map[string]float64 `cbor:"1,keyasint"` // by class, 0 to 1
	WorkSeconds  float64            `cbor:"2,keyasint"` // seconds of one core that the receiver may send until the next report
	Draining     bool               `cbor:"3,keyasint,omitempty"`
}

// SentKey is an idempotency key that was sent to an engine.
type SentKey struct {
	Key   string `cbor:"1,keyasint"`
	AgoUS int64  `cbor:"2,keyasint"`
}

// SentKeys are keys that were sent to engines since the latest SentKeys.
type SentKeys struct {
	Keys []SentKey `cbor:"1,keyasint"`
}

// ErrBounds is an error for a field out of its bounds.
var ErrBounds = errors.New("site link: out of bounds")

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: MaxKeys, MaxMapPairs: MaxClasses, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode())
)

// must is for the options above: an invalid one shows at the start of every test.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Append encodes a message.
func Append(b []byte, m Message) ([]byte, error) {
	encoded, err := encoder.Marshal(m)
	if err != nil {
		return b, fmt.Errorf("site link: %w", err)
	}
	return append(b, encoded...), nil
}

// Decode decodes a message, and checks that it is complete and within its bounds.
func Decode(b []byte, m Message) error {
	if err := decoder.Unmarshal(b, m); err != nil {
		return fmt.Errorf("site link: a message can't be decoded: %w", err)
	}
	return m.check()
}

func outOfBounds(what string) error { return fmt.Errorf("%w: %s", ErrBounds, what) }

func isName(s string) bool {
	if s == "" || len(s) > MaxNameLength || !utf8.ValidString(s) {
		return false
	}
	for _, c := range s {
		isControl := c < ' ' || c == 0x7f
		if isControl {
			return false
		}
	}
	return true
}

func isBodySize(size, uncompressedSize int) bool {
	if size < 0 || size > MaxBodySize {
		return false
	}
	return uncompressedSize == 0 || uncompressedSize > 0 && uncompressedSize <= MaxBodySize && size > 0
}

func isDuration(microseconds int64) bool { return microseconds >= 0 && microseconds <= maxMicroseconds }

// isAmount is false for NaN, too.
func isAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

func (h *Hello) check() error {
	if !isName(h.Site) || !isName(h.Gateway) || !isName(h.Format) {
		return outOfBounds("hello: a name")
	}
	return nil
}

func (r *Request) check() error {
	switch {
	case !isName(r.ID) || !isName(r.Class) || r.IdempotencyKey != "" && !isName(r.IdempotencyKey):
		return outOfBounds("request: a name")
	case r.Idempotency > Idempotent:
		return outOfBounds("request: idempotency")
	case !isDuration(r.RemainingUS) || !isDuration(r.FirstSentAgoUS) || !isDuration(r.WorkUS):
		return outOfBounds("request: a time")
	case !isAmount(r.MemoryMB):
		return outOfBounds("request: memory")
	case r.MaxSends < 1 || r.MaxSends > MaxSends:
		return outOfBounds("request: maximum of sends")
	case !isBodySize(r.Size, r.UncompressedSize) || r.Size == 0:
		return outOfBounds("request: size")
	}
	return nil
}

func (r *Response) check() error {
	switch {
	case r.Verdict > Served:
		return outOfBounds("response: verdict")
	case r.SendCount < 0 || r.SendCount > MaxSends:
		return outOfBounds("response: sends")
	case !isDuration(r.RetryAfterUS) || !isDuration(r.WorkUS):
		return outOfBounds("response: a time")
	case !isBodySize(r.Size, r.UncompressedSize):
		return outOfBounds("response: size")
	case r.Verdict == Served && (r.IsError || !r.MayHaveRun):
		return outOfBounds("response: served without having run")
	}
	return nil
}

func (l *LoadReport) check() error {
	if !isAmount(l.WorkSeconds) || len(l.FreeCapacity) > MaxClasses {
		return outOfBounds("load report: work")
	}
	for class, capacity := range l.FreeCapacity {
		isFraction := capacity >= 0 && capacity <= 1 // false for NaN, too
		if !isName(class) || !isFraction {
			return outOfBounds("load report: free capacity")
		}
	}
	return nil
}

func (s *SentKeys) check() error {
	if len(s.Keys) > MaxKeys {
		return outOfBounds("sent keys: too many")
	}
	for _, key := range s.Keys {
		if !isName(key.Key) || !isDuration(key.AgoUS) {
			return outOfBounds("sent keys: a key")
		}
	}
	return nil
}
