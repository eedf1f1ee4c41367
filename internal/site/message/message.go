// Package message defines the messages of the link between two gateways, encoded as CBOR (RFC 8949) maps
// with small integer keys. A message that cannot be decoded, has a field out of bounds or has an unknown
// field is an error, because both sides use the same version of the protocol.
package message

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Limits of message fields.
const (
	MaxNameLength   = 64                    // bytes of a name, class, request id or idempotency key
	MaxClasses      = 64                    // classes in a LoadReport
	MaxKeys         = 512                   // keys in one SentKeys
	MaxBodySize     = 16 << 20              // bytes of a statement or of a response's body
	MaxSends        = 64                    // sends to engines for one request
	maxMicroseconds = 24 * 3600 * 1_000_000 // longest duration, one day
	maxAmount       = 1e9                   // largest amount of work in s or of memory in MB
)

// Values of Request.Idempotency. Both sides must configure the same value for a class.
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
type Message interface {
	// check reports a field that is out of bounds.
	check() error
}

// Hello is the first message of each side.
type Hello struct {
	Site    string `cbor:"1,keyasint"`
	Gateway string `cbor:"2,keyasint"`
	// Incarnation is a random number that a gateway draws when it starts; it distinguishes restarts.
	Incarnation uint64 `cbor:"3,keyasint"`
	Format      string `cbor:"4,keyasint"` // encoding of statements and results, for example lines or postgres
	AcceptsZstd bool   `cbor:"5,keyasint"` // the sender decodes bodies compressed with zstd
}

// Request is a forwarded client request. Its statement follows as Data.
type Request struct {
	ID             string `cbor:"1,keyasint"` // request id from the client
	Class          string `cbor:"2,keyasint"`
	Idempotency    uint8  `cbor:"3,keyasint"` // NotIdempotent, IdempotentWithKey or Idempotent
	IdempotencyKey string `cbor:"4,keyasint,omitempty"`
	DataSet        int64  `cbor:"5,keyasint,omitempty"`
	// RemainingUS is the time in microseconds in which the receiver must respond; it excludes the delay of
	// the response.
	RemainingUS int64   `cbor:"6,keyasint"`
	WorkUS      int64   `cbor:"7,keyasint,omitempty"` // expected work in core-microseconds; 0: unknown
	MemoryMB    float64 `cbor:"8,keyasint,omitempty"` // expected memory; 0: unknown
	ClientRetry bool    `cbor:"9,keyasint,omitempty"` // the client marked the request as a retry
	MaxSends    int     `cbor:"10,keyasint"`          // sends to engines that the receiver may make, 1 to MaxSends
	// FirstSentAgoUS is 1 plus the time in microseconds since the first send, at any site, that may have
	// run; 0: no send may have run.
	FirstSentAgoUS   int64 `cbor:"11,keyasint,omitempty"`
	Size             int   `cbor:"12,keyasint"`           // bytes of Data that follow
	UncompressedSize int   `cbor:"13,keyasint,omitempty"` // bytes of that Data before compression; 0: not compressed
}

// Response is the outcome of a request. Its result or its error follows as Data.
type Response struct {
	Verdict          uint8 `cbor:"1,keyasint"`           // Failed, Rejected or Served
	MayHaveRun       bool  `cbor:"2,keyasint,omitempty"` // an engine may have run it; false: certainly none has
	SendCount        int   `cbor:"3,keyasint,omitempty"` // sends to engines of the responding site
	RetryAfterUS     int64 `cbor:"4,keyasint,omitempty"` // with Rejected: microseconds after which the client may retry; 0: not given
	DeadlinePassed   bool  `cbor:"5,keyasint,omitempty"` // it ended because its deadline passed
	WorkUS           int64 `cbor:"6,keyasint,omitempty"` // work that it took, in core-microseconds; 0: unknown
	Size             int   `cbor:"7,keyasint,omitempty"` // bytes of Data that follow
	UncompressedSize int   `cbor:"8,keyasint,omitempty"` // bytes of that Data before compression; 0: not compressed
	IsError          bool  `cbor:"9,keyasint,omitempty"` // the body is an engine's error
}

// LoadReport tells a peer how much work the sender accepts.
type LoadReport struct {
	FreeCapacity map[string]float64 `cbor:"1,keyasint"`           // fraction by class, 0 to 1
	WorkSeconds  float64            `cbor:"2,keyasint"`           // core-seconds of work that the receiver may forward until the next report
	Draining     bool               `cbor:"3,keyasint,omitempty"` // the sender accepts no new requests
}

