package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"gannetspur/internal/core"

	"github.com/fxamacker/cbor/v2"
)

// Codec encodes statements and rows that are forwarded between gateways. It validates decoded data as
// strictly as data from clients and engines.
type Codec struct{}

// maxStatementBytes is the maximum size in bytes of a statement from another gateway. For the
// statements of its own clients, the frontend has a separate limit.
const maxStatementBytes = 64 << 10

var errInvalidPayload = errors.New("line protocol: invalid statement or result")

// Form returns the name of the encoding, by which two gateways agree on it.
func (Codec) Form() string { return "lines" }

// Statement encodes a statement.
func (Codec) Statement(statement core.Statement) ([]byte, error) {
	text, ok := statement.(Statement)
	if !ok {
		return nil, fmt.Errorf("%w: unexpected statement type %T", errInvalidPayload, statement)
	}
	return []byte(text), nil
}

// ReadStatement decodes a statement, which must be UTF-8 text without NUL characters.
func (Codec) ReadStatement(b []byte) (core.Statement, error) {
	if len(b) == 0 || len(b) > maxStatementBytes || !utf8.Valid(b) {
		return nil, fmt.Errorf("%w: the statement is empty, too long or not UTF-8", errInvalidPayload)
	}
	if bytes.IndexByte(b, 0) >= 0 {
		return nil, fmt.Errorf("%w: the statement contains a NUL character", errInvalidPayload)
	}
	return Statement(b), nil
}

// Result encodes rows.
func (Codec) Result(result core.Result) ([]byte, error) {
	rows, ok := result.(Rows)
	if !ok {
		return nil, fmt.Errorf("%w: unexpected result type %T", errInvalidPayload, result)
	}
	return cbor.Marshal([][]byte(rows))
}

// ReadResult decodes rows. They must be complete and within the limits for results of engines.
func (Codec) ReadResult(b []byte) (core.Result, error) {
	var pages [][]byte
	if err := cbor.Unmarshal(b, &pages); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidPayload, err)
	}
	rows := Rows(pages)
	for _, page := range rows {
		if !hasCompleteRows(page) {
			return nil, fmt.Errorf("%w: %w", errInvalidPayload, errInvalidPage)
		}
	}
	if len(rows) > maxPages || rows.Size() > maxResultBytes {
		return nil, fmt.Errorf("%w: %d pages of %d bytes exceed the limits", errInvalidPayload, len(rows), rows.Size())
	}
	return rows, nil
}

// Detail returns nil: engines of this protocol send no details of an error.
func (Codec) Detail(error) []byte { return nil }

// ReadDetail always fails, as Detail never encodes anything.
func (Codec) ReadDetail([]byte) (detail, err error) {
	return nil, fmt.Errorf("%w: error details are not supported", errInvalidPayload)
}
