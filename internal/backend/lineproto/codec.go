package lineproto

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Codec turns statements and rows into bytes and back, for gateways that pass them on. What it
// reads is checked as what clients and engines send is.
type Codec struct{}

// mostStatement bounds a statement of another gateway, as the front bounds a client's.
const mostStatement = 64 << 10

var errCodec = errors.New("lines: what another gateway sent can't be used")

// Form names what is encoded.
func (Codec) Form() string { return "lines" }

// Statement encodes a statement.
func (Codec) Statement(statement any) ([]byte, error) {
	text, ok := statement.(string)
	if !ok {
		return nil, fmt.Errorf("%w: a statement of %T", errCodec, statement)
	}
	return []byte(text), nil
}

// ReadStatement reads one: text in UTF-8 without zeros.
func (Codec) ReadStatement(b []byte) (any, error) {
	if len(b) == 0 || len(b) > mostStatement || !utf8.Valid(b) {
		return nil, fmt.Errorf("%w: a statement that is no text", errCodec)
	}
	for _, c := range b {
		if c == 0 {
			return nil, fmt.Errorf("%w: a statement with a zero", errCodec)
		}
	}
	return string(b), nil
}

// Result encodes rows.
func (Codec) Result(result any) ([]byte, error) {
	rows, ok := result.(Rows)
	if !ok {
		return nil, fmt.Errorf("%w: a result of %T", errCodec, result)
	}
	return cbor.Marshal([][]byte(rows))
}

// ReadResult reads rows: whole ones, within what an engine may send.
func (Codec) ReadResult(b []byte) (any, error) {
	var pages [][]byte
	if err := cbor.Unmarshal(b, &pages); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	size := 0
	for _, p := range pages {
		size += len(p)
		if !wholeRows(p) {
			return nil, fmt.Errorf("%w: %w", errCodec, errBody)
		}
	}
	if len(pages) > maxPages || size > maxResult {
		return nil, fmt.Errorf("%w: %d pages of %d bytes", errCodec, len(pages), size)
	}
	return Rows(pages), nil
}

// Detail has nothing to tell: engines of this wire give no reasons.
func (Codec) Detail(any) []byte { return nil }

// ReadDetail is not asked for what Detail never gives.
func (Codec) ReadDetail([]byte) (any, error) {
	return nil, fmt.Errorf("%w: a reason", errCodec)
}
