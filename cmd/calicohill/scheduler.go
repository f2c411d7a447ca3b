package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"calicohill/internal/config"
	"calicohill/internal/config/operatorfile"
	"calicohill/internal/discovery"
	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/dispatch"
	"calicohill/internal/fleet/transport"
	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/nodeagent"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/logging"
	"calicohill/internal/snapshot/snapshotfile"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

const (
	// stallThresholdFraction is the longest stall, as a fraction of the drain grace, after which the endpoint list is
	// not marked as stale. The wait for the next poll and an undetected stall together must not exceed the drain grace.
	stallThresholdFraction = 0.3
	// minStallThreshold is the shortest pause that counts as a stall, even with a very short drain grace.
	minStallThreshold = 20 * time.Millisecond
)

// scheduler holds the configuration and the components of a running scheduler. Once the event loop runs, the fields
// dispatcher, server, agents, buffers, watcher and drainer are accessed on the loop only; other goroutines use only the loop's methods
// Post and Stop. The configuration and log do not change after startup and may be read on any goroutine. The fields
// loggers, statusFile and peers are safe for concurrent use.
type scheduler struct {
	sources  configSources
	platform *config.Config         // as read at startup
	operator *operatorfile.Settings // as read at startup
	loggers  *logging.Loggers
	log      *logrus.Entry

	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	server     *fastcgi.Server
	agents     *nodeagent.Pool
	buffers    *bufferpool.Pool
	watcher    *discovery.Watcher
	peers      *transport.Node // nil without gossip

	restoredState *routing.LearnedState  // from the snapshot; nil if there is none
	statusFile    atomic.Pointer[string] // path of the status file for rule counts; "" for none; updated by reloads
	drainer       *drainer               // nil until the shutdown is requested
}