// SentKey is an idempotency key that was sent to an engine.
type SentKey struct {
	Key   string `cbor:"1,keyasint"`
	AgoUS int64  `cbor:"2,keyasint"` // time since the send in microseconds
}

// SentKeys lists the idempotency keys that were sent to engines since the previous SentKeys.
type SentKeys struct {
	Keys []SentKey `cbor:"1,keyasint"`
}

// ErrBounds reports a message field that is out of bounds.
var ErrBounds = errors.New("site link: message field out of bounds")

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: MaxKeys, MaxMapPairs: MaxClasses, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode())
)

// must panics on an error. It is only used for the constant options above, so that an invalid option
// fails every test at its start.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Append appends the encoding of m to b.
func Append(b []byte, m Message) ([]byte, error) {
	encoded, err := encoder.Marshal(m)
	if err != nil {
		return b, fmt.Errorf("site link: encode message: %w", err)
	}
	return append(b, encoded...), nil
}

// Decode decodes b into m, and checks that the message is complete and its fields are within bounds.
func Decode(b []byte, m Message) error {
	if err := decoder.Unmarshal(b, m); err != nil {
		return fmt.Errorf("site link: decode message: %w", err)
	}
	return m.check()
}

// outOfBounds returns an ErrBounds that names the message and the field.
func outOfBounds(field string) error { return fmt.Errorf("%w: %s", ErrBounds, field) }

// isName reports whether s is a valid name: 1 to MaxNameLength bytes of UTF-8 without control characters.
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

// isBodySize reports whether the sizes of a body as sent and before compression are valid. An empty body
// cannot be compressed.
func isBodySize(size, uncompressedSize int) bool {
	if size < 0 || size > MaxBodySize {
		return false
	}
	return uncompressedSize == 0 || uncompressedSize > 0 && uncompressedSize <= MaxBodySize && size > 0
}

// isDuration reports whether a duration is from 0 to maxMicroseconds.
func isDuration(microseconds int64) bool { return microseconds >= 0 && microseconds <= maxMicroseconds }

// isAmount reports whether amount is from 0 to maxAmount; it is false for NaN.
func isAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

func (h *Hello) check() error {
	if !isName(h.Site) || !isName(h.Gateway) || !isName(h.Format) {
		return outOfBounds("hello: name")
	}
	return nil
}

func (r *Request) check() error {
	switch {
	case !isName(r.ID) || !isName(r.Class) || r.IdempotencyKey != "" && !isName(r.IdempotencyKey):
		return outOfBounds("request: name")
	case r.Idempotency > Idempotent:
		return outOfBounds("request: idempotency")
	case !isDuration(r.RemainingUS) || !isDuration(r.FirstSentAgoUS) || !isDuration(r.WorkUS):
		return outOfBounds("request: duration")
	case !isAmount(r.MemoryMB):
		return outOfBounds("request: memory")
	case r.MaxSends < 1 || r.MaxSends > MaxSends:
		return outOfBounds("request: maximum sends")
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
		return outOfBounds("response: send count")
	case !isDuration(r.RetryAfterUS) || !isDuration(r.WorkUS):
		return outOfBounds("response: duration")
	case !isBodySize(r.Size, r.UncompressedSize):
		return outOfBounds("response: size")
	case r.Verdict == Served && (r.IsError || !r.MayHaveRun):
		return outOfBounds("response: served, but is an error or has not run")
	}
	return nil
}

func (l *LoadReport) check() error {
	if !isAmount(l.WorkSeconds) || len(l.FreeCapacity) > MaxClasses {
		return outOfBounds("load report: work or number of classes")
	}
	for class, capacity := range l.FreeCapacity {
		isFraction := capacity >= 0 && capacity <= 1 // false for NaN
		if !isName(class) || !isFraction {
			return outOfBounds("load report: free capacity")
		}
	}
	return nil
}

func (s *SentKeys) check() error {
	if len(s.Keys) > MaxKeys {
		return outOfBounds("sent keys: number of keys")
	}
	for _, key := range s.Keys {
		if !isName(key.Key) || !isDuration(key.AgoUS) {
			return outOfBounds("sent keys: key or its age")
		}
	}
	return nil
}
