package main

import (
	"runtime"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// confine installs the system call filter that the platform applies to schedulers in its full-size runs. The kernel
// then refuses sockets other than IPv4, new processes, and system calls that transfer data without reading from or
// writing to a socket.
func confine() error {
	const (
		load  = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		equal = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		anyOf = unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K
		ret   = unix.BPF_RET | unix.BPF_K

		number, firstArg = 0, 16 // offsets in struct seccomp_data, the input of the filter
	)
	refuse := func(errno unix.Errno) uint32 { return unix.SECCOMP_RET_ERRNO | uint32(errno) }
	var filter []unix.SockFilter
	add := func(code uint16, k uint32, yes, no uint8) {
		filter = append(filter, unix.SockFilter{Code: code, K: k, Jt: yes, Jf: no})
	}
	add(load, number, 0, 0)
	for _, call := range []uint32{
		unix.SYS_EXECVE, unix.SYS_CLONE3, unix.SYS_IO_URING_SETUP, unix.SYS_SPLICE,
		unix.SYS_SENDFILE, unix.SYS_SOCKETPAIR,
	} {
		add(equal, call, 0, 1)
		add(ret, refuse(unix.ENOSYS), 0, 0)
	}
	add(equal, unix.SYS_CLONE, 0, 4) // without clone3 the runtime creates threads with clone
	add(load, firstArg, 0, 0)
	add(anyOf, unix.CLONE_THREAD, 1, 0)
	add(ret, refuse(unix.ENOSYS), 0, 0)
	add(load, number, 0, 0)
	add(equal, unix.SYS_SOCKET, 0, 3)
	add(load, firstArg, 0, 0)
	add(equal, unix.AF_INET, 1, 0)
	add(ret, refuse(unix.EAFNOSUPPORT), 0, 0)
	add(ret, unix.SECCOMP_RET_ALLOW, 0, 0)

	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC,
		uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return errno
	}
	return nil
}

// TestConfined guards against system calls that the platform refuses. The program once exited at startup since it
// created a pair of Unix sockets.
func TestConfined(t *testing.T) {
	t.Setenv(confinedVariable, "1")
	sched, _ := startWithAgent(t, echo)
	client := sched.connect()
	client.send(newCall("consulta", "body"))
	if got := client.readAnswer(); got.body != "re:body" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}
