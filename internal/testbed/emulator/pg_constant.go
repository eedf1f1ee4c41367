package emulator

import (
	"regexp"
	"strings"
	"time"
)

// preparedStatement is a statement as it was parsed. As in PostgreSQL, constants get their values then.
type preparedStatement struct {
	query    string
	constant string // value of the first constant of type DATE; empty if there is none
}

// dateConstant matches a constant of type DATE, a day and a month in either order and a year.
var dateConstant = regexp.MustCompile(`DATE '(?:(\d\d)/(\d\d)/(\d{4})|now)'`)

// parse returns a statement whose constants have the values that the settings and the clock of this moment give.
func (s *pgSession) parse(query string) preparedStatement {
	match := dateConstant.FindStringSubmatch(query)
	if match == nil {
		return preparedStatement{query: query}
	}
	month, day, year := match[1], match[2], match[3]
	switch {
	case year == "": // DATE 'now'
		return preparedStatement{query: query, constant: time.Now().Format(time.RFC3339Nano)}
	case strings.Contains(s.settings["datestyle"], "DMY"):
		month, day = day, month
	}
	return preparedStatement{query: query, constant: year + "-" + month + "-" + day}
}
