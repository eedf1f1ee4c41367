package postgres

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/sqltext"

	"github.com/fxamacker/cbor/v2"
)

// Codec turns statements, results and errors into bytes and back, for gateways that pass them
// on. What it reads is checked as what clients and engines send is.
type Codec struct{}

var errCodec = errors.New("pg: what another gateway sent can't be used")

var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4,
	}.DecMode()
	if err != nil { // the options are this file's
		panic(err)
	}
	return m
}()

// Form names what is encoded.
func (Codec) Form() string { return "postgres" }

// Statement encodes a statement.
func (Codec) Statement(statement core.Statement) ([]byte, error) {
	s, ok := statement.(*pgproto.Statement)
	if !ok {
		return nil, fmt.Errorf("%w: a statement of %T", errCodec, statement)
	}
	return cbor.Marshal(s)
}

// ReadStatement reads one whose parts make whole messages.
func (Codec) ReadStatement(b []byte) (core.Statement, error) {
	var s pgproto.Statement
	if err := reader.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	if s.BeginQuery != "" || s.EndsTransaction {
		return nil, fmt.Errorf("%w: a part of a transaction", errCodec)
	}
	if len(s.Settings) > mostSettings {
		return nil, fmt.Errorf("%w: %d settings", errCodec, len(s.Settings))
	}
	for _, set := range s.Settings {
		if word, more := sqltext.FirstWord(set.Text); word != "SET" || more || !plainName(set.Name) {
			return nil, fmt.Errorf("%w: a setting", errCodec)
		}
	}
	if s.Query == "" || !utf8.ValidString(s.Query) || strings.IndexByte(s.Query, 0) >= 0 {
		return nil, fmt.Errorf("%w: a statement that is no text", errCodec)
	}
	types := pgproto.Reader{Rest: s.ParameterTypes}
	types.Bytes(4 * types.Count())
	if !types.Complete() {
		return nil, fmt.Errorf("%w: the types of parameters", errCodec)
	}
	if s.DescribeOnly {
		return &s, nil
	}
	bind := pgproto.Reader{Rest: s.Bind}
	bind.Bytes(2 * bind.Count())
	for range bind.Count() {
		if n := bind.Int32(); n >= 0 {
			bind.Bytes(n)
		} else if n < -1 {
			bind.Invalid = true
		}
		if bind.Invalid {
			break
		}
	}
	bind.Bytes(2 * bind.Count())
	if !bind.Complete() {
		return nil, fmt.Errorf("%w: the values of parameters", errCodec)
	}
	return &s, nil
}

// mostSettings bounds those that a statement of another gateway runs under.
const mostSettings = 64

// plainName tells whether a setting's name can stand in a statement as it is.
func plainName(name string) bool {
	return name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789_.") == ""
}

// Result encodes a result.
func (Codec) Result(result core.Result) ([]byte, error) {
	r, ok := result.(*pgproto.Result)
	if !ok {
		return nil, fmt.Errorf("%w: a result of %T", errCodec, result)
	}
	return cbor.Marshal(r)
}

// ReadResult reads a result of whole rows, as many as it says.
func (Codec) ReadResult(b []byte) (core.Result, error) {
	var r pgproto.Result
	if err := reader.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	if len(r.Rows) > MaxResultBytes || strings.IndexByte(r.Tag, 0) >= 0 {
		return nil, fmt.Errorf("%w: a result of %d bytes", errCodec, len(r.Rows))
	}
	rest, n := r.Rows, 0
	for len(rest) > 0 {
		kind, _, size, err := pgproto.ReadMessage(rest, maxMessage)
		if err != nil || size == 0 || kind != 'D' {
			return nil, fmt.Errorf("%w: what are no whole rows", errCodec)
		}
		rest = rest[size:]
		n++
	}
	if n != r.RowCount {
		return nil, fmt.Errorf("%w: %d rows in place of %d", errCodec, n, r.RowCount)
	}
	return &r, nil
}

// Detail encodes an error; nil: it is none of an engine.
func (Codec) Detail(detail error) []byte {
	if e := pgproto.AsError(detail); e != nil {
		return e.Body()
	}
	return nil
}

// ReadDetail reads an error.
func (Codec) ReadDetail(b []byte) (detail, err error) { return pgproto.ReadError(b) }
