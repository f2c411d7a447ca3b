package testbed

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/standin"
)

// Fleet runs schedulers as real processes, the workers that they share, and the list service that names these workers.
type Fleet struct {
	Program           string   // the scheduler
	Env               []string // environment variables besides the testbed's own
	Dir               string   // for files; the caller's to remove
	Instances         []*Instance
	Workers           []*standin.Worker
	Authority         *pki.Authority
	Sharing           bool // schedulers gossip
	GossipThroughHub  bool // over links that scenarios change
	LinkedWorkers     bool // each scheduler has a link of its own to each worker
	KeepState         bool // schedulers keep their list and what they learned over a restart
	ClaimedSchedulers int  // how many schedulers there are by their settings; 0 for as many as there are

	List        *standin.ListService
	KnownEvents KnownEvents // "" as KnownAll

	Profile string // of its workers, by name; "" for roomy
	Store   *standin.Store

	host string     // of all its schedulers
	hub  *fault.Hub // nil where schedulers reach one another without one

	wakeDelay atomic.Int64   // nanoseconds by which this machine woke goroutines late at the worst so far, where measured
	restarts  sync.WaitGroup // of schedulers, by a rolling restart

	// departures has the workers that drain or were deleted. Prepare and the scenario write it; the checks read it after
	// the scenario's end.
	departures map[*standin.Worker]departure

	mu                 sync.Mutex
	links              map[linkKey]*fault.Link
	partitionCondition fault.LinkCondition // between the schedulers of partitioned and the others
	partitioned        map[string]bool     // gossip addresses
}

// KnownEvents says which events of the list service schedulers are configured with. Its values are names in scenarios.
type KnownEvents string

// The events that schedulers may be configured with.
const (
	KnownAll   KnownEvents = "full"
	KnownFirst KnownEvents = "old" // the first event alone
	KnownNone  KnownEvents = "empty"
)

// linkKey names a link from a scheduler to a worker.
type linkKey struct {
	scheduler string
	worker    string
}

// departure is when a worker was published as draining or deleted, and by which event.
type departure struct {
	at    time.Time
	event int
}

// Prepare starts workers and their list service and writes the files of schedulers, which do not run yet. Where it fails,
// nothing is left running.
func (f *Fleet) Prepare(instances, workers int) error {
	if err := f.prepare(instances, workers); err != nil {
		f.Close()
		return err
	}
	return nil
}

// prepare does what Prepare does, but leaves running what it started where it fails.
func (f *Fleet) prepare(instances, workers int) error {
	f.List = standin.NewListService()
	f.Store = standin.NewStore()
	f.departures = map[*standin.Worker]departure{}
	f.links = map[linkKey]*fault.Link{}
	if err := f.createAuthority(); err != nil {
		return err
	}
	for i := range workers {
		worker, err := f.startWorker(fmt.Sprintf("w%02d", i), time.Time{})
		if err != nil {
			return err
		}
		f.Workers = append(f.Workers, worker)
	}
	f.Publish(true, f.Workers, standin.EndpointServing)
	for i := range instances {
		if err := f.addInstance(fmt.Sprintf("n%d", i)); err != nil {
			return err
		}
	}
	if err := f.openHub(); err != nil {
		return err
	}
	for _, instance := range f.Instances {
		if err := instance.configure(); err != nil {
			return err
		}
	}
	return nil
}

// createAuthority makes the fleet's certificate authority and writes its certificate.
func (f *Fleet) createAuthority() error {
	authority, err := pki.NewAuthority("lab", time.Now().Add(-time.Hour), 24*time.Hour)
	if err != nil {
		return err
	}
	f.Authority = authority
	return os.WriteFile(filepath.Join(f.Dir, "fleet.crt"), pki.EncodeCertificate(authority.Cert), 0o600)
}

// addInstance adds a scheduler with addresses of its own.
func (f *Fleet) addInstance(name string) error {
	instance := &Instance{Name: name, fleet: f, Log: &Log{}}
	var err error
	if instance.Addr, err = f.freeAddress("tcp"); err != nil {
		return err
	}
	if instance.Gossip, err = f.freeAddress("udp"); err != nil {
		return err
	}
	f.Instances = append(f.Instances, instance)
	return nil
}

// openHub opens the hub, if the fleet has one.
func (f *Fleet) openHub() error {
	if !f.GossipThroughHub {
		return nil
	}
	var members []string
	for _, instance := range f.Instances {
		members = append(members, instance.Gossip)
	}
	var err error
	f.hub, err = fault.NewHub(members, f.gossipCondition)
	return err
}

