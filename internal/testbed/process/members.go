package process

import (
	"context"
	"fmt"
	"time"
)

// Messages of a scheduler's log that the testbed looks for.
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
	// StartTimeout is how long the schedulers of a fleet may take until all serve.
	StartTimeout = 20 * time.Second
	// JoinTimeout is how long they may take until all know one another.
	JoinTimeout = 30 * time.Second

	joinCheckInterval = 50 * time.Millisecond
)

// Peers returns the members that the latest process of an instance holds alive or suspect, by its log.
func (in *Instance) Peers() map[string]bool {
	peers := map[string]bool{}
	for _, line := range in.Log.Latest() {
		switch line.Text("msg") {
		case LogPeerAlive, LogPeerSuspect:
			peers[line.Text("peer")] = true
		case LogPeerDead, LogPeerLeft, LogPeerUncertified:
			delete(peers, line.Text("peer"))
		}
	}
	return peers
}

// Count counts the lines of a message in the log of an instance.
func (in *Instance) Count(message string) int {
	count := 0
	for _, line := range in.Log.Lines() {
		if line.Text("msg") == message {
			count++
		}
	}
	return count
}

// Joined waits until each instance holds members-1 others alive or suspect.
func (f *Fleet) Joined(ctx context.Context, members int, within time.Duration) error {
	for end := time.Now().Add(within); ; {
		missing := ""
		for _, instance := range f.Instances {
			if known := len(instance.Peers()); known < members-1 {
				missing = fmt.Sprintf("%s knows %d of %d others", instance.Name, known, members-1)
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the members do not find one another: %s\n%s", missing, f.Instances[0].Log)
		}
		time.Sleep(joinCheckInterval)
	}
}
