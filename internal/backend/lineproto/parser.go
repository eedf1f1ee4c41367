package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"gannetspur/internal/core"
)

const (
	maxLineBytes = 2 << 10  // first line of an answer
	maxBodyBytes = 16 << 10 // body of an answer; more than any page has
	answerWords  = 4        // words in the first line: ID, kind, fields, length of the body
)

// answerKind is the second word of an answer, which says what it means.
type answerKind string

// The kinds of answers.
const (
	answerDone           answerKind = "DONE"  // the statement is complete; carries the first page
	answerPage           answerKind = "MORE"  // carries a further page
	answerProgress       answerKind = "TELL"  // a progress report
	answerRejected       answerKind = "WAIT"  // the engine is full and has not run the statement
	answerFailed         answerKind = "BROKE" // the statement or the fetch of a page has failed
	answerDeadlinePassed answerKind = "PAST"  // the deadline passed before the statement ran
	answerHealthy        answerKind = "FIT"   // to a health check: the engine is healthy
	answerUnhealthy      answerKind = "UNFIT" // to a health check: the engine is not healthy
)

// failureOutcomes maps each answer that ends an attempt without a result to the attempt's outcome.
var failureOutcomes = map[answerKind]core.Outcome{
	answerRejected:       core.OutcomeEngineFull,
	answerFailed:         core.OutcomeEngineError,
	answerDeadlinePassed: core.OutcomeDeadlinePassed,
}

// answer is one message from an engine: a line with ID, kind, fields and body length, then the body.
type answer struct {
	id     string // request ID or tag of a health check
	kind   answerKind
	fields string // NAME=VALUE separated by commas, or "-"
	body   []byte // part of the connection's buffer, not a copy
}

var (
	errInvalidLine      = errors.New("the first line of an answer is too long or does not end in CR LF")
	errInvalidWordCount = errors.New("the first line of an answer does not have four words")
	errInvalidLength    = errors.New("the body length of an answer is not a number or too large")
	errMissingBodyEnd   = errors.New("the body of an answer is not followed by CR LF")
	errUnknownAnswer    = errors.New("unknown kind of answer")
)

// parseAnswer parses the first answer in b. n is its length in bytes, or 0 if b does not hold a
// complete answer yet or the answer is invalid.
func parseAnswer(b []byte) (a answer, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	switch {
	case end < 0 && len(b) >= maxLineBytes:
		return answer{}, 0, errInvalidLine
	case end < 0:
		return answer{}, 0, nil
	case end == 0 || b[end-1] != '\r':
		return answer{}, 0, errInvalidLine
	}
	words := strings.Split(string(b[:end-1]), " ")
	if len(words) != answerWords || words[0] == "" || words[1] == "" {
		return answer{}, 0, errInvalidWordCount
	}
	length, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || length > maxBodyBytes {
		return answer{}, 0, errInvalidLength
	}
	bodyStart := end + 1
	bodyEnd := bodyStart + int(length)
	n = bodyEnd + len("\r\n")
	if len(b) < n {
		return answer{}, 0, nil
	}
	if b[n-2] != '\r' || b[n-1] != '\n' {
		return answer{}, 0, fmt.Errorf("%w (%d bytes)", errMissingBodyEnd, length)
	}
	return answer{id: words[0], kind: answerKind(words[1]), fields: words[2], body: b[bodyStart:bodyEnd]}, n, nil
}
