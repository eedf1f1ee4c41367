// Package traffic generates, writes and reads files of recorded traffic: statements with their values,
// hints and actual costs, each with its arrival time.
//
// A file consists of "RWTRAFF", a version byte and blocks. A block has a header of 16 bytes (length of
// the frame, xxhash of the frame, number of records: 4, 8 and 4 bytes, big-endian) and a zstd frame of
// CBOR items: one Head in the first block, Records in the others. A header of length 0 with the number
// of all records in place of the hash ends the file. Without it the file is truncated, which Reader
// reports after the records of the complete blocks.
package traffic

import "errors"

// Version is the format version that is written and read.
const Version = 1

const magic = "RWTRAFF"

// Errors that Reader returns, wrapped.
var (
	ErrTruncated = errors.New("the traffic file is truncated")
	ErrDamaged   = errors.New("the traffic file is damaged")
	ErrForeign   = errors.New("not a traffic file")
	ErrVersion   = errors.New("unsupported version of the traffic file")
)

// Limits of a block, in bytes. They prevent large allocations for damaged files that state wrong sizes.
const (
	maxBlockBytes = 16 << 20 // compressed
	maxPlainBytes = 64 << 20
	flushBytes    = 512 << 10 // uncompressed; the writer ends a block that reaches this size
	headerBytes   = 16
)

// Head describes how the traffic was generated.
type Head struct {
	Seed     uint64  `cbor:"1,keyasint"` // of the workload and the arrivals
	Model    string  `cbor:"2,keyasint"` // the options of the workload, as text
	Rate     float64 `cbor:"3,keyasint"` // statements per second on average
	Arrivals string  `cbor:"4,keyasint"` // poisson, bursts or season
	Number   int     `cbor:"5,keyasint"` // of statements
}

// Record is one statement.
type Record struct {
	At        int64    `cbor:"1,keyasint"`           // arrival time, in microseconds from the start
	Statement string   `cbor:"2,keyasint"`           // text
	Values    [][]byte `cbor:"3,keyasint,omitempty"` // bound values; a nil value is null
	Formats   []byte   `cbor:"4,keyasint,omitempty"` // format codes, as in a Bind message
	Types     []byte   `cbor:"5,keyasint,omitempty"` // type object ids, as in a Parse message
	HintWork  float64  `cbor:"6,keyasint,omitempty"` // hinted work, ms on one core; 0: no hint
	HintMB    float64  `cbor:"7,keyasint,omitempty"` // hinted memory; 0: no hint
	Key       int      `cbor:"8,keyasint,omitempty"` // number of the value that is the idempotency key, from 1; 0: none

	// The actual class and cost, against which a classifier is evaluated.
	Class    string  `cbor:"20,keyasint"`           // lookup, report, load or write
	Hard     string  `cbor:"21,keyasint,omitempty"` // hard case for a classifier, or ""
	Template int     `cbor:"22,keyasint"`           // as in workload.Statement
	Work     float64 `cbor:"23,keyasint"`           // ms on one core
	MemoryMB float64 `cbor:"24,keyasint"`
	Value    float64 `cbor:"25,keyasint"` // value of an answer
}
