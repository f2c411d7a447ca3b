package dispatch

import (
	"time"

	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// decisionLog writes what became of requests and attempts, at level debug, and what the Router notes of the workers. The
// zero value writes nothing. It is used on the event loop only.
type decisionLog struct {
	log *logrus.Entry // nil to write nothing
}

// detailed returns the log of single requests, or nil if its level is not written.
func (l *decisionLog) detailed() *logrus.Entry {
	if l.log == nil || !l.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return nil
	}
	return l.log
}

// attemptEnded writes how an attempt ended.
func (l *decisionLog) attemptEnded(ended *attempt, outcome routing.Outcome, took time.Duration) {
	if log := l.detailed(); log != nil {
		log.WithFields(logrus.Fields{
			"request": ended.request.ID, "attempt": ended.number, "worker": ended.worker,
			"outcome": outcome.String(), "took": took.Round(time.Microsecond),
		}).Debug("attempt ended")
	}
}

// notServed writes why a request gets a final answer unserved.
func (l *decisionLog) notServed(id string, status Status, reason routing.EndReason) {
	if log := l.detailed(); log != nil {
		message := "request failed"
		if status == Rejected {
			message = "request rejected"
		}
		log.WithFields(logrus.Fields{"request": id, "reason": reason.String()}).Debug(message)
	}
}

// canceled writes that the client of a request has left.
func (l *decisionLog) canceled(id string) {
	if log := l.detailed(); log != nil {
		log.WithField("request", id).Debug("request canceled by its client")
	}
}

// noted writes what the Router notes of the workers.
func (l *decisionLog) noted(note routing.Action) {
	if l.log == nil {
		return
	}
	switch note := note.(type) {
	case routing.WorkerSuspended:
		l.log.WithFields(logrus.Fields{"worker": note.Worker, "reason": note.Reason.String()}).Warn("worker suspended")
	case routing.EndpointListStatus:
		l.doubted(note)
	}
}

// doubted writes that the endpoint list came into doubt, or is confirmed again.
func (l *decisionLog) doubted(note routing.EndpointListStatus) {
	log := l.log.WithField("age", note.Age.Round(time.Millisecond))
	if !note.Unconfirmed {
		log.Info("worker list confirmed again")
		return
	}
	log.WithFields(logrus.Fields{"ready": note.Ready, "usable": note.Usable}).
		Warn("worker list in doubt: workers have to prove that they take requests")
}
