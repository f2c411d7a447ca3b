package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signalChannels holds one channel for each kind of signal that a scheduler handles.
type signalChannels struct {
	reload   <-chan os.Signal // SIGHUP
	status   <-chan os.Signal // SIGUSR1
	shutdown <-chan os.Signal // SIGTERM, or an interrupt from a terminal
}

// subscribeSignals starts to relay the signals to channels.
func subscribeSignals() signalChannels {
	return signalChannels{
		reload:   notify(syscall.SIGHUP),
		status:   notify(syscall.SIGUSR1),
		shutdown: notify(syscall.SIGTERM, os.Interrupt),
	}
}

// notify returns a channel that receives the given signals. A signal that arrives while another one is pending is
// dropped.
func notify(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// handleSignals handles signals until the process exits. Each kind of signal has its own goroutine, so that a slow read
// of a configuration file does not delay the shutdown.
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
