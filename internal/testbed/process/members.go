package process

import (
	"context"
	"fmt"
	"time"
)

// Log messages of the scheduler that the testbed evaluates.
const (
	LogSchedulerStarted = "scheduler started"
	LogPeerAlive        = "peer alive"
	LogPeerSuspect      = "peer suspect"
	LogPeerDead         = "peer dead"
	LogPeerLeft         = "peer left"
	LogPeerUncertified  = "peer removed: its certificate is no longer valid"
	LogPeerIgnored      = "peer reports ignored for a while"
	LogWorkerEjected    = "worker confirmed faulty by peers"
	LogWorkerReadmitted = "worker no longer confirmed faulty by peers"
	LogGossipEnded      = "gossip ended"
)

const (
	// StartTimeout is the maximum time until all schedulers of a fleet are healthy.
	StartTimeout = 20 * time.Second
	// JoinTimeout is the maximum time until all schedulers of a fleet have discovered each other.
	JoinTimeout = 30 * time.Second

	joinCheckInterval = 50 * time.Millisecond
)

// Peers returns the members that are alive or suspect according to the log of the instance's latest process.
func (in *Instance) Peers() map[string]bool {
	peers := map[string]bool{}
	for _, line := range in.Log.LatestLines() {
		switch line.Text("msg") {
		case LogPeerAlive, LogPeerSuspect:
			peers[line.Text("peer")] = true
		case LogPeerDead, LogPeerLeft, LogPeerUncertified:
			delete(peers, line.Text("peer"))
		}
	}
	return peers
}

// CountMessages returns the number of lines with the given message in the instance's log.
func (in *Instance) CountMessages(message string) int {
	count := 0
	for _, line := range in.Log.Lines() {
		if line.Text("msg") == message {
			count++
		}
	}
	return count
}

// WaitJoined waits until each instance lists members-1 others as alive or suspect.
func (f *Fleet) WaitJoined(ctx context.Context, members int, within time.Duration) error {
	for end := time.Now().Add(within); ; {
		missing := ""
		for _, instance := range f.Instances {
			if known := len(instance.Peers()); known < members-1 {
				missing = fmt.Sprintf("%s has %d of %d peers", instance.Name, known, members-1)
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("fleet did not converge: %s\n%s", missing, f.Instances[0].Log)
		}
		time.Sleep(joinCheckInterval)
	}
}
