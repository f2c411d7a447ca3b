package localfault_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"calicohill/internal/runtime/localfault"
)

// A wrapped error of a system call must be attributed to the local host only if the host caused it.
func TestKindOf(t *testing.T) {
	for err, want := range map[error]localfault.Kind{
		syscall.EMFILE:        localfault.ResourceExhausted,
		syscall.ENFILE:        localfault.ResourceExhausted,
		syscall.ENOBUFS:       localfault.ResourceExhausted,
		syscall.EADDRNOTAVAIL: localfault.NoRoute,
		syscall.ENETUNREACH:   localfault.NoRoute,
		syscall.ECONNREFUSED:  localfault.None,
		syscall.EHOSTUNREACH:  localfault.None,
		syscall.ETIMEDOUT:     localfault.None,
		io.EOF:                localfault.None,
	} {
		wrapped := fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)})
		if got := localfault.KindOf(wrapped); got != want {
			t.Errorf("%v: kind %d, want %d", err, got, want)
		}
	}
	if got := localfault.KindOf(nil); got != localfault.None {
		t.Errorf("no error: kind %d, want none", got)
	}
}
