package lineproto

import (
	"strconv"
	"strings"

	"gannetspur/policy"
)

// valueNotReported marks a value that an engine's load report does not contain.
const valueNotReported = -1

// waitReasonDataLoad is the value in a progress report on a waiting statement if it waits for a data
// load. Any other value means that it waits for memory.
const waitReasonDataLoad = 2

// fieldValue returns the value of a field in an answer's list of fields: NAME=VALUE separated by
// commas, or "-" for an empty list.
func fieldValue(fields, name string) (value string, ok bool) {
	for fields != "" && fields != "-" {
		var field string
		field, fields, _ = strings.Cut(fields, ",")
		key, value, _ := strings.Cut(field, "=")
		if key == name {
			return value, true
		}
	}
	return "", false
}

// numberField parses an optional numeric field. A value that is not a finite number counts as absent.
func numberField(fields, name string) (number float64, ok bool) {
	text, ok := fieldValue(fields, name)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && isFinite(number)
}

// isFinite reports whether a number is neither infinite nor NaN: for those the difference is NaN.
func isFinite(number float64) bool { return number-number == 0 }

// parseLoadReport parses the load report in an answer's fields. Engines use either the names of the
// settings or those of the protocol for its values, so both are accepted.
func parseLoadReport(fields string) policy.LoadReport {
	load := policy.LoadReport{
		CPUUtilization:    valueNotReported,
		InFlight:          valueNotReported,
		WaitingForMemory:  valueNotReported,
		MemoryUtilization: valueNotReported,
		DiskUtilization:   valueNotReported,
	}
	gauges, _ := fieldValue(fields, "gauges")
	for gauges != "" {
		var gauge string
		gauge, gauges, _ = strings.Cut(gauges, ";")
		name, text, _ := strings.Cut(gauge, ":")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !isFinite(value) {
			continue
		}
		switch name {
		case "util", "cpu":
			load.CPUUtilization = value
		case "inflight", "active":
			load.InFlight = value
		case "queue", "waiting":
			load.WaitingForMemory = value
		case "x0":
			load.MemoryUtilization = value
		case "x1":
			load.DiskUtilization = value
		default:
			continue
		}
		load.Reported = true
	}
	return load
}

// parseProgress parses a progress report. ok is false if its kind is unknown or its value is missing.
func parseProgress(fields string) (kind policy.ProgressKind, value float64, ok bool) {
	value, ok = numberField(fields, "num")
	if !ok {
		return 0, 0, false
	}
	resource, _ := fieldValue(fields, "res")
	switch resource {
	case "p":
		return policy.ProgressFraction, value, true
	case "s":
		return policy.ProgressSpilled, value, true
	case "w":
		if value == waitReasonDataLoad {
			return policy.ProgressWaitingForDataLoad, value, true
		}
		return policy.ProgressWaitingForMemory, value, true
	}
	return 0, 0, false
}
