package config

import (
	"errors"
	"strconv"
	"strings"
)

// Fault is one thing that is wrong with a file, named by its settings key.
type Fault struct {
	File  string
	Line  int    // from 1; 0: the field is missing or its place is not known
	Field string // as in statement[0].class
	Want  string // what is wrong with it, and what is wanted
}

func (f Fault) Error() string {
	position := f.File
	if f.Line > 0 {
		position += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return position + ": " + f.Want
	}
	return position + ": " + f.Field + ": " + f.Want
}

// Faults are all faults that one pass over a file found.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// FaultsOf returns the faults that an error holds, in order; any other error is one fault without a place.
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
	return Faults{{Want: err.Error()}}
}
