package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// CPU returns the processor time that a scheduler has used; 0 where the system doesn't say.
func (in *Instance) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.Pid()))
	if err != nil {
		return 0
	}
	const (
		userTime   = 11 // fields of proc(5), counted after the program's name
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

// Memory returns the resident memory of a scheduler in kB; 0 where the system doesn't say.
func (in *Instance) Memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.Pid()))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, _ := strconv.Atoi(strings.Fields(afterName + " 0")[0])
	return kilobytes
}
