package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// CPUTime returns the CPU time used by a scheduler, or 0 if it can't be read.
func (in *Instance) CPUTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.Pid()))
	if err != nil {
		return 0
	}
	const (
		userTime   = 11 // field indexes after the program name; see proc(5)
		systemTime = 12
	)
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemTime {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTime])
	system, _ := strconv.Atoi(fields[systemTime])
	return time.Duration(user+system) * clockTick
}

// MemoryKB returns the resident set size of a scheduler in kB, or 0 if it can't be read.
func (in *Instance) MemoryKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.Pid()))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, _ := strconv.Atoi(strings.Fields(afterName + " 0")[0])
	return kilobytes
}
