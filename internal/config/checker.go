package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// checker collects the faults of one file.
type checker struct {
	file   string
	locate func(field string) int // the line of a field; nil: lines are not known
	faults Faults
}

// addf adds a fault of a field.
func (c *checker) addf(field, format string, args ...any) {
	fault := Fault{File: c.file, Field: field, Want: fmt.Sprintf(format, args...)}
	if c.locate != nil {
		fault.Line = c.locate(field)
	}
	c.faults = append(c.faults, fault)
}

// requiref adds a fault of a field unless the condition holds.
func (c *checker) requiref(condition bool, field, format string, args ...any) { //nolint:revive // an assertion's condition selects no mode
	if !condition {
		c.addf(field, format, args...)
	}
}

// requireAddress adds a fault unless the field is HOST:PORT.
func (c *checker) requireAddress(field, address string) {
	if err := checkAddress(address); err != nil {
		c.addf(field, "%v; wanted is HOST:PORT", err)
	}
}

// numberRange is a field that must lie between two bounds, both included.
type numberRange struct {
	field     string
	value     float64
	low, high float64
}

// requireRanges adds a fault for each number out of its range, NaN included.
func (c *checker) requireRanges(ranges []numberRange) {
	for _, r := range ranges {
		inside := r.value >= r.low && r.value <= r.high
		c.requiref(inside, r.field, "%g is not from %g to %g", r.value, r.low, r.high)
	}
}

// err returns the faults found, or nil.
func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

// decodeTOML reads TOML strictly: an unknown field is a fault. It reports whether the rest can be checked.
func decodeTOML(c *checker, raw []byte, into any) (ok bool) {
	c.locate = func(field string) int { return tomlLine(raw, field) }
	meta, err := toml.Decode(string(raw), into)
	if err != nil {
		c.faults = append(c.faults, tomlFault(c.file, err))
		return false
	}
	for _, key := range meta.Undecoded() {
		c.addf(key.String(), "there is no such field")
	}
	return true
}

// tomlFault is what the TOML decoder found wrong.
func tomlFault(file string, err error) Fault {
	fault := Fault{File: file, Want: err.Error()}
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return fault
	}
	fault.Line = parse.Position.Line
	fault.Field = parse.LastKey
	if parse.Message != "" {
		fault.Want = parse.Message
	}
	return fault
}
