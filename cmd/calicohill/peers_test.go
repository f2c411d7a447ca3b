package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

const fleetSize = 12

// startFleet starts scheduler processes that share fault reports about their workers, and waits until all have joined.
func startFleet(t *testing.T, instances, workers int) *process.Fleet {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	fleet := &process.Fleet{Program: self, Env: programVariables(), Dir: t.TempDir(), GossipEnabled: true}
	if err := fleet.Prepare(instances, workers); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, instance := range fleet.Instances {
			if text := instance.Log.String(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
				t.Errorf("%s raced or panicked:\n%s", instance.Name, text)
			}
		}
		fleet.Close()
	})
	for _, instance := range fleet.Instances {
		if err := instance.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := fleet.WaitHealthy(t.Context(), waitTimeout); err != nil {
		t.Fatal(err)
	}
	waitUntilJoined(t, fleet, instances)
	return fleet
}

// waitUntilJoined waits until the membership of each scheduler includes the given number of members.
func waitUntilJoined(t *testing.T, fleet *process.Fleet, members int) {
	t.Helper()
	if err := fleet.WaitJoined(t.Context(), members, 2*waitTimeout); err != nil {
		t.Fatal(err)
	}
}

// waitForAll waits until a condition holds for every scheduler of a fleet.
func waitForAll(t *testing.T, fleet *process.Fleet, what string, ok func(*process.Instance) bool) {
	t.Helper()
	for _, instance := range fleet.Instances {
		if !poll(2*waitTimeout, func() bool { return ok(instance) }) {
			t.Fatalf("timed out waiting until %s, at %s:\n%s", what, instance.Name, instance.Log)
		}
	}
}

// hasLogLine reports whether a scheduler has logged a line with the given message and field value.
func hasLogLine(instance *process.Instance, msg, field, value string) bool {
	for _, line := range instance.Log.Lines() {
		if line.Text("msg") == msg && line.Text(field) == value {
			return true
		}
	}
	return false
}

