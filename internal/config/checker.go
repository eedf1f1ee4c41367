package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// checker validates one file and collects its faults.
type checker struct {
	file   string                 // path that the faults carry
	locate func(field string) int // returns the line of a field, 0 if unknown; nil while no lines are known
	faults Faults
}

// addf records a fault of a field. The message says what is wrong: in most cases what the field must be and what it is.
func (c *checker) addf(field, format string, args ...any) {
	fault := Fault{File: c.file, Field: field, Problem: fmt.Sprintf(format, args...)}
	if c.locate != nil {
		fault.Line = c.locate(field)
	}
	c.faults = append(c.faults, fault)
}

// requiref records a fault of a field unless the condition holds.
func (c *checker) requiref(condition bool, field, format string, args ...any) { //nolint:revive // an assertion's condition selects no mode
	if !condition {
		c.addf(field, format, args...)
	}
}

// requireAddress records a fault unless the field has the form HOST:PORT.
func (c *checker) requireAddress(field, address string) {
	if err := checkAddress(address); err != nil {
		c.addf(field, "must be HOST:PORT: %v", err)
	}
}

// numberRange is a numeric field and the bounds, both inclusive, that its value must lie between.
type numberRange struct {
	field     string
	value     float64
	low, high float64
}

// requireRanges records a fault for each value outside its range. NaN is outside every range.
func (c *checker) requireRanges(ranges []numberRange) {
	for _, r := range ranges {
		inside := r.value >= r.low && r.value <= r.high
		c.requiref(inside, r.field, "must be between %g and %g, got %g", r.low, r.high, r.value)
	}
}

// err returns the faults recorded so far as an error, or nil if there are none.
func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

// decodeTOML decodes TOML into the struct that dst points to. An unknown field is a fault. It returns false if the
// document could not be decoded, so that there is nothing to validate.
func decodeTOML(c *checker, raw []byte, dst any) (ok bool) {
	c.locate = func(field string) int { return tomlLine(raw, field) }
	meta, err := toml.Decode(string(raw), dst)
	if err != nil {
		c.faults = append(c.faults, tomlFault(c.file, err))
		return false
	}
	for _, key := range meta.Undecoded() {
		c.addf(key.String(), "unknown field")
	}
	return true
}

// tomlFault converts an error of the TOML decoder to a fault, with its line and key if the error has them.
func tomlFault(file string, err error) Fault {
	fault := Fault{File: file, Problem: err.Error()}
	var parseErr toml.ParseError
	if !errors.As(err, &parseErr) {
		return fault
	}
	fault.Line = parseErr.Position.Line
	fault.Field = parseErr.LastKey
	if parseErr.Message != "" {
		fault.Problem = parseErr.Message
	}
	return fault
}
