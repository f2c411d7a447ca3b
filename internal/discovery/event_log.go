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

// eventLog applies the numbered events of the list service in order, each exactly once, and holds the resulting list.
// It belongs to a Watcher and is used on the event loop only. The size of the list is limited only by Options.MaxListBytes for
// each response.
type eventLog struct {
	zones    []string // zone names by number
	kinds    []string // names of machine kinds by number
	sink     func(dispatch.EndpointList)
	onChange func() // called after a batch of events that changed the list; nil if snapshots are disabled
	log      logrus.FieldLogger

	initial        Feed              // configured or restored events; applied by applyInitial
	restored       bool              // the list comes from a snapshot and the service has not answered yet
	targets        map[string]target // current list by UID; maintained only if onChange is set
	lastEvent      int               // number of the last applied event; 0 requests the complete list
	serviceEvent   int               // number of the service's last event as of its latest response
	malformedEvent int               // number of the last rejected event, which is parsed leniently when received again
	acceptedGap    int               // events up to this number may be missing: the service no longer has them
}

// applyResult is the effect of a response on the number of the last applied event.
type applyResult int

const (
	unchanged applyResult = iota
	advanced              // events were applied
	rewound               // the complete list must be requested at once
)

// lastEventNumber returns the number of the last applied event; 0 requests the complete list.
func (l *eventLog) lastEventNumber() int { return l.lastEvent }

// isComplete reports whether all events that the service had as of its latest response have been applied.
func (l *eventLog) isComplete() bool { return l.lastEvent >= l.serviceEvent }

// isRestored reports whether the list comes from a snapshot and the service has not answered yet.
func (l *eventLog) isRestored() bool { return l.restored }

// restore replaces the configured events with the list from the snapshot of an earlier process if the snapshot is
// newer, and reports whether it is.
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
			return false, fmt.Errorf("list: event %d has no roster", event.Number)
		}
		if _, err := event.endpointList(l.zones, l.kinds, false); err != nil {
			return false, fmt.Errorf("list: %w", err)
		}
	}
	l.initial = feed
	l.restored = true
	return true, nil
}

// snapshot returns the number of the last event and a function that encodes the complete list as a poll response,
// ordered by UID. The function uses a copy of the list, so it may be called later on another goroutine.
func (l *eventLog) snapshot() (number int, encode func() ([]byte, error)) {
	number = l.lastEvent
	all := slices.SortedFunc(maps.Values(l.targets), func(a, b target) int { return strings.Compare(a.UID, b.UID) })
	return number, func() ([]byte, error) {
		complete := event{Number: number, Roster: &roster{All: true, Targets: all}}
		return json.Marshal(Feed{Number: number, Events: []event{complete}})
	}
}

// applyInitial applies the configured or restored events and sets the function to call after changes of the list, which
// may be nil.
func (l *eventLog) applyInitial(onChange func()) error {
	l.onChange = onChange
	if n := len(l.initial.Events); n > 0 { // events missing among these cannot be requested
		l.acceptedGap = l.initial.Events[n-1].Number
	}
	err := l.applyEvents(&l.initial)
	l.initial = Feed{}
	return err
}

// applyResponse parses the body of a response and applies its events. Some events may have been applied if it returns
// an error.
func (l *eventLog) applyResponse(body []byte) (applyResult, error) {
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
	// A service that was replaced after the snapshot numbers its events from 1 again. Request the complete list.
	restarted := l.restored && feed.Number < l.lastEvent
	l.restored = false
	if restarted {
		l.log.WithFields(logrus.Fields{"event": feed.Number, "known": l.lastEvent}).
			Warn("event numbers restarted: requesting the complete endpoint list")
		l.lastEvent = 0
		return nil
	}
	return l.applyEvents(&feed)
}

// applyEvents applies events in order, each exactly once. It returns an error for an invalid event, which is then
// requested again. If the event is still invalid, it is parsed leniently, because later events may announce draining
// workers. If events are missing, the complete list is requested, once for each gap, because the missing events may
// announce draining workers too.
func (l *eventLog) applyEvents(feed *Feed) error {
	before := l.lastEvent
	defer func() {
		if l.onChange != nil && l.lastEvent > before { // once per batch, and only forward: snapshots never get older
			l.onChange()
		}
	}()
	for i := range feed.Events {
		event := &feed.Events[i]
		if event.Number <= l.lastEvent {
			continue
		}
		if l.hasGapBefore(event) {
			l.log.WithFields(logrus.Fields{"event": event.Number, "known": l.lastEvent}).
				Warn("events missing: requesting the complete endpoint list")
			l.acceptedGap = event.Number
			l.lastEvent = 0
			return nil
		}
		if err := l.applyEvent(event); err != nil {
			return err
		}
		l.lastEvent = event.Number
	}
	if len(feed.Events) == 0 { // otherwise the next poll requests the events omitted from the response
		l.lastEvent = max(l.lastEvent, feed.Number)
	}
	return nil
}

// hasGapBefore reports whether events between the last applied event and this one are missing. An event with the
// complete list does not depend on earlier events.
func (l *eventLog) hasGapBefore(event *event) bool {
	if event.Roster != nil && event.Roster.All {
		return false
	}
	return l.lastEvent > 0 && event.Number > l.lastEvent+1 && event.Number > l.acceptedGap
}

// applyEvent passes the endpoints of an event to the sink.
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
		l.updateTargets(event.Roster)
	}
	l.log.WithFields(logrus.Fields{"event": event.Number, "targets": len(list.Endpoints), "all": list.Full}).
		Info("worker list changed")
	return nil
}

// updateTargets updates the current list that is used for snapshots.
func (l *eventLog) updateTargets(list *roster) {
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
