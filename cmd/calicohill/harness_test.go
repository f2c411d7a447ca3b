package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"calicohill/internal/testbed/process"

	"golang.org/x/sys/unix"
)

// waitTimeout is how long a test waits for what must happen. It does not bound the speed: a correct run ends sooner.
const waitTimeout = 20 * time.Second

// The environment variables by which the tests start their own binary as the program.
const (
	asProgramVariable = "CALICOHILL_AS_PROGRAM" // set: run the program
	confinedVariable  = "CALICOHILL_CONFINED"   // set: under the platform's system call filter
	filesVariable     = "CALICOHILL_FILES"      // maximum number of open descriptors
)

// exitHarness is the exit code for a failure to set up the program's process.
const exitHarness = 3

// TestMain lets the test binary be the program: the tests start it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) == "" {
		os.Exit(m.Run())
	}
	if err := limitProcess(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitHarness)
	}
	main()
	os.Exit(0)
}

// limitProcess applies the limits of the environment variables to this process.
func limitProcess() error {
	if os.Getenv(confinedVariable) != "" {
		if err := confine(); err != nil {
			return fmt.Errorf("confine: %w", err)
		}
	}
	text := os.Getenv(filesVariable)
	if text == "" {
		return nil // not limited
	}
	files, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: files, Max: files}); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	return nil
}

// resetOnClose has the closing of a TCP connection reset it.
func resetOnClose(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		panic(fmt.Sprintf("a connection of type %T can't be reset", conn))
	}
	_ = tcp.SetLinger(0) // fails only if the connection is closed already
}

// hostCount counts the hosts that listenOnOwnHost has used.
var hostCount atomic.Uint32

// listenOnOwnHost listens on a loopback host of its own: no connection and no listener of others takes the port while
// nobody listens on it. Those of the testbed's fleets end in 1.
func listenOnOwnHost(t *testing.T) net.Listener {
	t.Helper()
	const values = 250 // of a byte of the address
	count := int(hostCount.Add(1))
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%values, 1+count/values%values, 2+count%values)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// unusedAddress returns an address that nobody listens on, nor will.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener := listenOnOwnHost(t)
	defer listener.Close()
	return listener.Addr().String()
}

// setReadDeadline lets reads from a connection fail after waitTimeout.
func setReadDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
}

// program returns a command that runs the program, and the buffer that receives its standard output and error.
func program(t *testing.T, args ...string) (*exec.Cmd, *process.Log) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(self, args...), &process.Log{}
	cmd.Env = append(os.Environ(), asProgramVariable+"=1", "ROUTER_CONFIG=", "ROUTER_NAME=", "ROUTER_LISTEN=", "CALICOHILL_OPERATOR=")
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, log
}

// waitUntil waits until a condition holds, and fails the test if it does not within waitTimeout.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if !poll(waitTimeout, ok) {
		t.Fatalf("timed out waiting until %s", what)
	}
}

// pollInterval is the time between two checks of poll.
const pollInterval = 2 * time.Millisecond

// poll checks a condition until it holds, and reports whether it did within a timeout.
func poll(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); !ok(); time.Sleep(pollInterval) { // the one loop of the tests that checks repeatedly
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// whileStopped stops a process by SIGSTOP, calls a function, and lets the process run again when stall has passed after
// that. The length of the stall is what its callers test: they give the least that must have an effect.
func whileStopped(t *testing.T, pid int, stall time.Duration, meanwhile func()) {
	t.Helper()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the program is stopped", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		return err == nil && strings.Contains(string(text), ") T ")
	})
	meanwhile()
	time.Sleep(stall) // the process is stopped for that long
	if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}
