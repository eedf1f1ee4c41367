package config

import (
	"errors"
	"strconv"
	"strings"
)

// Fault is one error in a file, located by line and settings key.
type Fault struct {
	File    string // path of the file; "" if the error is not about a file
	Line    int    // line number from 1; for a missing field that of the table or object around it, if there is one; 0 if unknown
	Field   string // path of the key, such as statement[0].class; "" if the error is about the file as a whole
	Problem string // what is wrong and what is allowed
}

// Error returns the fault in the form FILE:LINE: FIELD: PROBLEM, without the line or field if it is unknown.
func (f Fault) Error() string {
	position := f.File
	if f.Line > 0 {
		position += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return position + ": " + f.Problem
	}
	return position + ": " + f.Field + ": " + f.Problem
}

// Faults are all errors found in a file and in the files that it names.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// FaultsOf returns the faults that an error wraps, in order, or nil for a nil error. Any other error becomes one fault
// without file, line and field.
func FaultsOf(err error) Faults {
	if err == nil {
		return nil
	}
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	var fault Fault
	if errors.As(err, &fault) {
		return Faults{fault}
	}
	return Faults{{Problem: err.Error()}}
}
