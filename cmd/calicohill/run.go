package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"calicohill/internal/config"
	"calicohill/internal/config/deployment"
	"calicohill/internal/config/operatorfile"
	"calicohill/internal/discovery"
	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/dispatch"
	"calicohill/internal/fleet/transport"
	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/nodeagent"
	"calicohill/internal/rules/match"
	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/logging"
	"calicohill/internal/snapshot/snapshotfile"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

const (
	// drainFor is how long after SIGTERM requests still come: the platform turns clients away meanwhile.
	drainFor = 700 * time.Millisecond
	// unfinished is how much longer the rest of a request that has begun to come is waited for.
	unfinished = time.Second
	// stallPart is how much of the grace that drains have a stall may take without the list counting as old, leastStall
	// what is none whatever the grace.
	stallPart, leastStall = 0.3, 20 * time.Millisecond
	// killedAfter is how long after drainFor the platform ends the program at the soonest, or the longest deadline of a
	// client if that is shorter. What is still open so long before that is given its final answer: nobody could later.
	killedAfter, closeBefore = 3 * time.Second, 200 * time.Millisecond
	// lookEvery is how often it is seen whether all is answered. Nothing may have come from clients for as long: what
	// came to their connections during a stall is read one after the other.
	lookEvery = 50 * time.Millisecond
	// sentIn is how long after the last answer was written clients may take to read it.
	sentIn = 3 * time.Second
	// otherFiles is how many descriptors go to neither clients nor workers: the runtime's, the loop's and the listener's,
	// the bulletin's connections and their dials, a file that is read, and a client that is let in before another
	// makes room.
	otherFiles = 24
	// leastAnswer and mostAnswer are the bounds of the longest answer that is taken from a worker, in bytes.
	leastAnswer, mostAnswer = 64 << 10, 1 << 20
)

// places is where a scheduler is told what to do: flags go before variables, and those before the file.
type places struct {
	config, name, listen string
	operator             string // "" if there is no operator's file
}

func (p *places) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&p.config, "config", os.Getenv("ROUTER_CONFIG"), "configuration `FILE` of the platform (ROUTER_CONFIG)")
	f.StringVar(&p.name, "name", os.Getenv("ROUTER_NAME"), "`NAME` of this scheduler (ROUTER_NAME)")
	f.StringVar(&p.listen, "listen", os.Getenv("ROUTER_LISTEN"), "`ADDRESS` for clients (ROUTER_LISTEN)")
	f.StringVar(&p.operator, "operator", os.Getenv("CALICOHILL_OPERATOR"), "operator's `FILE` (CALICOHILL_OPERATOR)")
}

// read reads all that there is to read. The settings of no file are returned where none is named.
func (p *places) read() (*config.Config, *operatorfile.Settings, error) {
	if p.config == "" {
		return nil, nil, errors.New("no configuration: set ROUTER_CONFIG or --config")
	}
	cfg, err := config.Read(p.config, p.name, p.listen)
	if err != nil {
		return nil, nil, err
	}
	// What would end a start is of no use to a reload either, though it takes up little of it.
	if _, err := routing.New(cfg.Deployment.Settings, cfg.Seed); err != nil {
		return nil, nil, fmt.Errorf("configuration %s: settings: %w", p.config, err)
	}
	if err := discovery.ValidateKnown(cfg.KnownEndpoints, cfg.Deployment.Zones, cfg.Deployment.WorkerKinds); err != nil {
		return nil, nil, fmt.Errorf("configuration %s: %w", p.config, err)
	}
	if p.operator == "" {
		return cfg, operatorfile.None(), nil
	}
	set, err := operatorfile.Read(p.operator)
	return cfg, set, err
}

func runCommand() *cobra.Command {
	var p places
	cmd := &cobra.Command{
		Use: "run", Short: "Run a scheduler; what the program does without a command",
		Example: "  calicohill run --config example/config.json\n" +
			"  ROUTER_CONFIG=example/config.json calicohill",
		Args: none,
		RunE: func(*cobra.Command, []string) error { return run(p) },
	}
	p.flags(cmd)
	return cmd
}

