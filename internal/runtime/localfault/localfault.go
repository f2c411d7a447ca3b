// Package localfault classifies errors of system calls, to distinguish faults of the local host from faults of the
// remote end of a connection.
package localfault

import (
	"errors"
	"slices"
	"syscall"
)

// Kind is the kind of local fault behind an error.
type Kind int

// The kinds of local faults.
const (
	None              Kind = iota // not a local fault
	ResourceExhausted             // descriptors, memory or buffers are exhausted, which affects all addresses
	NoRoute                       // no local address or no route, which may affect only the address in question
)

// resourceErrors and noRouteErrors list the errors of each kind that accept, socket and connect may return.
var (
	resourceErrors = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	}
	noRouteErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN}
)

// KindOf returns the kind of local fault that caused err, or None. err may wrap the error of the system call.
func KindOf(err error) Kind {
	var errno syscall.Errno
	switch {
	case !errors.As(err, &errno):
		return None
	case slices.Contains(resourceErrors, errno):
		return ResourceExhausted
	case slices.Contains(noRouteErrors, errno):
		return NoRoute
	default:
		return None
	}
}
