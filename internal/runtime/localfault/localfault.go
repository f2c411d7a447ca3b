// Package localfault tells errors of system calls that are a fault of this machine from those that say something of the
// other end of a connection.
package localfault

import (
	"errors"
	"slices"
	"syscall"
)

// Kind says what a system call failed for.
type Kind int

// The kinds.
const (
	None     Kind = iota // not for a fault of this machine
	Resource             // descriptors, memory or buffers are used up for now: whatever the address
	Route                // no local address or no route for now: perhaps for this address alone
)

// resourceErrors and routeErrors are the errors of each kind that accept, socket and connect return.
var (
	resourceErrors = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	}
	routeErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN}
)

// KindOf returns what an error, which may wrap that of a system call, was for.
func KindOf(err error) Kind {
	var errno syscall.Errno
	switch {
	case !errors.As(err, &errno):
		return None
	case slices.Contains(resourceErrors, errno):
		return Resource
	case slices.Contains(routeErrors, errno):
		return Route
	default:
		return None
	}
}
