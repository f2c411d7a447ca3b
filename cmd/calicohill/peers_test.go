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

// startFleet starts schedulers, as processes, that share fault reports about a few workers.
func startFleet(t *testing.T, instances, workers int) *process.Fleet {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	fleet := &process.Fleet{Program: self, Env: []string{asProgramVariable + "=1"}, Dir: t.TempDir(), GossipEnabled: true}
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

// waitUntilJoined waits until each scheduler knows a number of members.
func waitUntilJoined(t *testing.T, fleet *process.Fleet, members int) {
	t.Helper()
	if err := fleet.WaitJoined(t.Context(), members, 2*waitTimeout); err != nil {
		t.Fatal(err)
	}
}

// waitForAll waits until a condition holds for each scheduler.
func waitForAll(t *testing.T, fleet *process.Fleet, what string, ok func(*process.Instance) bool) {
	t.Helper()
	for _, instance := range fleet.Instances {
		if !poll(2*waitTimeout, func() bool { return ok(instance) }) {
			t.Fatalf("timed out waiting until %s, at %s:\n%s", what, instance.Name, instance.Log)
		}
	}
}

// hasLogLine reports whether a line of a scheduler's log has a message and a field.
func hasLogLine(instance *process.Instance, msg, field, value string) bool {
	for _, line := range instance.Log.Lines() {
		if line.Text("msg") == msg && line.Text(field) == value {
			return true
		}
	}
	return false
}

// faultHistory returns the log lines of all schedulers about a member, in the order of time.
func faultHistory(fleet *process.Fleet, peer string) string {
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

// Messages of log lines about fault reports.
const (
	lineConfirmedFaulty = "worker confirmed faulty by peers"
	lineReportsIgnored  = "peer reports ignored for a while"
)

// fleetRequest returns a request of a class, whose body names the scheduler that it is sent through.
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

// sendLoad sends requests for many functions through schedulers, so that all workers are reached, until stop is called
// or the test ends.
func sendLoad(t *testing.T, only []*process.Instance) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	for i, instance := range only {
		client, err := fastcgi.Dial(ctx, instance.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeClient(client) })
		wg.Go(func() {
			ticker := time.NewTicker(time.Duration(40+10*i) * time.Millisecond) // each at a rate of its own
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				for k := range 4 { // several at a time: an unresponsive worker is detected by two overdue requests
					// The outcome does not matter: these requests only give the schedulers something to observe.
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

// A dozen schedulers as processes, with faults one after another. No worker is ejected on the reports of one byzantine
// member; a true fault is reported to a scheduler that has not observed it; during a flood of forged datagrams calls
// are served, and after a pause and restarts all members are back.
func TestSharedFaultReports(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, fleetSize, 12)

	if sockets := udpSockets(t, fleet.Instances[0].Pid()); sockets != 1 {
		t.Errorf("%d UDP sockets of a scheduler that gossips, want 1", sockets)
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
	expectPausedMemberBack(t, fleet)
	restartHalf(t, fleet)
	expectMessageRateBounded(t, fleet)
}

// expectMassAccuserIgnored has a byzantine member accuse every worker: all schedulers ignore its reports, and none
// ejects a worker.
func expectMassAccuserIgnored(t *testing.T, fleet *process.Fleet, byzantine *fault.ByzantineMember, ids []string) {
	t.Helper()
	byzantine.Accuse(ids)
	waitForAll(t, fleet, "the reports of a mass accuser are ignored", func(instance *process.Instance) bool {
		return hasLogLine(instance, lineReportsIgnored, "peer", byzantineName)
	})
	for _, instance := range fleet.Instances {
		if instance.CountMessages(lineConfirmedFaulty) > 0 {
			t.Errorf("%s ejects a worker on the reports of a byzantine member", instance.Name)
		}
	}
}

// expectServedDespiteByzantine expects calls to be served while a byzantine member alone accuses a few workers.
func expectServedDespiteByzantine(t *testing.T, fleet *process.Fleet, client *fastcgi.Client) {
	t.Helper()
	for i := range 20 {
		if got := fleetCall(t, client, fleet.Instances[0], "certificado", i); got != fastcgi.OutcomeServed {
			t.Errorf("a call is %s while a byzantine member sends reports", got)
		}
	}
}

// expectUnresponsiveWorkerShared makes a worker unresponsive, and expects the last scheduler, which has no traffic of
// its own, to learn of it from the reports of the others. No scheduler ejects another worker, and the unresponsive one
// is readmitted once it answers again.
func expectUnresponsiveWorkerShared(t *testing.T, fleet *process.Fleet, ids []string) {
	t.Helper()
	stop := sendLoad(t, fleet.Instances[:fleetSize-1])
	waitUntil(t, "half of the schedulers have sent requests to the worker", func() bool {
		from := map[string]bool{}
		for _, a := range fleet.Workers[5].Arrivals() {
			from[a.Scheduler] = true
		}
		return len(from) >= fleetSize/2
	})
	fleet.Workers[5].Set(standin.WorkerUnresponsive)
	idle := fleet.Instances[fleetSize-1]
	if !poll(3*waitTimeout, func() bool { return hasLogLine(idle, lineConfirmedFaulty, "worker", "w05") }) {
		t.Fatalf("a scheduler without traffic is not notified of an unresponsive worker\n%s", idle.Log)
	}
	for _, instance := range fleet.Instances {
		for _, w := range ids {
			if w != "w05" && hasLogLine(instance, lineConfirmedFaulty, "worker", w) {
				t.Errorf("%s ejects %s, which is healthy", instance.Name, w)
			}
		}
	}
	fleet.Workers[5].Set(standin.WorkerHealthy)
	waitForAll(t, fleet, "the worker is readmitted", func(instance *process.Instance) bool {
		n := instance.CountMessages(lineConfirmedFaulty)
		return n == 0 || instance.CountMessages("worker no longer confirmed faulty by peers") == n
	})
	stop()
}

// expectServedDuringFlood sends forged datagrams to a scheduler: it drops them, and serves calls meanwhile.
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

// expectPausedMemberBack stops a member for 3 s: the others find it alive afterwards, and until then no scheduler has
// declared a member other than the byzantine one dead.
func expectPausedMemberBack(t *testing.T, fleet *process.Fleet) {
	t.Helper()
	whileStopped(t, fleet.Instances[3].Pid(), 3*time.Second, func() {})
	waitForAll(t, fleet, "the member that was stopped is alive again", func(instance *process.Instance) bool {
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
				t.Errorf("%s declares %s dead\n%s", instance.Name, line.Text("peer"), faultHistory(fleet, line.Text("peer")))
			}
		}
	}
}

// restartHalf kills half of the members and starts them at once under the same names: all members join again.
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

// expectMessageRateBounded stops all members, which then log the most messages that they sent in any second.
func expectMessageRateBounded(t *testing.T, fleet *process.Fleet) {
	t.Helper()
	for _, instance := range fleet.Instances {
		if err := instance.Stop(); err != nil {
			t.Error(err)
		}
		for _, line := range instance.Log.Lines() {
			if line.Text("msg") == "gossip ended" && line.Number("peak") > 20 {
				t.Errorf("%s sent %v messages in a second, 20 are allowed", instance.Name, line.Number("peak"))
			}
		}
	}
}
