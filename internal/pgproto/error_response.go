package pgproto

import (
	"errors"
	"fmt"
)

// sqlStateLength is the length of an SQLSTATE code in bytes.
const sqlStateLength = 5

// Error is an ErrorResponse. Fields that the message does not have are empty.
type Error struct {
	Severity string // such as ERROR or FATAL
	Code     string // SQLSTATE code
	Message  string
	Hint     string
	// Raw is the body as an engine sent it, which is relayed unchanged. It is nil for errors of the gateway itself.
	Raw []byte
}

// Error returns the SQLSTATE code and the message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// AsError returns the first Error in the chain of err, or nil if there is none.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Body returns the body of the ErrorResponse: Raw if it is set, otherwise the encoded fields.
func (e *Error) Body() []byte {
	if e.Raw != nil {
		return e.Raw
	}
	var b []byte
	for _, field := range []struct {
		kind  byte
		value string
	}{{'S', e.Severity}, {'V', e.Severity}, {'C', e.Code}, {'M', e.Message}, {'H', e.Hint}} {
		if field.value != "" {
			b = append(b, field.kind)
			b = append(b, CString(field.value)...)
		}
	}
	return append(b, 0)
}

// ReadError decodes the body of an ErrorResponse or a NoticeResponse.
func ReadError(body []byte) (*Error, error) {
	e := &Error{Raw: append([]byte{}, body...)}
	r := Reader{Rest: body}
	for kind := r.Byte(); kind != 0; kind = r.Byte() {
		value := r.CString()
		switch kind {
		case 'S':
			e.Severity = value
		case 'C':
			e.Code = value
		case 'M':
			e.Message = value
		case 'H':
			e.Hint = value
		}
	}
	if !r.Complete() || len(e.Code) != sqlStateLength {
		return nil, fmt.Errorf("%w: invalid ErrorResponse", ErrMalformed)
	}
	return e, nil
}
