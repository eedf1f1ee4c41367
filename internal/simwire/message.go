package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// message is one line of the wire: a name and its values. It keeps the first fault that reading it finds.
type message struct {
	name   string
	values []json.RawMessage
	err    error
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

// faultf records that a field can't be used.
func (m *message) faultf(field, format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s: %s", m.name, field, fmt.Sprintf(format, args...))
	}
}

// decode decodes value i. A missing value is a fault.
func (m *message) decode(i int, field string, into any) {
	if !m.has(i) {
		m.faultf(field, "missing")
		return
	}
	m.decodeOptional(i, field, into)
}

// decodeOptional decodes value i, and leaves what is there where the value is missing or null.
func (m *message) decodeOptional(i int, field string, into any) {
	if !m.has(i) {
		return
	}
	if err := json.Unmarshal(m.values[i], into); err != nil {
		m.faultf(field, "%v", err)
	}
}

func (m *message) has(i int) bool { return i < len(m.values) && string(m.values[i]) != "null" }

func (m *message) float(i int, field string) (v float64) {
	m.decode(i, field, &v)
	return v
}

func (m *message) integer(i int, field string) (v int64) {
	m.decode(i, field, &v)
	return v
}

// id reads the id or token, which is value 1 of each message that has one.
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
