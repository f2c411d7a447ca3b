// Package process runs fleets of schedulers as real processes on loopback: a Fleet starts Instances, the workers that they
// share and the list service that names these, and offers load as the web server in front of each scheduler does. Log is what
// a scheduler wrote.
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
	KillAtDeadline    bool // a planned restart is followed by the kill, and fronts use open connections until then
	ClaimedSchedulers int  // how many schedulers there are by their settings; 0 for as many as there are

	List        *standin.ListService
	KnownEvents KnownEvents

	Profile string // of its workers, by name; "" for roomy
	Store   *standin.Store

	host string     // of all its schedulers
	hub  *fault.Hub // nil where schedulers reach one another without one

	wakeDelay atomic.Int64 // nanoseconds by which this machine woke goroutines late at the worst so far, where measured

	// departures has the workers that drain or were deleted. Prepare and the scenario write it; the checks read it after
	// the scenario's end.
	departures map[*standin.Worker]Departure

	mu                 sync.Mutex
	stopErrors         []error // of planned restarts
	links              map[linkKey]*fault.Link
	partitionCondition fault.LinkCondition // between the schedulers of partitioned and the others
	partitioned        map[string]bool     // gossip addresses
}

// KnownEvents says which events of the list service schedulers are configured with.
type KnownEvents int

// The events that schedulers may be configured with.
const (
	KnownAll   KnownEvents = iota
	KnownFirst             // the first event alone
	KnownNone
)

// Departure is when a worker was published as draining or deleted, and by which event.
type Departure struct {
	At    time.Time
	Event int
}

// Departure returns when a worker was published as draining or deleted; false if it was not.
func (f *Fleet) Departure(worker *standin.Worker) (Departure, bool) {
	departure, ok := f.departures[worker]
	return departure, ok
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

// StartWorker starts a worker, one that is warming up if startedAt is not zero.
func (f *Fleet) StartWorker(id string, startedAt time.Time) (*standin.Worker, error) {
	profile, ok := standin.WorkerProfiles[cmp.Or(f.Profile, standin.ProfileRoomy)]
	if !ok {
		return nil, fmt.Errorf("no worker profile %q", f.Profile)
	}
	return standin.NewWorker(id, profile, f.Store, startedAt)
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
			f.departures[worker] = Departure{At: time.Now(), Event: len(f.List.PublishedAt()) + 1}
		}
	}
	if state != standin.EndpointServing { // a worker that is deleted takes nothing either
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

// ProcessStart returns when the process of a scheduler that ran at a time was started.
func (f *Fleet) ProcessStart(scheduler string, at time.Time) time.Time {
	for _, instance := range f.Instances {
		if instance.Name == scheduler {
			return instance.lastStartBefore(at)
		}
	}
	return time.Time{}
}

// StopErrors returns what went wrong when instances were stopped as a planned restart does.
func (f *Fleet) StopErrors() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stopErrors)
}

// noteStopError notes what went wrong when an instance was stopped.
func (f *Fleet) noteStopError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopErrors = append(f.stopErrors, err)
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

// CloseAndRemove ends the fleet and removes its directory.
func (f *Fleet) CloseAndRemove() {
	f.Close()
	_ = os.RemoveAll(f.Dir) // what can't be removed is left for the system to clean
}
