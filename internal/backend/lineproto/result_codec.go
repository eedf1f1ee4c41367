package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"gannetspur/internal/core"

	"github.com/fxamacker/cbor/v2"
)

// Codec encodes statements and rows for forwarding between gateways. What it decodes
// is checked like what clients and engines send.
type Codec struct{}

// maxStatementBytes bounds a statement of another gateway, as the frontend bounds a client's.
const maxStatementBytes = 64 << 10

var errCodec = errors.New("line protocol: what another gateway sent can't be used")

// Form returns the name of the encoding.
func (Codec) Form() string { return "lines" }

// Statement encodes a statement.
func (Codec) Statement(statement core.Statement) ([]byte, error) {
	text, ok := statement.(Statement)
	if !ok {
		return nil, fmt.Errorf("%w: a statement of %T", errCodec, statement)
	}
	return []byte(text), nil
}

// ReadStatement decodes a statement: text in UTF-8 without zeros.
func (Codec) ReadStatement(b []byte) (core.Statement, error) {
	if len(b) == 0 || len(b) > maxStatementBytes || !utf8.Valid(b) {
		return nil, fmt.Errorf("%w: a statement that is no text", errCodec)
	}
	if bytes.IndexByte(b, 0) >= 0 {
		return nil, fmt.Errorf("%w: a statement with a zero", errCodec)
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

// ReadResult decodes rows: complete ones, within what an engine may send.
func (Codec) ReadResult(b []byte) (core.Result, error) {
	var pages [][]byte
	if err := cbor.Unmarshal(b, &pages); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	rows := Rows(pages)
	for _, page := range rows {
		if !hasCompleteRows(page) {
			return nil, fmt.Errorf("%w: %w", errCodec, errInvalidPage)
		}
	}
	if len(rows) > maxPages || rows.Size() > maxResultBytes {
		return nil, fmt.Errorf("%w: %d pages of %d bytes", errCodec, len(rows), rows.Size())
	}
	return rows, nil
}

// Detail returns nothing: engines of this protocol give no reasons.
func (Codec) Detail(error) []byte { return nil }

// ReadDetail fails: Detail never returns anything to decode.
func (Codec) ReadDetail([]byte) (detail, err error) {
	return nil, fmt.Errorf("%w: a reason", errCodec)
}
