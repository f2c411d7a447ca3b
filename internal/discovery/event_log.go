package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"calicohill/internal/dispatch"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// eventLog applies the service's numbered events in order, each once, and keeps the list that they make up. It belongs to a
// Watcher and is used on the event loop only. The list is as large as the service makes it, within maxBodyBytes a response.
type eventLog struct {
	zones    []string // the platform's names, by number
	kinds    []string // the platform's names, by number
	sink     func(dispatch.EndpointList)
	onChange func() // called after events that changed the list, never between two of them; nil if nobody takes snapshots
	log      logrus.FieldLogger

	initial        Feed              // what applyInitial applies: configured or restored
	restored       bool              // the list is an earlier process's, and the service has not answered yet
	targets        map[string]target // current list by UID; kept only where onChange is set
	lastEvent      int               // number of the last event applied; 0 requests the complete list
	serviceEvent   int               // number of the last event that the service had at its latest response
	malformedEvent int               // number of the latest event that was rejected; the next time it is read leniently
	acceptedGap    int               // events up to this number may be missing: the service no longer has them
}

// progress is what a response did to the number of the last event applied.
type progress int

const (
	unchanged progress = iota
	advanced           // events were applied
	rewound            // the complete list is to be read, at once
)

// last is the number of the last event applied; 0 requests the complete list.
func (l *eventLog) last() int { return l.lastEvent }

// isComplete reports whether every event that the service had at its latest response was applied.
func (l *eventLog) isComplete() bool { return l.lastEvent >= l.serviceEvent }

// isRestored reports whether the list is an earlier process's, and the service has not answered yet.
func (l *eventLog) isRestored() bool { return l.restored }

// restore makes the list of an earlier process the initial one if it is newer than the configured events, and returns
// whether it is.
func (l *eventLog) restore(snapshot []byte) (newer bool, err error) {
	var feed Feed
	if err := json.Unmarshal(snapshot, &feed); err != nil {
		return false, fmt.Errorf("list: %w", err)
	}
	if feed.Number <= l.initial.Number {
		return false, nil
	}
	for _, event := range feed.Events {
		if event.Roster == nil {
			return false, fmt.Errorf("list: event %d without workers", event.Number)
		}
		if _, err := event.endpointList(l.zones, l.kinds, false); err != nil {
			return false, fmt.Errorf("list: %w", err)
		}
	}
	l.initial = feed
	l.restored = true
	return true, nil
}

// snapshot returns the number of the last event and an encoder of the complete list, in the form of a poll's response and
// ordered by UID. The encoder owns its data: it may be called on another goroutine, later.
func (l *eventLog) snapshot() (number int, encode func() ([]byte, error)) {
	number = l.lastEvent
	all := slices.SortedFunc(maps.Values(l.targets), func(a, b target) int { return strings.Compare(a.UID, b.UID) })
	return number, func() ([]byte, error) {
		whole := event{Number: number, Roster: &roster{All: true, Targets: all}}
		return json.Marshal(Feed{Number: number, Events: []event{whole}})
	}
}

// applyInitial applies the events known already, configured or restored. From now on changes of the list are passed to
// onChange, which may be nil.
func (l *eventLog) applyInitial(onChange func()) error {
	l.onChange = onChange
	if n := len(l.initial.Events); n > 0 { // nobody can supply events that are missing among these
		l.acceptedGap = l.initial.Events[n-1].Number
	}
	err := l.applyEvents(&l.initial)
	l.initial = Feed{}
	return err
}

// applyResponse parses the body of a response and applies its events. After an error some of them may have been applied.
func (l *eventLog) applyResponse(body []byte) (progress, error) {
	before := l.lastEvent
	if err := l.applyBody(body); err != nil {
		return unchanged, err
	}
	switch {
	case l.lastEvent > before:
		return advanced, nil
	case l.lastEvent < before:
		return rewound, nil
	default:
		return unchanged, nil
	}
}

func (l *eventLog) applyBody(body []byte) error {
	var feed Feed
	if err := json.Unmarshal(body, &feed); err != nil {
		return err
	}
	l.serviceEvent = feed.Number
	// A service that was replaced since the snapshot numbers its events from 1 again: request the complete list.
	restarted := l.restored && feed.Number < l.lastEvent
	l.restored = false
	if restarted {
		l.log.WithFields(logrus.Fields{"event": feed.Number, "known": l.lastEvent}).
			Warn("event numbers restarted: the endpoint list is read from its beginning")
		l.lastEvent = 0
		return nil
	}
	return l.applyEvents(&feed)
}

// applyEvents applies events in order, each once. An invalid event is an error, and is requested again; if it is still
// invalid, it is read leniently, since later events may say which workers drain. If events are missing, a drain may be
// among them: the complete list is requested, once for each such gap.
func (l *eventLog) applyEvents(feed *Feed) error {
	before := l.lastEvent
	defer func() {
		if l.onChange != nil && l.lastEvent > before { // not between two events: a snapshot never gets older
			l.onChange()
		}
	}()
	for i := range feed.Events {
		event := &feed.Events[i]
		if event.Number <= l.lastEvent {
			continue
		}
		if l.missesEvents(event) {
			l.log.WithFields(logrus.Fields{"event": event.Number, "known": l.lastEvent}).
				Warn("events missing: the endpoint list is read from its beginning")
			l.acceptedGap = event.Number
			l.lastEvent = 0
			return nil
		}
		if err := l.applyEvent(event); err != nil {
			return err
		}
		l.lastEvent = event.Number
	}
	if len(feed.Events) == 0 { // otherwise the next poll requests events that the response left out
		l.lastEvent = max(l.lastEvent, feed.Number)
	}
	return nil
}

// missesEvents reports whether events between the last one applied and this one are missing. An event with the complete list
// needs none before it.
func (l *eventLog) missesEvents(event *event) bool {
	if event.Roster != nil && event.Roster.All {
		return false
	}
	return l.lastEvent > 0 && event.Number > l.lastEvent+1 && event.Number > l.acceptedGap
}

// applyEvent hands an event's endpoints to the sink.
func (l *eventLog) applyEvent(event *event) error {
	if event.Roster == nil {
		return nil
	}
	lenient := l.malformedEvent == event.Number
	list, err := event.endpointList(l.zones, l.kinds, lenient)
	if err != nil {
		l.malformedEvent = event.Number
		return fmt.Errorf("event %d: %w", event.Number, err)
	}
	l.sink(list)
	if l.onChange != nil {
		l.recordTargets(event.Roster)
	}
	l.log.WithFields(logrus.Fields{"event": event.Number, "targets": len(list.Endpoints), "all": list.Full}).
		Info("worker list changed")
	return nil
}

// recordTargets keeps the current list for Snapshot.
func (l *eventLog) recordTargets(list *roster) {
	if l.targets == nil || list.All {
		l.targets = map[string]target{}
	}
	for _, target := range list.Targets {
		if workerStates[target.State] == routing.Gone {
			delete(l.targets, target.UID)
		} else {
			l.targets[target.UID] = target
		}
	}
}
