package main

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

func runCommand() *cobra.Command {
	var sources configSources
	cmd := &cobra.Command{
		Use: "run", Short: "Run a scheduler (the default command)",
		Example: "  calicohill run --config example/config.json\n" +
			"  ROUTER_CONFIG=example/config.json calicohill",
		Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return run(sources) },
	}
	sources.addFlags(cmd)
	return cmd
}

// run runs a scheduler until SIGTERM or an interrupt shuts it down. The error reports why the scheduler could not
// start.
func run(sources configSources) error {
	sched, err := newScheduler(sources)
	if err != nil {
		return err
	}
	// Subscribe before the endpoint list is restored and clients are served: an unhandled SIGHUP or SIGUSR1 terminates
	// the process.
	signals := subscribeSignals()
	sched.restoreSnapshot()
	sched.loop.Accept = sched.server.Accept
	sched.loop.AcceptFailed = sched.server.AcceptFailed
	sched.loop.Stalled = sched.watcher.Stalled
	sched.watcher.OnStale = sched.dispatcher.MarkStale
	sched.watcher.OnConfirmed = sched.dispatcher.ConfirmEndpoints
	sched.loop.Started = func() {
		sched.start()
		sched.handleSignals(signals)
		sched.log.WithFields(logrus.Fields{"name": sched.platform.Name, "listen": sched.platform.Listen}).Info("scheduler started")
	}
	if err := sched.loop.Run(sched.platform.Listen); err != nil {
		return err
	}
	if sched.peers != nil {
		sched.peers.Close()
	}
	sched.log.Info("scheduler ended")
	return nil
}

// start starts the components that need the running event loop. It is called before the first client is accepted.
func (s *scheduler) start() {
	s.watcher.Start()
	if s.restoredState != nil {
		s.dispatcher.RestoreState(*s.restoredState)
	}
	if s.peers != nil {
		s.peers.Run()
	}
}
