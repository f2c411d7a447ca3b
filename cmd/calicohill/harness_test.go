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

// waitTimeout is the time after which a test stops waiting for an expected event and fails. It is not a performance
// bound: a correct run takes much less time.
const waitTimeout = 20 * time.Second

// Environment variables with which the tests run their own binary as the program.
const (
	asProgramVariable = "CALICOHILL_AS_PROGRAM" // if set, run the program
	confinedVariable  = "CALICOHILL_CONFINED"   // if set, apply the platform's system call filter
	filesVariable     = "CALICOHILL_FILES"      // maximum number of open descriptors
)

// programVariables returns the environment variables with which the tests' binary runs as the program. Under the race
// detector it does not sleep for a second at its exit, as it does by default: the tests limit the time to that exit.
func programVariables() []string {
	raceOptions := strings.TrimSpace(os.Getenv("GORACE") + " atexit_sleep_ms=0")
	return []string{asProgramVariable + "=1", "GORACE=" + raceOptions}
}

// exitHarness is the exit code if the setup of the program's process fails.
const exitHarness = 3

// TestMain runs the program instead of the tests if asProgramVariable is set. The tests start their own binary that
// way.
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

// limitProcess applies the limits in the environment variables to this process.
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

// resetOnClose configures a TCP connection to send a reset when it is closed.
func resetOnClose(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		panic(fmt.Sprintf("a connection of type %T can't be reset", conn))
	}
	_ = tcp.SetLinger(0) // fails only if the connection is closed already
}

// hostCount is the number of loopback hosts that listenOnOwnHost has used.
var hostCount atomic.Uint32

// listenOnOwnHost listens on a unique loopback host, so that no other connection or listener takes the port after the
// listener is closed. The hosts never end in 1, unlike those of the testbed's fleets.
func listenOnOwnHost(t *testing.T) net.Listener {
	t.Helper()
	const values = 250 // number of values used for a byte of the address
	count := int(hostCount.Add(1))
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%values, 1+count/values%values, 2+count%values)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// unusedAddress returns an address on which there is no listener and will be none.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener := listenOnOwnHost(t)
	defer listener.Close()
	return listener.Addr().String()
}

// setReadDeadline makes reads from a connection fail after waitTimeout.
func setReadDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
}

// program returns a command that runs the program, and the log that collects its standard output and standard error.
func program(t *testing.T, args ...string) (*exec.Cmd, *process.Log) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(self, args...), &process.Log{}
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_NAME=", "ROUTER_LISTEN=", "CALICOHILL_OPERATOR=")
	cmd.Env = append(cmd.Env, programVariables()...)
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, log
}

// waitUntil waits until a condition holds. It fails the test if the condition does not hold within waitTimeout.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if !poll(waitTimeout, ok) {
		t.Fatalf("timed out waiting until %s", what)
	}
}

// pollInterval is the time between two checks of poll.
const pollInterval = 2 * time.Millisecond

// poll checks a condition until it holds or the timeout expires, and reports whether it held.
func poll(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); !ok(); time.Sleep(pollInterval) { // the only polling loop of the tests
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// whileStopped stops a process with SIGSTOP, calls a function, waits for the time stall and resumes the process.
// Callers pass the shortest stall that must have an effect.
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
	time.Sleep(stall) // the length of the stall
	if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}
