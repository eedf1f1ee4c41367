package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// message is one line of the protocol. Errors in decoding its values are not returned: the first one
// is kept in err, and the caller checks it after decoding.
type message struct {
	name   string
	values []json.RawMessage // not including the name
	err    error             // first error in decoding a value; nil if there was none
}

func parseMessage(line []byte) (*message, error) {
	var all []json.RawMessage
	if err := json.Unmarshal(line, &all); err != nil {
		return nil, fmt.Errorf("malformed line: %w", err)
	}
	if len(all) == 0 {
		return nil, errors.New("malformed line: empty array")
	}
	var name string
	if err := json.Unmarshal(all[0], &name); err != nil {
		return nil, fmt.Errorf("malformed line: message name: %w", err)
	}
	return &message{name: name, values: all[1:]}, nil
}

// errorf records an error about a field, unless there is an earlier one.
func (m *message) errorf(field, format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s: %s", m.name, field, fmt.Sprintf(format, args...))
	}
}

// decode decodes value i. A missing value or null is an error. The field's name appears in errors.
func (m *message) decode(i int, field string, into any) {
	if !m.has(i) {
		m.errorf(field, "missing")
		return
	}
	m.decodeOptional(i, field, into)
}

// decodeOptional decodes value i. If the value is missing or null, it leaves the target unchanged.
func (m *message) decodeOptional(i int, field string, into any) {
	if !m.has(i) {
		return
	}
	if err := json.Unmarshal(m.values[i], into); err != nil {
		m.errorf(field, "%v", err)
	}
}

// has reports whether value i is present and not null.
func (m *message) has(i int) bool { return i < len(m.values) && string(m.values[i]) != "null" }

func (m *message) float(i int, field string) (v float64) {
	m.decode(i, field, &v)
	return v
}

func (m *message) integer(i int, field string) (v int64) {
	m.decode(i, field, &v)
	return v
}

// id decodes the message's id or token. Every message that has one has it as value 1.
func (m *message) id(field string) (v uint64) {
	m.decode(1, field, &v)
	return v
}

func (m *message) text(i int, field string) (v string) {
	m.decode(i, field, &v)
	return v
}

func (m *message) flag(i int, field string) (v bool) {
	m.decode(i, field, &v)
	return v
}
