// Package process runs fleets of schedulers as real processes on loopback. A Fleet starts the schedulers (Instance),
// their shared workers and the list service, and sends load as the web server in front of each scheduler does. Log
// collects a scheduler's log output.
package process

import (
	"cmp"
	"errors"
	"fmt"
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

// Fleet runs schedulers as real processes, their shared workers, and the list service that lists these workers.
type Fleet struct {
	Program              string   // path of the scheduler's executable
	Env                  []string // environment variables in addition to the testbed's own
	Dir                  string   // directory for files; the caller removes it
	Instances            []*Instance
	Workers              []*standin.Worker
	Authority            *pki.Authority
	GossipEnabled        bool
	GossipThroughHub     bool // gossip passes through a hub, whose links scenarios change
	WorkerLinks          bool // each scheduler has a separate link to each worker
	SnapshotsEnabled     bool // schedulers restore a snapshot of the endpoint list and learned state after a restart
	KillAtDeadline       bool // planned restarts kill the process at a deadline; open connections are used until then
	ConfiguredSchedulers int  // minimum fleet size in the schedulers' settings; 0 for the actual size

	List          *standin.ListService
	InitialEvents InitialEvents

	Profile string // name of the worker profile; "" for roomy
	Store   *standin.Store

	host string     // loopback host of all schedulers
	hub  *fault.Hub // nil unless GossipThroughHub

	wakeDelay atomic.Int64 // maximum wake-up delay of goroutines so far, in nanoseconds; 0 if not measured

	// departures contains the workers published as draining or deleted. Prepare and the scenario write it. The checks
	// read it after the scenario.
	departures map[*standin.Worker]Departure

	mu                 sync.Mutex
	stopErrors         []error // errors of planned restarts
	links              map[linkKey]*fault.Link
	partitionCondition fault.LinkCondition // from partitioned schedulers to the others
	partitioned        map[string]bool     // gossip addresses of the partitioned schedulers
}

// InitialEvents selects the list service events in the schedulers' initial configuration.
type InitialEvents int

// Selections of events.
const (
	InitialEventsAll   InitialEvents = iota
	InitialEventsFirst               // only the first event
	InitialEventsNone
)

// Departure records the event that first published a worker as draining or deleted.
type Departure struct {
	At    time.Time
	Event int // number of the event
}

// Departure returns the departure of a worker, and false if the worker has not departed.
func (f *Fleet) Departure(worker *standin.Worker) (Departure, bool) {
	departure, ok := f.departures[worker]
	return departure, ok
}

// Prepare starts the workers and the list service and writes the schedulers' files, without starting the schedulers. If
// it fails, it stops everything that it started.
func (f *Fleet) Prepare(instances, workers int) error {
	if err := f.prepare(instances, workers); err != nil {
		f.Close()
		return err
	}
	return nil
}

// prepare implements Prepare without the cleanup after a failure.
func (f *Fleet) prepare(instances, workers int) error {
	f.List = standin.NewListService()
	f.Store = standin.NewStore()
	f.departures = map[*standin.Worker]Departure{}
	f.links = map[linkKey]*fault.Link{}
	if err := f.createAuthority(); err != nil {
		return err
	}
	for i := range workers {
		worker, err := f.StartWorker(fmt.Sprintf("w%02d", i), time.Time{})
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
		if err := instance.Configure(); err != nil {
			return err
		}
	}
	return nil
}

// createAuthority creates the fleet's certificate authority and writes its certificate file.
func (f *Fleet) createAuthority() error {
	authority, err := pki.NewAuthority("lab", time.Now().Add(-time.Hour), 24*time.Hour)
	if err != nil {
		return err
	}
	f.Authority = authority
	return os.WriteFile(filepath.Join(f.Dir, "fleet.crt"), pki.EncodeCertificate(authority.Cert), 0o600)
}

// addInstance adds a scheduler with new addresses.
func (f *Fleet) addInstance(name string) error {
	instance := &Instance{Name: name, fleet: f, Log: &Log{}}
	var err error
	if instance.Addr, err = f.freeAddress("tcp"); err != nil {
		return err
	}
	if instance.GossipAddr, err = f.freeAddress("udp"); err != nil {
		return err
	}
	f.Instances = append(f.Instances, instance)
	return nil
}

// StartWorker starts a worker. It is warm if startedAt is zero and otherwise warms up from that time on.
func (f *Fleet) StartWorker(id string, startedAt time.Time) (*standin.Worker, error) {
	profile, ok := standin.WorkerProfiles[cmp.Or(f.Profile, standin.ProfileRoomy)]
	if !ok {
		return nil, fmt.Errorf("unknown worker profile %q", f.Profile)
	}
	return standin.NewWorker(id, profile, f.Store, startedAt)
}

// NewByzantineMember starts a byzantine member with the given name, which joins the fleet.
func (f *Fleet) NewByzantineMember(name string) (*fault.ByzantineMember, error) {
	var seeds []netip.AddrPort
	for _, instance := range f.Instances[:min(maxSeeds, len(f.Instances))] {
		seeds = append(seeds, netip.MustParseAddrPort(instance.GossipAddr))
	}
	return fault.NewByzantineMember(name, f.Authority, seeds)
}

// Publish publishes an endpoint list event with the given state for the given workers. If all is set, they replace the
// whole list. Workers that are published as draining or deleted start to drain.
func (f *Fleet) Publish(all bool, workers []*standin.Worker, state standin.EndpointState) {
	for _, worker := range workers {
		if _, departed := f.departures[worker]; state != standin.EndpointServing && !departed {
			f.departures[worker] = Departure{At: time.Now(), Event: len(f.List.PublishedAt()) + 1}
		}
	}
	if state != standin.EndpointServing { // a deleted worker rejects requests too
		for _, worker := range workers {
			worker.Drain()
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

// initialEvents returns the events in a scheduler's initial configuration, as the body of a list service response.
func (f *Fleet) initialEvents(scheduler string) string {
	switch f.InitialEvents {
	case InitialEventsFirst:
		return f.List.Feed(scheduler, 1)
	case InitialEventsNone:
		return f.List.Feed(scheduler, 0)
	default:
		return f.List.Feed(scheduler, -1)
	}
}

// ProcessStart returns the start time of the scheduler process that was running at the given time.
func (f *Fleet) ProcessStart(scheduler string, at time.Time) time.Time {
	for _, instance := range f.Instances {
		if instance.Name == scheduler {
			return instance.lastStartBefore(at)
		}
	}
	return time.Time{}
}

// StopErrors returns the errors of planned restarts so far.
func (f *Fleet) StopErrors() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stopErrors)
}

// recordStopError records an error of a planned restart.
func (f *Fleet) recordStopError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopErrors = append(f.stopErrors, err)
}

// Stop shuts down all schedulers gracefully, as a planned restart does.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.Instances))
	var wg sync.WaitGroup
	for i, instance := range f.Instances {
		wg.Go(func() { errs[i] = instance.Stop() })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close kills all schedulers and stops all stand-ins.
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

// CloseAndRemove closes the fleet and removes its directory.
func (f *Fleet) CloseAndRemove() {
	f.Close()
	_ = os.RemoveAll(f.Dir) // best effort
}
