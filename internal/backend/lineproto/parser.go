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
	maxLineBytes = 2 << 10  // an answer's first line
	maxBodyBytes = 16 << 10 // a page, with room to spare
	answerWords  = 4        // of the first line: ID, kind, fields, length of the body
)

// answerKind is the word that says what an answer means.
type answerKind string

// The kinds of answers.
const (
	answerDone           answerKind = "DONE"  // the statement is done; carries the first page
	answerPage           answerKind = "MORE"  // a further page
	answerProgress       answerKind = "TELL"  // a progress report
	answerRejected       answerKind = "WAIT"  // the engine is full, and has not run the statement
	answerFailed         answerKind = "BROKE" // the statement, or the fetch of a page, has failed
	answerDeadlinePassed answerKind = "PAST"  // the time was over before the statement ran
	answerHealthy        answerKind = "FIT"   // to a health check
	answerUnhealthy      answerKind = "UNFIT" // to a health check
)

// failureOutcomes maps the answers that end an attempt without a result.
var failureOutcomes = map[answerKind]core.Outcome{
	answerRejected:       core.OutcomeEngineFull,
	answerFailed:         core.OutcomeEngineError,
	answerDeadlinePassed: core.OutcomeDeadlinePassed,
}

// answer is one message of an engine.
type answer struct {
	id     string // the request's, or a health check's tag
	kind   answerKind
	fields string
	body   []byte // within the connection's buffer
}

var (
	errLine          = errors.New("a line is too long or not ended by CR LF")
	errWordCount     = errors.New("an answer does not have four words")
	errLength        = errors.New("an answer's length is no number or too large")
	errBodyEnd       = errors.New("an answer's body is not followed by CR LF")
	errUnknownAnswer = errors.New("unknown kind of answer")
)

// parseAnswer reads one answer and returns its length; 0 while it is not complete.
func parseAnswer(b []byte) (a answer, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	switch {
	case end < 0 && len(b) >= maxLineBytes:
		return answer{}, 0, errLine
	case end < 0:
		return answer{}, 0, nil
	case end == 0 || b[end-1] != '\r':
		return answer{}, 0, errLine
	}
	words := strings.Split(string(b[:end-1]), " ")
	if len(words) != answerWords || words[0] == "" || words[1] == "" {
		return answer{}, 0, errWordCount
	}
	length, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || length > maxBodyBytes {
		return answer{}, 0, errLength
	}
	bodyStart := end + 1
	bodyEnd := bodyStart + int(length)
	n = bodyEnd + len("\r\n")
	if len(b) < n {
		return answer{}, 0, nil
	}
	if b[n-2] != '\r' || b[n-1] != '\n' {
		return answer{}, 0, fmt.Errorf("%w (%d bytes)", errBodyEnd, length)
	}
	return answer{id: words[0], kind: answerKind(words[1]), fields: words[2], body: b[bodyStart:bodyEnd]}, n, nil
}
