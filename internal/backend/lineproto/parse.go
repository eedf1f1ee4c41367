package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/policy"
)

const (
	maxLine = 2 << 10  // an answer's first line
	maxBody = 16 << 10 // a page, with room
)

// answer is one message of an engine.
type answer struct {
	id, word string
	fields   string
	body     []byte // within the buffer
}

var (
	errLine   = errors.New("a line is too long or not ended by CR LF")
	errWords  = errors.New("an answer does not have four words")
	errLength = errors.New("an answer's length is no number or too large")
)

// parse reads one answer; n is 0 while it is not whole.
func parse(b []byte) (a answer, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	if end < 0 {
		if len(b) >= maxLine {
			return a, 0, errLine
		}
		return a, 0, nil
	}
	if end == 0 || b[end-1] != '\r' {
		return a, 0, errLine
	}
	words := strings.Split(string(b[:end-1]), " ")
	if len(words) != 4 || words[0] == "" || words[1] == "" {
		return a, 0, errWords
	}
	length, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || length > maxBody {
		return a, 0, errLength
	}
	start := end + 1
	n = start + int(length) + 2
	if len(b) < n {
		return a, 0, nil
	}
	if b[n-2] != '\r' || b[n-1] != '\n' {
		return a, 0, fmt.Errorf("the %d bytes of an answer are not followed by CR LF", length)
	}
	return answer{id: words[0], word: words[1], fields: words[2], body: b[start : n-2]}, n, nil
}

// field finds a value in a list of fields.
func field(list, name string) (value string, ok bool) {
	for list != "" && list != "-" {
		var one string
		one, list, _ = strings.Cut(list, ",")
		if k, v, _ := strings.Cut(one, "="); k == name {
			return v, true
		}
	}
	return "", false
}

// number reads a field that may be absent; what is no finite number counts as absent.
func number(list, name string) (v float64, ok bool) {
	s, ok := field(list, name)
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v-v == 0
}

// gauges reads a load report. Engines name its values in the words of the
// settings or in those of the wire.
func gauges(list string) policy.LoadReport {
	l := policy.LoadReport{CPUUtilization: -1, InFlight: -1, WaitingForMemory: -1, MemoryUtilization: -1, DiskUtilization: -1}
	text, ok := field(list, "gauges")
	for ok && text != "" {
		var one string
		one, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(one, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v-v != 0 {
			continue
		}
		switch name {
		case "util", "cpu":
			l.CPUUtilization = v
		case "inflight", "active":
			l.InFlight = v
		case "queue", "waiting":
			l.WaitingForMemory = v
		case "x0":
			l.MemoryUtilization = v
		case "x1":
			l.DiskUtilization = v
		default:
			continue
		}
		l.Reported = true
	}
	return l
}

// note reads what a TELL says, if it says anything.
func note(list string) (kind policy.ProgressKind, value float64, ok bool) {
	what, _ := field(list, "res")
	value, ok = number(list, "num")
	switch {
	case !ok:
	case what == "p":
		return policy.ProgressFraction, value, true
	case what == "s":
		return policy.ProgressSpilled, value, true
	case what == "w" && value == 2:
		return policy.ProgressWaitingForDataLoad, value, true
	case what == "w":
		return policy.ProgressWaitingForMemory, value, true
	}
	return 0, 0, false
}

// ends maps the words that end an attempt without a result.
var ends = map[string]core.Outcome{"WAIT": core.OutcomeEngineFull, "BROKE": core.OutcomeEngineError, "PAST": core.OutcomeDeadlinePassed}
