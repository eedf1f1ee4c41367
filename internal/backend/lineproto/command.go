package lineproto

import "strconv"

// A command to an engine is a line that ends in CR LF. The line of a request is followed by the
// statement and another CR LF.

// commandCapacity is the buffer capacity in bytes for one or two commands without a statement, given
// request IDs of 16 characters.
const commandCapacity = 64

// newCommand returns an empty buffer for commands.
func newCommand() []byte { return make([]byte, 0, commandCapacity) }

// requestCommand is the command that runs a statement.
type requestCommand struct {
	id             string
	class          string
	timeLeftMS     int64  // until the attempt times out; at least 1
	idempotencyKey string // "": none
	memoryMB       int64  // memory grant; below 1: the engine chooses
	priority       int
	statement      Statement
}

// requestLineCapacity is the buffer capacity in bytes for a request's line and line ends.
const requestLineCapacity = 160

// encode returns the bytes of the command, in one allocation.
func (r requestCommand) encode() []byte {
	b := make([]byte, 0, requestLineCapacity+len(r.statement))
	b = append(b, "want "...)
	b = append(b, r.id...)
	b = append(b, " kind="...)
	b = append(b, r.class...)
	b = append(b, ",ms="...)
	b = strconv.AppendInt(b, r.timeLeftMS, 10)
	if r.idempotencyKey != "" {
		b = append(b, ",token="...)
		b = append(b, r.idempotencyKey...)
	}
	if r.memoryMB >= 1 {
		b = append(b, ",mb="...)
		b = strconv.AppendInt(b, r.memoryMB, 10)
	}
	b = append(b, ",nice="...)
	b = strconv.AppendInt(b, int64(r.priority), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(r.statement)), 10)
	b = append(b, "\r\n"...)
	b = append(b, r.statement...)
	return append(b, "\r\n"...)
}

// appendCancelCommand appends the command that cancels a request.
func appendCancelCommand(b []byte, id string) []byte {
	return appendLine(b, "never_mind ", id)
}

// appendReleaseCommand appends the command that frees the pages of a result.
func appendReleaseCommand(b []byte, id string) []byte {
	return appendLine(b, "shut ", id)
}

// appendPageCommand appends the command that fetches one page of a result; the first is page 0.
func appendPageCommand(b []byte, id string, page int) []byte {
	return appendNumberedLine(b, "turn ", id, page)
}

// appendPriorityCommand appends the command that changes a request's priority.
func appendPriorityCommand(b []byte, id string, priority int) []byte {
	return appendNumberedLine(b, "hurry ", id, priority)
}

// appendHealthCheckCommand appends the command that asks whether the engine is healthy. The answer
// carries the tag.
func appendHealthCheckCommand(b []byte, tag string) []byte {
	return appendLine(b, "there ", tag)
}

// appendLoadReportCommand appends the command that asks for the engine's health and load. The answer
// carries the tag.
func appendLoadReportCommand(b []byte, tag string) []byte {
	return appendLine(b, "busy ", tag)
}

// appendLine appends a command with an ID or a tag. command ends in a space.
func appendLine(b []byte, command, id string) []byte {
	b = append(b, command...)
	b = append(b, id...)
	return append(b, "\r\n"...)
}

// appendNumberedLine appends a command with an ID and a number. command ends in a space.
func appendNumberedLine(b []byte, command, id string, number int) []byte {
	b = append(b, command...)
	b = append(b, id...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(number), 10)
	return append(b, "\r\n"...)
}
