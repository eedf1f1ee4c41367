package pgproto

import (
	"errors"
	"fmt"
)

// sqlStateLength is the length of an SQLSTATE code.
const sqlStateLength = 5

// Error is an ErrorResponse.
type Error struct {
	Severity string
	Code     string // SQLSTATE
	Message  string
	Hint     string
	// Raw is the body as an engine sent it; it passes on unchanged.
	Raw []byte
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// AsError finds the engine's error in the chain of err; nil: there is none.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Body returns the body of the message.
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

// ReadError reads an ErrorResponse or a NoticeResponse.
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
		return nil, fmt.Errorf("%w: an error response", ErrMalformed)
	}
	return e, nil
}
