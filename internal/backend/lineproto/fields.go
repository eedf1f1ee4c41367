package lineproto

import (
	"strconv"
	"strings"

	"gannetspur/policy"
)

// notReported stands for a value that an engine's load report does not have.
const notReported = -1

// waitingForDataLoad is the value of a report on waiting that says that it is not for memory.
const waitingForDataLoad = 2

// fieldValue finds a value in an answer's fields.
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

// numberField reads a number that may be absent. What is no finite number counts as absent.
func numberField(fields, name string) (number float64, ok bool) {
	text, ok := fieldValue(fields, name)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && isFinite(number)
}

func isFinite(number float64) bool { return number-number == 0 }

// parseLoadReport reads a load report. Engines name its values as the settings do, or as the
// protocol does.
func parseLoadReport(fields string) policy.LoadReport {
	load := policy.LoadReport{
		CPUUtilization:    notReported,
		InFlight:          notReported,
		WaitingForMemory:  notReported,
		MemoryUtilization: notReported,
		DiskUtilization:   notReported,
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

// parseProgress reads a progress report; ok is false if it says nothing that is known here.
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
		if value == waitingForDataLoad {
			return policy.ProgressWaitingForDataLoad, value, true
		}
		return policy.ProgressWaitingForMemory, value, true
	}
	return 0, 0, false
}
