// Package traffic stores recorded traffic: statements with their values, hints and actual costs,
// each with its arrival time.
//
// A file is "RWTRAFF" and a version byte, then blocks. A block is its length, the xxhash
// of its bytes and the number of its records (4, 8 and 4 bytes, big-endian), then a zstd
// frame of CBOR items: one Head in the first block, Records in the others. A block of
// length 0 that holds the number of all records ends the file; without it the file is truncated,
// which Reader reports after the complete records.
package traffic

import "errors"

// Version is the format version that is written and read.
const Version = 1

const magic = "RWTRAFF"

// Errors of reading files.
var (
	ErrTruncated = errors.New("the file was cut off")
	ErrDamaged   = errors.New("the file is damaged")
	ErrForeign   = errors.New("this is no traffic file")
	ErrVersion   = errors.New("the file has another version")
)

// Bounds of a block. They guard against files that claim sizes which they do not have.
const (
	maxBlockBytes = 16 << 20 // compressed
	maxPlainBytes = 64 << 20
	flushBytes    = 512 << 10 // uncompressed; a block is written when it reaches this size
	headerBytes   = 16
)

// Head describes how the traffic was generated.
type Head struct {
	Seed     uint64  `cbor:"1,keyasint"`
	Model    string  `cbor:"2,keyasint"` // the options of the workload, as text
	Rate     float64 `cbor:"3,keyasint"` // statements a second on average
	Arrivals string  `cbor:"4,keyasint"` // poisson, bursts or season
	Number   int     `cbor:"5,keyasint"`
}

// Record is one statement.
type Record struct {
	At        int64    `cbor:"1,keyasint"` // microseconds from the start
	Statement string   `cbor:"2,keyasint"`
	Values    [][]byte `cbor:"3,keyasint,omitempty"`
	Formats   []byte   `cbor:"4,keyasint,omitempty"`
	Types     []byte   `cbor:"5,keyasint,omitempty"`
	HintWork  float64  `cbor:"6,keyasint,omitempty"` // ms on one core; 0: none
	HintMB    float64  `cbor:"7,keyasint,omitempty"`
	Key       int      `cbor:"8,keyasint,omitempty"`

	// The actual class and cost, to judge a classifier by.
	Class    string  `cbor:"20,keyasint"`
	Hard     string  `cbor:"21,keyasint,omitempty"`
	Template int     `cbor:"22,keyasint"`
	Work     float64 `cbor:"23,keyasint"` // ms on one core
	MemoryMB float64 `cbor:"24,keyasint"`
	Value    float64 `cbor:"25,keyasint"`
}
