package process

import (
	"os"
	"path/filepath"
)

// SchedulerBeside returns the path of the scheduler's executable in the directory of the running program.
func SchedulerBeside() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "calicohill"), nil
}
