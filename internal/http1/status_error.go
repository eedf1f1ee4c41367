package http1

import (
	"fmt"
	"net/http"
)

// StatusError is why a request is rejected: a status and a plain message.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string { return e.Message }

// BadRequest returns an error of status 400.
func BadRequest(format string, args ...any) *StatusError {
	return NewStatusError(http.StatusBadRequest, format, args...)
}

// NewStatusError returns an error of any status.
func NewStatusError(status int, format string, args ...any) *StatusError {
	return &StatusError{Status: status, Message: fmt.Sprintf(format, args...)}
}
