package forwarding

import "gannetspur/internal/core"

// Codec encodes and decodes the statements, results and errors of a client protocol for the link
// between sites. Encoded input comes from another gateway, so the Read methods validate everything
// that an engine or a client relies on.
type Codec interface {
	// Form names the encoding, for example lines or postgres. Both sides of a link must use the same.
	Form() string
	// Statement encodes a statement.
	Statement(statement core.Statement) ([]byte, error)
	// ReadStatement decodes and validates a statement.
	ReadStatement(b []byte) (core.Statement, error)
	// Result encodes the result of a statement.
	Result(result core.Result) ([]byte, error)
	// ReadResult decodes and validates a result.
	ReadResult(b []byte) (core.Result, error)
	// Detail encodes an engine's error; nil means that there are no details to send.
	Detail(detail error) []byte
	// ReadDetail decodes and validates an engine's error.
	ReadDetail(b []byte) (detail, err error)
}
