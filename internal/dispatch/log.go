package dispatch

import (
	"time"

	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// decisionLog logs the outcomes of requests and attempts at level debug, and the Router's state changes of workers and
// the endpoint list. The zero value writes nothing. It is used on the event loop only.
type decisionLog struct {
	log *logrus.Entry // nil disables logging
}

// debugLog returns the entry for messages about single requests, or nil if level debug is disabled.
func (l *decisionLog) debugLog() *logrus.Entry {
	if l.log == nil || !l.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return nil
	}
	return l.log
}

// attemptEnded logs the outcome of an attempt.
func (l *decisionLog) attemptEnded(ended *attempt, outcome routing.Outcome, took time.Duration) {
	if log := l.debugLog(); log != nil {
		log.WithFields(logrus.Fields{
			"request": ended.request.ID, "attempt": ended.number, "worker": ended.worker,
			"outcome": outcome.String(), "took": took.Round(time.Microsecond),
		}).Debug("attempt ended")
	}
}

// notServed logs why a request is rejected or has failed.
func (l *decisionLog) notServed(id string, status Status, reason routing.EndReason) {
	if log := l.debugLog(); log != nil {
		message := "request failed"
		if status == Rejected {
			message = "request rejected"
		}
		log.WithFields(logrus.Fields{"request": id, "reason": reason.String()}).Debug(message)
	}
}

// canceled logs that the client canceled a request.
func (l *decisionLog) canceled(id string) {
	if log := l.debugLog(); log != nil {
		log.WithField("request", id).Debug("request canceled by its client")
	}
}

// stateChanged logs a state change that the Router reports: a suspended worker, or an endpoint list that is no longer
// or again confirmed.
func (l *decisionLog) stateChanged(action routing.Action) {
	if l.log == nil {
		return
	}
	switch action := action.(type) {
	case routing.WorkerSuspended:
		l.log.WithFields(logrus.Fields{"worker": action.Worker, "reason": action.Reason.String()}).Warn("worker suspended")
	case routing.EndpointListStatus:
		l.listConfirmationChanged(action)
	}
}

// listConfirmationChanged logs that the endpoint list has not been confirmed recently, or that it is confirmed again.
func (l *decisionLog) listConfirmationChanged(action routing.EndpointListStatus) {
	log := l.log.WithField("age", action.Age.Round(time.Millisecond))
	if !action.Unconfirmed {
		log.Info("worker list confirmed again")
		return
	}
	log.WithFields(logrus.Fields{"ready": action.Ready, "usable": action.Usable}).
		Warn("worker list not confirmed recently: sending requests only to workers with a valid lease")
}