// peerHistory returns the log lines of all schedulers about the state of a peer, in chronological order.
func peerHistory(fleet *process.Fleet, peer string) string {
	var lines []string
	for _, instance := range fleet.Instances {
		for _, line := range instance.Log.Lines() {
			if strings.HasPrefix(line.Text("msg"), "peer ") && line.Text("peer") == peer {
				lines = append(lines, line.Text("time")+" "+instance.Name+": "+line.Text("msg"))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// byzantineName is the name of the member that sends false reports.
const byzantineName = "byzantine"

// Log messages about fault reports.
const (
	msgConfirmedFaulty = "worker confirmed faulty by peers"
	msgReportsIgnored  = "peer reports ignored for a while"
)

// fleetRequest returns a request of a class. Its body contains the name of the scheduler that it is sent through.
func fleetRequest(instance *process.Instance, class string, function int) fastcgi.Request {
	return fastcgi.Request{
		Path: "/rpc/" + class, ID: randomHex(8), IdempotencyKey: randomHex(16),
		Function: fmt.Sprintf("%016x", function), Budget: 1500 * time.Millisecond, Spec: "memory_mb:64;lanes:4",
		Body: []byte(instance.Name + " asks"),
	}
}

// fleetCall sends a request through a scheduler and returns its outcome.
func fleetCall(t *testing.T, client *fastcgi.Client, instance *process.Instance, class string, function int) fastcgi.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	reply, err := client.Do(ctx, fleetRequest(instance, class, function))
	if err != nil {
		t.Errorf("%s: %v", instance.Name, err)
		return ""
	}
	return reply.Outcome()
}

// sendLoad sends requests for many functions, so that every worker receives some, through schedulers until stop is
// called or the test ends.
func sendLoad(t *testing.T, instances []*process.Instance) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	for i, instance := range instances {
		client, err := fastcgi.Dial(ctx, instance.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeClient(client) })
		wg.Go(func() {
			ticker := time.NewTicker(time.Duration(40+10*i) * time.Millisecond) // a different rate for each scheduler
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				for k := range 4 { // several at once: an unresponsive worker is detected by two overdue requests
					// The outcome does not matter: the requests only let the schedulers observe the workers.
					wg.Go(func() { _, _ = client.Do(ctx, fleetRequest(instance, "consulta", 1+(4*n+k)%40)) })
				}
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		})
	}
	return stop
}

// A fleet of a dozen scheduler processes goes through a series of faults. Guards against a worker that is ejected on
// the reports of a single byzantine member, an unresponsive worker that a scheduler without traffic does not learn of,
// calls that fail during a flood of forged datagrams, and members that do not rejoin after a pause or a restart.
func TestSharedFaultReports(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, fleetSize, 12)

	if sockets := countUDPSockets(t, fleet.Instances[0].Pid()); sockets != 1 {
		t.Errorf("a scheduler with gossip has %d UDP sockets open, want 1", sockets)
	}

	byzantine, err := fleet.NewByzantineMember(byzantineName)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, worker := range fleet.Workers {
		ids = append(ids, worker.ID)
	}
	expectMassAccuserIgnored(t, fleet, byzantine, ids)
	byzantine.Accuse(ids[:2])
	client, err := fastcgi.Dial(t.Context(), fleet.Instances[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer closeClient(client)
	expectServedDespiteByzantine(t, fleet, client)
	byzantine.Close()

	expectUnresponsiveWorkerShared(t, fleet, ids)
	expectServedDuringFlood(t, fleet, client)
	expectPausedMemberAlive(t, fleet)
	restartHalf(t, fleet)
	expectMessageRateBounded(t, fleet)
}

// expectMassAccuserIgnored makes a byzantine member accuse every worker, and expects all schedulers to ignore its
// reports and to eject no worker.
func expectMassAccuserIgnored(t *testing.T, fleet *process.Fleet, byzantine *fault.ByzantineMember, ids []string) {
	t.Helper()
	byzantine.Accuse(ids)
	waitForAll(t, fleet, "the reports of a mass accuser are ignored", func(instance *process.Instance) bool {
		return hasLogLine(instance, msgReportsIgnored, "peer", byzantineName)
	})
	for _, instance := range fleet.Instances {
		if instance.CountMessages(msgConfirmedFaulty) > 0 {
			t.Errorf("%s ejects a worker on the reports of a byzantine member", instance.Name)
		}
	}
}

// expectServedDespiteByzantine expects calls to be served while only a byzantine member accuses a few workers.
func expectServedDespiteByzantine(t *testing.T, fleet *process.Fleet, client *fastcgi.Client) {
	t.Helper()
	for i := range 20 {
		if got := fleetCall(t, client, fleet.Instances[0], "certificado", i); got != fastcgi.OutcomeServed {
			t.Errorf("a call is %s while a byzantine member sends reports", got)
		}
	}
}

// expectUnresponsiveWorkerShared makes a worker unresponsive, and expects the last scheduler, which has no traffic, to
// learn of it from the fault reports of the others. No scheduler may eject another worker, and the unresponsive one
// must be readmitted once it answers again.
func expectUnresponsiveWorkerShared(t *testing.T, fleet *process.Fleet, ids []string) {
	t.Helper()
	stop := sendLoad(t, fleet.Instances[:fleetSize-1])
	waitUntil(t, "half of the schedulers have sent requests to the worker", func() bool {
		from := map[string]bool{}
		for _, arrival := range fleet.Workers[5].Arrivals() {
			from[arrival.Scheduler] = true
		}
		return len(from) >= fleetSize/2
	})
	fleet.Workers[5].Set(standin.WorkerUnresponsive)
	idle := fleet.Instances[fleetSize-1]
	if !poll(3*waitTimeout, func() bool { return hasLogLine(idle, msgConfirmedFaulty, "worker", "w05") }) {
		t.Fatalf("a scheduler without traffic is not notified of an unresponsive worker\n%s", idle.Log)
	}
	for _, instance := range fleet.Instances {
		for _, id := range ids {
			if id != "w05" && hasLogLine(instance, msgConfirmedFaulty, "worker", id) {
				t.Errorf("%s ejects %s, which is healthy", instance.Name, id)
			}
		}
	}
	fleet.Workers[5].Set(standin.WorkerHealthy)
	waitForAll(t, fleet, "the worker is readmitted", func(instance *process.Instance) bool {
		confirmed := instance.CountMessages(msgConfirmedFaulty)
		return confirmed == 0 || instance.CountMessages("worker no longer confirmed faulty by peers") == confirmed
	})
	stop()
}

// expectServedDuringFlood floods a scheduler with forged datagrams, and expects it to drop them and to keep serving
// calls.
func expectServedDuringFlood(t *testing.T, fleet *process.Fleet, client *fastcgi.Client) {
	t.Helper()
	stopFlood, flooded := make(chan struct{}), make(chan error, 1)
	go func() { flooded <- fault.Flood(fleet.Instances[0].GossipAddr, 5000, stopFlood) }()
	waitForAll(t, &process.Fleet{Instances: fleet.Instances[:1]}, "datagrams are dropped",
		func(instance *process.Instance) bool { return instance.CountMessages("gossip datagram dropped") >= 3 })
	if got := fleetCall(t, client, fleet.Instances[0], "consulta", 1); got != fastcgi.OutcomeServed {
		t.Errorf("a call is %s during a flood", got)
	}
	close(stopFlood)
	if err := <-flooded; err != nil {
		t.Fatal(err)
	}
}

// expectPausedMemberAlive pauses a member for 3 s, and expects the others to consider it alive afterwards. No scheduler
// may have declared a member dead until then, except the byzantine one.
func expectPausedMemberAlive(t *testing.T, fleet *process.Fleet) {
	t.Helper()
	whileStopped(t, fleet.Instances[3].Pid(), 3*time.Second, func() {})
	waitForAll(t, fleet, "the paused member is alive again", func(instance *process.Instance) bool {
		last := ""
		for _, line := range instance.Log.Lines() {
			switch msg := line.Text("msg"); msg {
			case "peer alive", "peer suspect", "peer dead", "peer left":
				if line.Text("peer") == "n3" {
					last = msg
				}
			}
		}
		return instance.Name == "n3" || last == "peer alive"
	})
	for _, instance := range fleet.Instances {
		for _, line := range instance.Log.Lines() {
			if line.Text("msg") == "peer dead" && line.Text("peer") != byzantineName {
				t.Errorf("%s declares %s dead\n%s", instance.Name, line.Text("peer"), peerHistory(fleet, line.Text("peer")))
			}
		}
	}
}

// restartHalf kills half of the members, restarts them at once under the same names, and expects all to join again.
func restartHalf(t *testing.T, fleet *process.Fleet) {
	t.Helper()
	for _, instance := range fleet.Instances[:fleetSize/2] {
		instance.Kill()
	}
	for _, instance := range fleet.Instances[:fleetSize/2] {
		if err := instance.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitUntilJoined(t, fleet, fleetSize)
}

// expectMessageRateBounded stops all members and checks the peak number of messages per second that each logs on exit.
func expectMessageRateBounded(t *testing.T, fleet *process.Fleet) {
	t.Helper()
	for _, instance := range fleet.Instances {
		if err := instance.Stop(); err != nil {
			t.Error(err)
		}
		for _, line := range instance.Log.Lines() {
			if line.Text("msg") == "gossip ended" && line.Number("peak") > 20 {
				t.Errorf("%s sent %v messages in one second, want at most 20", instance.Name, line.Number("peak"))
			}
		}
	}
}
