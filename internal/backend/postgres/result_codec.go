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

// Codec encodes statements, results and errors for forwarding between gateways. What it decodes
// is checked like what clients and engines send.
type Codec struct{}

const (
	// maxSettings bounds those that a statement of another gateway runs under.
	maxSettings = 64
	// settingNameChars are those of a name that needs no quotes in a statement.
	settingNameChars = "abcdefghijklmnopqrstuvwxyz0123456789_."
	// Sizes in messages.
	parameterTypeBytes = 4
	formatCodeBytes    = 2
	// nullLength is the length of a parameter's value that is null.
	nullLength = -1
)

var errCodec = errors.New("postgres: what another gateway sent can't be used")

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4,
	}.DecMode()
	if err != nil { // the options are constants
		panic(err)
	}
	return mode
}

// Form returns the name of the encoding.
func (Codec) Form() string { return "postgres" }

// Statement encodes a statement.
func (Codec) Statement(statement core.Statement) ([]byte, error) {
	s, ok := statement.(*pgproto.Statement)
	if !ok {
		return nil, fmt.Errorf("%w: a statement of %T", errCodec, statement)
	}
	return cbor.Marshal(s)
}

// ReadStatement decodes a statement whose parts make complete messages.
func (Codec) ReadStatement(b []byte) (core.Statement, error) {
	var s pgproto.Statement
	if err := decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	if s.BeginQuery != "" || s.EndsTransaction {
		return nil, fmt.Errorf("%w: a part of a transaction", errCodec)
	}
	if err := checkSettings(s.Settings); err != nil {
		return nil, err
	}
	if s.Query == "" || !utf8.ValidString(s.Query) || strings.IndexByte(s.Query, 0) >= 0 {
		return nil, fmt.Errorf("%w: a statement that is no text", errCodec)
	}
	if !validParameterTypes(s.ParameterTypes) {
		return nil, fmt.Errorf("%w: the types of parameters", errCodec)
	}
	if !s.DescribeOnly && !validBind(s.Bind) {
		return nil, fmt.Errorf("%w: the values of parameters", errCodec)
	}
	return &s, nil
}

// checkSettings checks that each setting is one SET, with a name that can stand in a RESET.
func checkSettings(settings []pgproto.Setting) error {
	if len(settings) > maxSettings {
		return fmt.Errorf("%w: %d settings", errCodec, len(settings))
	}
	for _, setting := range settings {
		word, more := sqltext.FirstWord(setting.Text)
		if word != "SET" || more || !isPlainName(setting.Name) {
			return fmt.Errorf("%w: a setting", errCodec)
		}
	}
	return nil
}

// isPlainName reports whether a setting's name can stand in a statement as it is.
func isPlainName(name string) bool {
	return name != "" && strings.Trim(name, settingNameChars) == ""
}

// validParameterTypes reports whether these are a count and as many types, as in a Parse.
func validParameterTypes(b []byte) bool {
	r := pgproto.Reader{Rest: b}
	r.Bytes(parameterTypeBytes * r.Count())
	return r.Complete()
}

// validBind reports whether these are the formats and values of parameters and the formats of results, as in a Bind.
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
		return nil, fmt.Errorf("%w: a result of %T", errCodec, result)
	}
	return cbor.Marshal(r)
}

// ReadResult decodes a result of complete rows, as many as it says.
func (Codec) ReadResult(b []byte) (core.Result, error) {
	var r pgproto.Result
	if err := decoder.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", errCodec, err)
	}
	if len(r.Rows) > MaxResultBytes || strings.IndexByte(r.Tag, 0) >= 0 {
		return nil, fmt.Errorf("%w: a result of %d bytes", errCodec, len(r.Rows))
	}
	rows, err := countRows(r.Rows)
	if err != nil {
		return nil, err
	}
	if rows != r.RowCount {
		return nil, fmt.Errorf("%w: %d rows in place of %d", errCodec, rows, r.RowCount)
	}
	return &r, nil
}

// countRows counts DataRow messages; an error if there is anything else.
func countRows(messages []byte) (rows int, err error) {
	for len(messages) > 0 {
		kind, _, size, err := pgproto.ReadMessage(messages, maxMessageBytes)
		if err != nil || size == 0 || kind != pgproto.MessageDataRow {
			return 0, fmt.Errorf("%w: incomplete rows", errCodec)
		}
		messages = messages[size:]
		rows++
	}
	return rows, nil
}

// Detail encodes an error; nil if it is none of an engine.
func (Codec) Detail(detail error) []byte {
	if e := pgproto.AsError(detail); e != nil {
		return e.Body()
	}
	return nil
}

// ReadDetail decodes an error.
func (Codec) ReadDetail(b []byte) (detail, err error) { return pgproto.ReadError(b) }
