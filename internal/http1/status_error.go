package http1

import (
	"fmt"
	"net/http"
)

// StatusError is the reason for rejecting a request. The client gets both fields.
type StatusError struct {
	Status  int // HTTP status code
	Message string
}

func (e *StatusError) Error() string { return e.Message }

// BadRequest returns an error with status 400 and a formatted message.
func BadRequest(format string, args ...any) *StatusError {
	return NewStatusError(http.StatusBadRequest, format, args...)
}

// NewStatusError returns an error with the given status code and a formatted message.
func NewStatusError(status int, format string, args ...any) *StatusError {
	return &StatusError{Status: status, Message: fmt.Sprintf(format, args...)}
}
