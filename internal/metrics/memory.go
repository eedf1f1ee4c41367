package metrics

import (
	"fmt"
	"os"
)

// ResidentBytes returns the resident set size of a process in bytes, from /proc/PID/statm (see
// proc(5)). It returns 0 if there is no such process or its memory use can't be read.
func ResidentBytes(pid int) int64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var sizePages, residentPages int64
	if _, err := fmt.Sscan(string(statm), &sizePages, &residentPages); err != nil {
		return 0
	}
	return residentPages * int64(os.Getpagesize())
}
