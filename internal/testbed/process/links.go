package process

import (
	"fmt"

	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/standin"
)

// linkKey identifies a link from a scheduler to a worker.
type linkKey struct {
	scheduler string
	worker    string
}

// openHub opens the hub if GossipThroughHub is set.
func (f *Fleet) openHub() error {
	if !f.GossipThroughHub {
		return nil
	}
	var members []string
	for _, instance := range f.Instances {
		members = append(members, instance.GossipAddr)
	}
	var err error
	f.hub, err = fault.NewHub(members, f.gossipCondition)
	return err
}

// gossipCondition returns the condition of the link between two schedulers, given their gossip addresses.
func (f *Fleet) gossipCondition(from, to string) fault.LinkCondition {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned[from] == f.partitioned[to] {
		return fault.LinkCondition{}
	}
	condition := f.partitionCondition
	if f.partitioned[to] { // partitionCondition applies from partitioned schedulers to the others
		condition.CutForward, condition.CutBackward = condition.CutBackward, condition.CutForward
	}
	return condition
}

// workerAddress returns the address of a worker for a scheduler. If WorkerLinks is set, it is the address of the
// scheduler's link to the worker, which is opened if necessary.
func (f *Fleet) workerAddress(scheduler string, worker *standin.Worker) string {
	if !f.WorkerLinks {
		return worker.Addr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := linkKey{scheduler: scheduler, worker: worker.ID}
	if link := f.links[key]; link != nil {
		return link.Addr
	}
	link, err := fault.NewLink(worker.Addr)
	if err != nil {
		return worker.Addr // out of file descriptors; OpenLink reports the missing link
	}
	f.links[key] = link
	return link.Addr
}

// OpenLink returns the link from a scheduler to a worker. It opens the link if necessary.
func (f *Fleet) OpenLink(scheduler string, worker *standin.Worker) (*fault.Link, error) {
	f.workerAddress(scheduler, worker)
	link := f.LinkTo(scheduler, worker.ID)
	if link == nil {
		return nil, fmt.Errorf("no link from %s to %s", scheduler, worker.ID)
	}
	return link, nil
}

// Partition applies a condition to the links between the given schedulers and the others. It replaces an earlier
// partition. It returns false if the fleet has no hub.
func (f *Fleet) Partition(instances []*Instance, condition fault.LinkCondition) bool {
	if f.hub == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitionCondition = condition
	f.partitioned = map[string]bool{}
	for _, instance := range instances {
		f.partitioned[instance.GossipAddr] = true
	}
	return true
}

// LinkTo returns the link from a scheduler to a worker, or nil if it is not open.
func (f *Fleet) LinkTo(scheduler, worker string) *fault.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[linkKey{scheduler: scheduler, worker: worker}]
}
