package conformance

import (
	"fmt"
	"strings"
)

const heading = `# What the PostgreSQL front answers, message by message

Written by ` + "`testbed conform --out docs/postgres-conformance.md`" + `, which starts the gateway before one emulated engine and plays each case three times: whole,
byte by byte, in pieces. What comes back is in words: a message's letter, with what matters of it. *refused*: an error, and the connection goes
on. The emulated engine is asked the same by itself, so that what differs is the gateway's own.

`

// Report is the page of results, as Markdown. What came otherwise than expected is in bold.
func Report(list []*Result) string {
	var b strings.Builder
	b.WriteString(heading)
	fmt.Fprintf(&b, "| what | case | it is | comes back | the engine by itself |\n| --- | --- | --- | --- | --- |\n")
	about := ""
	for _, r := range list {
		first := ""
		if r.About != about {
			about, first = r.About, r.About
		}
		fmt.Fprintf(&b, "| %s | %s | %s | `%s`%s | %s |\n", first, r.Name, r.Kind, r.Want, r.wrong(), r.alone())
	}
	return b.String()
}

// wrong is what came in place of what was expected.
func (r *Result) wrong() string {
	var parts []string
	for _, way := range Ways {
		if got := r.Got[way]; got != r.Want {
			parts = append(parts, fmt.Sprintf("; **%v: `%s`**", way, got))
		}
	}
	return strings.Join(parts, "")
}

func (r *Result) alone() string {
	switch {
	case r.Alone == notAsked:
		return "not asked: " + r.Why
	case r.Engine == "":
		return ""
	case r.Engine == r.Want:
		return "the same"
	case r.Engine == r.Alone:
		return "otherwise: " + r.Why
	}
	return "**`" + r.Engine + "`**"
}
