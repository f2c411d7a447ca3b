package process

import (
	"os"
	"path/filepath"
)

// SchedulerPath returns the path of the scheduler's executable in the directory of the running program.
func SchedulerPath() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "calicohill"), nil
}
