package forwarding

import "gannetspur/internal/core"

// Codec turns the statements and results of a wire into bytes and back. What it reads comes
// from another gateway: it checks all that an engine or a client would rely on.
type Codec interface {
	Form() string
	Statement(statement core.Statement) ([]byte, error)
	ReadStatement(b []byte) (core.Statement, error)
	Result(result core.Result) ([]byte, error)
	ReadResult(b []byte) (core.Result, error)
	Detail(detail error) []byte // nil: there is nothing to tell
	ReadDetail(b []byte) (detail, err error)
}