// gossipCondition returns the condition of the link from one scheduler to another, by their gossip addresses.
func (f *Fleet) gossipCondition(from, to string) fault.LinkCondition {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned[from] == f.partitioned[to] {
		return fault.LinkCondition{}
	}
	condition := f.partitionCondition
	if f.partitioned[to] { // the condition is that from partitioned schedulers to the others
		condition.CutForward, condition.CutBackward = condition.CutBackward, condition.CutForward
	}
	return condition
}

// startWorker starts a worker, one that is warming up if startedAt is not zero.
func (f *Fleet) startWorker(id string, startedAt time.Time) (*standin.Worker, error) {
	profile, ok := standin.WorkerProfiles[cmp.Or(f.Profile, standin.ProfileRoomy)]
	if !ok {
		return nil, fmt.Errorf("no worker profile %q", f.Profile)
	}
	return standin.NewWorker(id, profile, f.Store, startedAt)
}

// fleetCount counts the fleets of this process.
var fleetCount atomic.Uint32

// freeAddress returns a loopback address that nobody listens on. Each fleet has a host of its own: schedulers share their
// port with the process of a restart, so that two fleets with the same address would serve each other's clients.
func (f *Fleet) freeAddress(network string) (string, error) {
	if f.host == "" {
		f.host = fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, 1+fleetCount.Add(1)%250)
	}
	for {
		addr, err := unusedAddress(network, f.host)
		// The system may return a port again that was released a moment ago.
		taken := func(in *Instance) bool { return in.Addr == addr || in.Gossip == addr }
		if err != nil || !slices.ContainsFunc(f.Instances, taken) {
			return addr, err
		}
	}
}

// unusedAddress returns an address of a host that nobody listens on.
func unusedAddress(network, host string) (string, error) {
	if network == "udp" {
		socket, err := net.ListenPacket("udp", host)
		if err != nil {
			return "", err
		}
		return socket.LocalAddr().String(), socket.Close()
	}
	listener, err := net.Listen("tcp", host)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// NewByzantineMember has a byzantine member join the fleet under a name.
func (f *Fleet) NewByzantineMember(name string) (*fault.ByzantineMember, error) {
	var seeds []netip.AddrPort
	for _, instance := range f.Instances[:min(maxSeeds, len(f.Instances))] {
		seeds = append(seeds, netip.MustParseAddrPort(instance.Gossip))
	}
	return fault.NewByzantineMember(name, f.Authority, seeds)
}

// Publish publishes an event with the state of some workers; with all set they are the whole list.
func (f *Fleet) Publish(all bool, workers []*standin.Worker, state standin.EndpointState) {
	for _, worker := range workers {
		if _, leaves := f.departures[worker]; state != standin.EndpointServing && !leaves {
			f.departures[worker] = departure{at: time.Now(), event: len(f.List.PublishedAt()) + 1}
		}
	}
	f.List.Publish(func(number int, scheduler string) string {
		var endpoints []standin.Endpoint
		for _, worker := range workers {
			endpoints = append(endpoints, standin.Endpoint{
				ID:            worker.ID,
				State:         state,
				Address:       f.workerAddress(scheduler, worker),
				StartedMillis: worker.StartedMillis(),
			})
		}
		return standin.EndpointEvent(number, all, endpoints)
	})
}

// knownEvents returns the events that a scheduler is configured with.
func (f *Fleet) knownEvents(scheduler string) string {
	switch f.KnownEvents {
	case KnownFirst:
		return f.List.Feed(scheduler, 1)
	case KnownNone:
		return f.List.Feed(scheduler, 0)
	default:
		return f.List.Feed(scheduler, -1)
	}
}

// workerAddress returns the address at which a scheduler reaches a worker: that of a link of its own if the fleet has links.
func (f *Fleet) workerAddress(scheduler string, worker *standin.Worker) string {
	if !f.LinkedWorkers {
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
		return worker.Addr // out of descriptors; a scenario that changes the link fails
	}
	f.links[key] = link
	return link.Addr
}

// linkTo returns the link of a scheduler to a worker; nil without.
func (f *Fleet) linkTo(scheduler, worker string) *fault.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[linkKey{scheduler: scheduler, worker: worker}]
}

// Stop ends all schedulers as a planned restart does.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.Instances))
	var wg sync.WaitGroup
	for i, instance := range f.Instances {
		wg.Go(func() { errs[i] = instance.Stop() })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() {
	for _, instance := range f.Instances {
		instance.Kill()
	}
	for _, link := range f.links {
		link.Close()
	}
	for _, worker := range f.Workers {
		worker.Close()
	}
	if f.hub != nil {
		f.hub.Close()
	}
	if f.List != nil {
		f.List.Close()
	}
}

// closeAndRemove ends the fleet and removes its directory.
func (f *Fleet) closeAndRemove() {
	f.Close()
	_ = os.RemoveAll(f.Dir) // what can't be removed is left for the system to clean
}
