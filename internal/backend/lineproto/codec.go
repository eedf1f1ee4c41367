package lineproto

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"gannetspur/internal/core"

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
func (Codec) Statement(statement core.Statement) ([]byte, error) {
	text, ok := statement.(Statement)
	if !ok {
		return nil, fmt.Errorf("%w: a statement of %T", errCodec, statement)
	}
	return []byte(text), nil
}

// ReadStatement reads one: text in UTF-8 without zeros.
func (Codec) ReadStatement(b []byte) (core.Statement, error) {
	if len(b) == 0 || len(b) > mostStatement || !utf8.Valid(b) {
		return nil, fmt.Errorf("%w: a statement that is no text", errCodec)
	}
	for _, c := range b {
		if c == 0 {
			return nil, fmt.Errorf("%w: a statement with a zero", errCodec)
		}
	}
	return Statement(b), nil
}

// Result encodes rows.
func (Codec) Result(result core.Result) ([]byte, error) {
	rows, ok := result.(Rows)
	if !ok {
		return nil, fmt.Errorf("%w: a result of %T", errCodec, result)
	}
	return cbor.Marshal([][]byte(rows))
}

// ReadResult reads rows: whole ones, within what an engine may send.
func (Codec) ReadResult(b []byte) (core.Result, error) {
	var pages [][]byte
	if err := cbor.Unmarshal(b, &pages); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	rows := Rows(pages)
	for _, p := range rows {
		if !wholeRows(p) {
			return nil, fmt.Errorf("%w: %w", errCodec, errBody)
		}
	}
	if len(rows) > maxPages || rows.Size() > maxResult {
		return nil, fmt.Errorf("%w: %d pages of %d bytes", errCodec, len(rows), rows.Size())
	}
	return rows, nil
}

// Detail has nothing to tell: engines of this wire give no reasons.
func (Codec) Detail(error) []byte { return nil }

// ReadDetail is not asked for what Detail never gives.
func (Codec) ReadDetail([]byte) (detail, err error) {
	return nil, fmt.Errorf("%w: a reason", errCodec)
}