func run(from places) error {
	cfg, own, err := from.read()
	if err != nil {
		return err
	}
	parts, err := logging.New(os.Stderr, own.Log)
	if err != nil {
		return err
	}
	log := parts.Part("scheduler")
	rules, routes, warnings, err := own.Compile(siteClasses(&cfg.Deployment))
	if err != nil {
		return err
	}
	for _, w := range warnings {
		parts.Part("rules").WithError(w).Warn("rule of no use")
	}
	cfg.Deployment.FaultReporting = from.operator != "" // for peers, and for routes, which may come by a reload
	router, err := routing.New(cfg.Deployment.Settings, cfg.Seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	runtime.GOMAXPROCS(1) // the machine has one core
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)

	l := eventloop.New()
	l.Logger = log
	clients := cfg.MaxSockets / 3
	// A third of the memory may go into what is read and not answered yet.
	pool := bufferpool.NewPool(cfg.MemoryMB << 20 / 3 / bufferpool.Size)
	d := dispatch.New(l, router, pool, cfg.Deployment.MaxOpenRequests)
	agents := nodeagent.New(l, d, nodeagent.Options{
		Classes: cfg.Deployment.ClassNames, PipelineDepth: cfg.Deployment.PipelineDepth,
		Schedulers: cfg.Deployment.Schedulers, IdleCloseAfter: cfg.Deployment.IdleCloseAfter, ConnectTimeout: cfg.Deployment.ConnectTimeout,
		MaxConns: cfg.MaxSockets / 3, MaxDescriptors: max(cfg.MaxSockets-clients-otherFiles, cfg.MaxSockets/3+2),
		// Even if every connection had an answer coming that never ends, a quarter of the memory is enough.
		MaxAnswerBytes: min(max(cfg.MemoryMB<<20/4/(cfg.MaxSockets/3), leastAnswer), mostAnswer),
	}, parts.Part("agent"))
	d.SetWorkers(agents)
	// An eighth may wait for clients that do not read.
	server := fastcgi.New(l, d, pool, &cfg.Deployment, clients, cfg.MemoryMB<<20/8, parts.Part("clients"), parts.Part("rules"))
	server.Use(fastcgi.NewRules(rules))
	d.SetRoutes(orNone(routes))
	list := d.UpdateEndpoints
	var peers *transport.Node
	if own.Gossip != nil {
		peers, err = transport.Open(*own.Gossip, func(h routing.PeerReports) { l.Post(func() { d.ApplyPeerReports(h) }) },
			parts.Part("gossip"))
		if err != nil {
			return err
		}
		d.SetFaultObserver(peers.FaultObserved)
		list = func(r dispatch.EndpointList) {
			d.UpdateEndpoints(r)
			peers.EndpointsChanged(d.WorkerIDs())
		}
	}
	watch, err := discovery.New(l, cfg.DiscoveryAddress, cfg.KnownEndpoints, cfg.Deployment.Zones, cfg.Deployment.WorkerKinds,
		pollplan.New(cfg.Deployment.Schedulers, cfg.Deployment.DrainGrace, cfg.Seed), list, parts.Part("bulletin"))
	if err != nil {
		return fmt.Errorf("configuration %s: %w", from.config, err)
	}
	// Told before anything is served: a SIGHUP that nobody heeds ends the program.
	hup, usr, term := notify(syscall.SIGHUP), notify(syscall.SIGUSR1), notify(syscall.SIGTERM, os.Interrupt)
	var status atomic.Value // the file that counts are written to
	status.Store(own.Log.Status)
	reload := func() {
		// Of the platform's file only the address of the bulletin is taken: what is out, and all that was learned,
		// stands. A file that cannot be used changes nothing, or a slip of the pen would end a good scheduler.
		next, nextOwn, err := from.read()
		var table *match.Table
		var nextRoutes *pools.Core
		if err == nil {
			// The classes are those that the scheduler runs with: the platform's new ones are not taken up.
			table, nextRoutes, _, err = nextOwn.Compile(siteClasses(&cfg.Deployment))
		}
		var faults operatorfile.Faults
		if errors.As(err, &faults) {
			for _, f := range faults {
				log.WithError(f).Error("operator's file not read again: the old one stands")
			}
			return
		}
		if err == nil && !reflect.DeepEqual(own.State, nextOwn.State) {
			log.Warn("the section state is taken up by a restart alone")
		}
		takeUp := func() error { return nil }
		if err == nil && (peers == nil) != (nextOwn.Gossip == nil) {
			log.Warn("gossip is switched on or off by a restart alone")
		} else if err == nil && peers != nil {
			takeUp, err = peers.Prepare(*nextOwn.Gossip)
		}
		if err == nil {
			err = takeUp()
		}
		if err == nil { // last, since it was checked with the file, and all before may fail
			err = parts.Apply(nextOwn.Log)
		}
		if err != nil {
			log.WithError(err).Error("configuration not read again: the old one stands")
			return
		}
		status.Store(nextOwn.Log.Status)
		l.Post(func() {
			watch.SetAddress(next.DiscoveryAddress)
			server.Use(fastcgi.NewRules(table))
			d.SetRoutes(orNone(nextRoutes))
		})
		log.WithField("bulletin", next.DiscoveryAddress).Info("configuration read again")
	}
	draining := false
	var memory *routing.LearnedState
	if own.State != nil {
		memory = restore(watch, own.State, l, d, parts.Part("bulletin"))
	}
	l.Accept, l.Stalled, watch.OnStale = server.Accept, watch.Stalled, d.MarkStale
	// What the next ask may wait and a stall that nobody notices pass together before a drain has to be heeded.
	l.StallThreshold = min(eventloop.MaxStallThreshold, max(leastStall, time.Duration(stallPart*float64(cfg.Deployment.DrainGrace))))
	l.Started = func() {
		watch.Start()
		if memory != nil {
			d.RestoreState(*memory)
		}
		if peers != nil {
			peers.Run()
		}
		report := func() {
			l.Post(func() {
				counts := server.Rules().Counts()
				go reportRules(parts.Part("rules"), counts, status.Load().(string))
			})
		}
		go heed(hup, func(os.Signal) { reload() })
		go heed(usr, func(os.Signal) { report() })
		go heed(term, func(s os.Signal) {
			l.Post(func() {
				if !draining {
					draining = true
					log.WithField("signal", s.String()).Info("draining")
					drain(l, d, server, closeAfter(cfg.Deployment.Classes))
				}
			})
		})
		log.WithFields(logrus.Fields{"name": cfg.Name, "listen": cfg.Listen}).Info("scheduler started")
	}
	if err := l.Run(cfg.Listen); err != nil {
		return err
	}
	if peers != nil {
		peers.Close()
	}
	log.Info("scheduler ended")
	return nil
}

