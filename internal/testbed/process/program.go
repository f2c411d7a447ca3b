package process

import (
	"os"
	"path/filepath"
)

// SchedulerBeside returns the path of the scheduler beside the running program.
func SchedulerBeside() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "calicohill"), nil
}
