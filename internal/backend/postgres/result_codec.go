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

// Codec encodes statements, results and errors that are forwarded between gateways. It validates decoded data as
// strictly as data from clients and engines.
type Codec struct{}

const (
	// maxSettings is the maximum number of settings of a statement from another gateway.
	maxSettings = 64
	// settingNameChars is the set of characters that a setting's name may contain without being quoted.
	settingNameChars = "abcdefghijklmnopqrstuvwxyz0123456789_."
	// Sizes in bytes of a parameter type and of a format code in messages.
	parameterTypeBytes = 4
	formatCodeBytes    = 2
	// nullLength is the length that stands for a parameter value of NULL.
	nullLength = -1
)

var errInvalidPayload = errors.New("postgres: invalid statement or result")

var decoder = newDecoder()

// newDecoder returns a decoder that rejects duplicate keys, unknown fields, indefinite lengths, tags and deep nesting.
func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4,
	}.DecMode()
	if err != nil { // not reached: the options are constant and valid
		panic(err)
	}
	return mode
}

// Form returns the name of the encoding, by which two gateways agree on it.
func (Codec) Form() string { return "postgres" }

// Statement encodes a statement.
func (Codec) Statement(statement core.Statement) ([]byte, error) {
	s, ok := statement.(*pgproto.Statement)
	if !ok {
		return nil, fmt.Errorf("%w: unexpected statement type %T", errInvalidPayload, statement)
	}
	return cbor.Marshal(s)
}

// ReadStatement decodes a statement and checks that valid messages can be made of its parts.
func (Codec) ReadStatement(b []byte) (core.Statement, error) {
	var s pgproto.Statement
	if err := decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidPayload, err)
	}
	if s.BeginQuery != "" || s.EndsTransaction {
		return nil, fmt.Errorf("%w: the statement is part of a transaction", errInvalidPayload)
	}
	if err := checkSettings(s.Settings); err != nil {
		return nil, err
	}
	if s.Query == "" || !utf8.ValidString(s.Query) || strings.IndexByte(s.Query, 0) >= 0 {
		return nil, fmt.Errorf("%w: the statement is empty, not UTF-8 or contains a NUL character", errInvalidPayload)
	}
	if !validParameterTypes(s.ParameterTypes) {
		return nil, fmt.Errorf("%w: invalid parameter types", errInvalidPayload)
	}
	if !s.DescribeOnly && !validBind(s.Bind) {
		return nil, fmt.Errorf("%w: invalid parameter values or format codes", errInvalidPayload)
	}
	return &s, nil
}

// checkSettings checks that each setting consists of one SET statement and a name that a RESET can use unquoted.
func checkSettings(settings []pgproto.Setting) error {
	if len(settings) > maxSettings {
		return fmt.Errorf("%w: %d settings exceed the maximum of %d", errInvalidPayload, len(settings), maxSettings)
	}
	for _, setting := range settings {
		word, more := sqltext.FirstWord(setting.Text)
		if word != "SET" || more || !isPlainName(setting.Name) {
			return fmt.Errorf("%w: a setting is not a single SET statement or has an invalid name", errInvalidPayload)
		}
	}
	return nil
}

// isPlainName reports whether a setting's name needs no quotes in a statement.
func isPlainName(name string) bool {
	return name != "" && strings.Trim(name, settingNameChars) == ""
}

// validParameterTypes reports whether b consists of a count and that number of parameter types, as in a Parse.
func validParameterTypes(b []byte) bool {
	r := pgproto.Reader{Rest: b}
	r.Bytes(parameterTypeBytes * r.Count())
	return r.Complete()
}

// validBind reports whether b consists of parameter formats, parameter values and result formats, as in a Bind.
func validBind(b []byte) bool {
	r := pgproto.Reader{Rest: b}
	r.Bytes(formatCodeBytes * r.Count())
	for range r.Count() {
		length := r.Int32()
		switch {
		case length >= 0:
			r.Bytes(length)
		case length < nullLength:
			return false
		}
		if r.Invalid {
			return false
		}
	}
	r.Bytes(formatCodeBytes * r.Count())
	return r.Complete()
}

// Result encodes a result.
func (Codec) Result(result core.Result) ([]byte, error) {
	r, ok := result.(*pgproto.Result)
	if !ok {
		return nil, fmt.Errorf("%w: unexpected result type %T", errInvalidPayload, result)
	}
	return cbor.Marshal(r)
}

// ReadResult decodes a result, and checks that its rows are complete and match its row count.
func (Codec) ReadResult(b []byte) (core.Result, error) {
	var r pgproto.Result
	if err := decoder.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidPayload, err)
	}
	if len(r.Rows) > MaxResultBytes || strings.IndexByte(r.Tag, 0) >= 0 {
		return nil, fmt.Errorf("%w: rows of %d bytes (maximum %d), or a NUL character in the tag", errInvalidPayload, len(r.Rows), MaxResultBytes)
	}
	rows, err := countRows(r.Rows)
	if err != nil {
		return nil, err
	}
	if rows != r.RowCount {
		return nil, fmt.Errorf("%w: got %d rows, want %d", errInvalidPayload, rows, r.RowCount)
	}
	return &r, nil
}

// countRows returns the number of DataRow messages, or an error if there is any other or incomplete message.
func countRows(messages []byte) (rows int, err error) {
	for len(messages) > 0 {
		kind, _, size, err := pgproto.ReadMessage(messages, maxMessageBytes)
		if err != nil || size == 0 || kind != pgproto.MessageDataRow {
			return 0, fmt.Errorf("%w: incomplete or unexpected message among the rows", errInvalidPayload)
		}
		messages = messages[size:]
		rows++
	}
	return rows, nil
}

// Detail encodes an engine's error. It returns nil for any other error.
func (Codec) Detail(detail error) []byte {
	if e := pgproto.AsError(detail); e != nil {
		return e.Body()
	}
	return nil
}

// ReadDetail decodes an engine's error.
func (Codec) ReadDetail(b []byte) (detail, err error) { return pgproto.ReadError(b) }
