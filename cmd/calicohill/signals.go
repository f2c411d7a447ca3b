package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signalChannels are the signals that a scheduler handles, by what they ask for.
type signalChannels struct {
	reload   <-chan os.Signal // SIGHUP
	status   <-chan os.Signal // SIGUSR1
	shutdown <-chan os.Signal // SIGTERM, or an interrupt from a terminal
}

// subscribeSignals catches the signals from now on.
func subscribeSignals() signalChannels {
	return signalChannels{
		reload:   notify(syscall.SIGHUP),
		status:   notify(syscall.SIGUSR1),
		shutdown: notify(syscall.SIGTERM, os.Interrupt),
	}
}

// notify returns a channel that receives signals. Those that come while one is waiting are merged with it.
func notify(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// handleSignals handles signals for as long as the process runs. Each kind has a goroutine of its own: a configuration
// file that takes long to read must not delay the shutdown.
func (s *scheduler) handleSignals(signals signalChannels) {
	go handle(signals.reload, func(os.Signal) { s.reload() })
	go handle(signals.status, func(os.Signal) { s.reportStatus() })
	go handle(signals.shutdown, func(received os.Signal) {
		s.loop.Post(func() { s.drain(received) })
	})
}

// handle calls a function for each signal.
func handle(signals <-chan os.Signal, handler func(os.Signal)) {
	for received := range signals {
		handler(received)
	}
}
