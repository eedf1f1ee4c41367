package conformance

import (
	"fmt"
	"strings"
)

const heading = `# Conformance of the PostgreSQL frontend, message by message

Written by ` + "`testbed conform --out docs/postgres-conformance.md`" + `. It starts the gateway in front of one emulated engine and sends the messages
of each case in three ways: in one write, byte by byte, and in pieces of random length. Answers are written as words: the letter of
each message and its relevant content. *supported*: the messages are executed; *refused*: the answer is an error, and the connection
stays open; *ended*: the gateway closes the connection. The emulated engine gets the same messages without a gateway, so that
differences from its answers are due to the gateway. Answers in bold differ from the expected ones.

`

// Report returns the results as a page in Markdown. Answers that differ from the expected ones are in bold.
func Report(list []*Result) string {
	var b strings.Builder
	b.WriteString(heading)
	fmt.Fprintf(&b, "| messages or behavior | case | reaction | expected answer | answer of the engine alone |\n| --- | --- | --- | --- | --- |\n")
	about := ""
	for _, r := range list {
		subject := ""
		if r.About != about {
			about, subject = r.About, r.About
		}
		fmt.Fprintf(&b, "| %s | %s | %s | `%s`%s | %s |\n", subject, r.Name, r.Kind, r.Want, r.differences(), r.alone())
	}
	return b.String()
}

// differences returns the answers that differ from the expected one, with the way that the script was sent.
func (r *Result) differences() string {
	var parts []string
	for _, way := range Ways {
		if got := r.Got[way]; got != r.Want {
			parts = append(parts, fmt.Sprintf("; **%v, got: `%s`**", way, got))
		}
	}
	return strings.Join(parts, "")
}

// alone describes the answer of the engine alone.
func (r *Result) alone() string {
	switch {
	case r.Alone == notAsked:
		return "not tested: " + r.Why
	case r.Engine == "":
		return ""
	case r.Engine == r.Want:
		return "the same"
	case r.Engine == r.Alone:
		return "different: " + r.Why
	}
	return "**`" + r.Engine + "`**"
}
