package metrics

import (
	"fmt"
	"os"
)

// Resident is what a process takes of the machine's memory, in bytes (proc(5), statm); 0
// where there is none, or it can't be told.
func Resident(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, pages int64
	if err == nil {
		_, err = fmt.Sscan(string(b), &size, &pages)
	}
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