// newScheduler reads the configuration and creates a scheduler from it. The scheduler serves no requests until its
// event loop runs.
func newScheduler(sources configSources) (*scheduler, error) {
	platform, operator, err := sources.read()
	if err != nil {
		return nil, err
	}
	loggers, err := logging.New(os.Stderr, operator.Log.Settings)
	if err != nil {
		return nil, err
	}
	sched := &scheduler{
		sources:  sources,
		platform: platform,
		operator: operator,
		loggers:  loggers,
		log:      loggers.Component("scheduler"),
	}
	sched.statusFile.Store(&operator.Log.Status)
	rules, err := operator.Compile(ruleClasses(&platform.Deployment))
	if err != nil {
		return nil, err
	}
	for _, warning := range rules.Warnings {
		loggers.Component("rules").WithError(warning).Warn("rule has no effect")
	}
	// Faults are reported to peers and routes. An operator's file is enough to enable reporting, since a reload may add
	// routes.
	platform.Deployment.FaultReporting = sources.operatorFile != ""
	platform.Deployment.FunctionMemory = resourceLimitsOf(platform).functionMemory
	router, err := routing.New(platform.Deployment.Settings, platform.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	sched.assemble(router, rules)
	if err := sched.openPeers(); err != nil {
		return nil, err
	}
	if err := sched.openWatcher(); err != nil {
		return nil, err
	}
	return sched, nil
}

// assemble sets the limits of the process, then creates and connects the event loop, the dispatcher, the node agents
// and the server.
func (s *scheduler) assemble(router *routing.Router, rules operatorfile.Compiled) {
	limits := resourceLimitsOf(s.platform)
	runtime.GOMAXPROCS(1) // the machine has one core
	debug.SetMemoryLimit(limits.processMemory)

	deployment := &s.platform.Deployment
	s.loop = eventloop.New()
	s.loop.Logger = s.log
	s.loop.MaxPendingAccepts = limits.pendingAccepts
	s.loop.StallThreshold = stallThreshold(deployment.DrainGrace)

	s.buffers = bufferpool.NewPool(limits.requestMemory)
	s.dispatcher = dispatch.New(s.loop, router, s.buffers, deployment.MaxOpenRequests)
	s.dispatcher.SetLog(s.loggers.Component("routing"))
	s.agents = nodeagent.New(s.loop, s.dispatcher, nodeagent.Options{
		Classes:          deployment.ClassNames,
		PipelineDepth:    deployment.PipelineDepth,
		Schedulers:       deployment.Schedulers,
		IdleCloseAfter:   deployment.IdleCloseAfter,
		ConnectTimeout:   deployment.ConnectTimeout,
		MaxConns:         limits.workerConns,
		MaxDescriptors:   limits.workerDescriptors,
		MaxResponseBytes: limits.answerBytes,
		UnsentMemory:     limits.agentUnsentMemory,
		ResponseMemory:   limits.responseMemory,
		EndedCallMemory:  limits.endedCallMemory,
	}, s.loggers.Component("agent"))
	s.dispatcher.SetWorkers(s.agents)
	s.server = fastcgi.New(s.loop, s.dispatcher, fastcgi.Options{
		Deployment:       deployment,
		Buffers:          s.buffers,
		MaxConns:         limits.clientConns,
		MaxUnsentMemory:  limits.unsentMemory,
		MaxResponseBytes: limits.answerBytes,
		Log:              s.loggers.Component("clients"),
		RulesLog:         s.loggers.Component("rules"),
	})
	s.applyRules(rules)
}

// applyRules applies the rules and routes of an operator's file to subsequent requests.
func (s *scheduler) applyRules(compiled operatorfile.Compiled) {
	s.server.SetRules(fastcgi.NewRules(compiled.Rules))
	routes := compiled.Routes
	if routes.Len() == 0 {
		routes = nil
	}
	s.dispatcher.SetRoutes(routes)
}

// stallThreshold returns the minimum delay of a due event that the event loop reports as a stall.
func stallThreshold(drainGrace time.Duration) time.Duration {
	fraction := time.Duration(stallThresholdFraction * float64(drainGrace))
	return min(eventloop.MaxStallThreshold, max(minStallThreshold, fraction))
}

// openPeers opens the gossip transport to other schedulers if the operator's file configures gossip.
func (s *scheduler) openPeers() error {
	if s.operator.Gossip == nil {
		return nil
	}
	applyReports := func(reports routing.PeerReports) {
		s.loop.Post(func() { s.dispatcher.ApplyPeerReports(reports) })
	}
	peers, err := transport.Open(*s.operator.Gossip, applyReports, s.loggers.Component("gossip"))
	if err != nil {
		return err
	}
	s.peers = peers
	s.dispatcher.SetFaultObserver(peers.FaultObserved)
	return nil
}

// openWatcher creates the watcher that polls the endpoint list service.
func (s *scheduler) openWatcher() error {
	deployment := &s.platform.Deployment
	watcher, err := discovery.New(s.loop, discovery.Options{
		Address:        s.platform.DiscoveryAddress,
		KnownEndpoints: s.platform.KnownEndpoints,
		Zones:          deployment.Zones,
		WorkerKinds:    deployment.WorkerKinds,
		MaxListBytes:   resourceLimitsOf(s.platform).listBytes,
		Planner:        pollplan.New(deployment.Schedulers, deployment.DrainGrace, s.platform.Seed),
		Sink:           s.updateEndpoints,
		Log:            s.loggers.Component("bulletin"),
	})
	if err != nil {
		return fmt.Errorf("configuration %s: %w", s.sources.platformFile, err)
	}
	s.watcher = watcher
	return nil
}

// updateEndpoints passes a new endpoint list to the dispatcher and the IDs of its workers to the gossip transport.
func (s *scheduler) updateEndpoints(list dispatch.EndpointList) {
	s.dispatcher.UpdateEndpoints(list)
	if s.peers != nil {
		s.peers.EndpointsChanged(s.dispatcher.WorkerIDs())
	}
}

// restoreSnapshot restores the endpoint list and the learned state of an earlier run if the operator's file configures
// a snapshot, and saves both on subsequent changes. The scheduler starts without a snapshot that can't be used.
func (s *scheduler) restoreSnapshot() {
	state := s.operator.State
	if state == nil {
		return
	}
	log := s.loggers.Component("bulletin")
	record, err := snapshotfile.Read(state.Snapshot, state.Fleet, s.loop.Now(), state.MaxAge)
	newer := false // whether the restored list is newer than the list in the platform's file
	if err == nil && record.EventNumber > 0 {
		newer, err = s.watcher.Restore(record.Endpoints)
	}
	switch {
	case err != nil:
		log.WithError(err).Warn("snapshot set aside")
	case record.EventNumber > 0:
		s.restoredState = &record.State
		log.WithFields(logrus.Fields{
			"event": record.EventNumber, "newer": newer, "functions": len(record.State.Functions),
			"age": (s.loop.Now() - record.CreatedAt).Round(time.Second),
		}).Info("snapshot restored")
	}
	file := snapshotfile.New(s.loop, snapshotfile.Options{
		Path:      state.Snapshot,
		Fleet:     state.Fleet,
		Endpoints: s.watcher.Snapshot,
		State:     s.dispatcher.LearnedState,
		Log:       log,
	})
	s.watcher.OnChange = file.Changed
}
