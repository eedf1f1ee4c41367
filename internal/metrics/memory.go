package metrics

import (
	"fmt"
	"os"
)

// ResidentBytes is the resident memory of a process as /proc/PID/statm reports it (proc(5)); 0
// where there is no such process, or its memory is not known.
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