// restore takes up the list of an earlier life, if it counts, has the list and what is learned kept from now on, and
// returns what was learned; nil if none of it counts.
func restore(watch *discovery.Watcher, state *operatorfile.State, l *eventloop.Loop, d *dispatch.Dispatcher, log *logrus.Entry) (
	memory *routing.LearnedState,
) {
	r, err := snapshotfile.Read(state.Snapshot, state.Fleet, l.Now(), state.MaxAge)
	newer := false
	if err == nil && r.EventNumber > 0 {
		newer, err = watch.Restore(r.Endpoints)
		memory = &r.State
	}
	switch {
	case err != nil:
		log.WithError(err).Warn("snapshot set aside")
		memory = nil
	case r.EventNumber > 0:
		log.WithFields(logrus.Fields{
			"event": r.EventNumber, "newer": newer, "functions": len(r.State.Functions),
			"age": (l.Now() - r.CreatedAt).Round(time.Second),
		}).Info("snapshot taken up")
	}
	watch.OnChange = snapshotfile.New(l, state.Snapshot, state.Fleet, watch.Snapshot, d.LearnedState, log).Changed
	return memory
}

// orNone is the routes, or nil where there are none.
func orNone(routes *pools.Core) *pools.Core {
	if routes.Len() == 0 {
		return nil
	}
	return routes
}

// siteClasses is the site's classes as rules know them.
func siteClasses(site *deployment.Settings) []match.Class {
	list := make([]match.Class, len(site.Classes))
	for i, c := range site.Classes {
		list[i] = match.Class{Name: site.ClassNames[i], Effect: c.Idempotency}
	}
	return list
}

// reportRules logs what became of each rule so far, and writes it to a file if one is named. It must not be called on
// the loop, which does not wait for disks.
func reportRules(log *logrus.Entry, counts []match.Count, file string) {
	if file != "" {
		text, err := json.Marshal(map[string]any{"at": time.Now().UTC(), "rules": counts})
		if err == nil {
			if err = os.WriteFile(file+".new", append(text, '\n'), 0o644); err == nil {
				err = os.Rename(file+".new", file)
			}
		}
		if err != nil {
			log.WithError(err).Error("status not written")
		}
	}
	for _, c := range counts {
		log.WithFields(logrus.Fields{"rule": c.Rule, "tried": c.Tried, "matched": c.Matched, "failed": c.Failed, "cost": c.Cost}).
			Info("rule so far")
	}
}

// notify has signals told. One that comes while another of them waits to be heeded is told with it.
func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// heed acts on signals for as long as the program runs. Each kind has a goroutine of its own: a configuration that
// is read for long must not hold up the end.
func heed(signals <-chan os.Signal, act func(os.Signal)) {
	for s := range signals {
		act(s)
	}
}

// closeAfter is how long after drainFor what is still open is closed.
func closeAfter(classes []routing.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, killedAfter)-closeBefore, 0)
}

// drain stops the loop once requests have ceased to come, all are answered, and the answers are sent. What is open after
// a while is answered unserved.
func drain(l *eventloop.Loop, d *dispatch.Dispatcher, server *fastcgi.Server, closeAfter time.Duration) {
	wait, from := &deadline.Timer{}, l.Now()
	owed := from // when something was last owed an answer
	looks := 0   // not the time: after a stall all that came meanwhile is still to be read
	wait.Fire = func() {
		now := l.Now()
		looks++
		coming := server.Streams() > 0 || now-server.Heard() < lookEvery
		if d.OpenRequests() > 0 || coming && looks < int(unfinished/lookEvery) {
			owed = now
		}
		if d.OpenRequests() > 0 && now-from >= drainFor+closeAfter {
			d.Shutdown()
		}
		if owed == now || server.Unsent() > 0 && now-owed < sentIn {
			l.SetDeadline(wait, now+lookEvery)
			return
		}
		go l.Stop()
	}
	l.SetDeadline(wait, from+drainFor)
}
