package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// Restore makes the list of an earlier process the initial one if it is newer than the configured events, and returns
// whether it is. It must be called before Start.
func (w *Watcher) Restore(snapshot []byte) (newer bool, err error) {
	var feed Feed
	if err := json.Unmarshal(snapshot, &feed); err != nil {
		return false, fmt.Errorf("list: %w", err)
	}
	if feed.Number <= w.initial.Number {
		return false, nil
	}
	for _, event := range feed.Events {
		if event.Roster == nil {
			return false, fmt.Errorf("list: event %d without workers", event.Number)
		}
		if _, err := event.endpointList(w.zones, w.kinds, false); err != nil {
			return false, fmt.Errorf("list: %w", err)
		}
	}
	w.initial = feed
	w.restored = true
	return true, nil
}

// Snapshot returns the number of the last event and an encoder of the complete list, in the form of a poll's response and
// ordered by UID. The encoder owns its data: it may be called on another goroutine, later.
func (w *Watcher) Snapshot() (number int, encode func() ([]byte, error)) {
	number = w.lastEvent
	all := slices.SortedFunc(maps.Values(w.targets), func(a, b target) int { return strings.Compare(a.UID, b.UID) })
	return number, func() ([]byte, error) {
		whole := event{Number: number, Roster: &roster{All: true, Targets: all}}
		return json.Marshal(Feed{Number: number, Events: []event{whole}})
	}
}

// applyResponse parses the body of a response and applies its events.
func (w *Watcher) applyResponse(body []byte) error {
	var feed Feed
	if err := json.Unmarshal(body, &feed); err != nil {
		return err
	}
	// A service that was replaced since the snapshot numbers its events from 1 again: request the complete list.
	restarted := w.restored && feed.Number < w.lastEvent
	w.restored = false
	if restarted {
		w.log.WithFields(logrus.Fields{"event": feed.Number, "known": w.lastEvent}).
			Warn("event numbers restarted: the endpoint list is read from its beginning")
		w.lastEvent = 0
		return nil
	}
	return w.applyEvents(&feed)
}

// applyEvents applies events in order, each once. An invalid event is an error, and is requested again; if it is still
// invalid, it is read leniently, since later events may say which workers drain. If events are missing, a drain may be
// among them: the complete list is requested, once for each such gap.
func (w *Watcher) applyEvents(feed *Feed) error {
	before := w.lastEvent
	defer func() {
		if w.OnChange != nil && w.lastEvent > before { // not between two events: a snapshot never gets older
			w.OnChange()
		}
	}()
	for i := range feed.Events {
		event := &feed.Events[i]
		if event.Number <= w.lastEvent {
			continue
		}
		if w.missesEvents(event) {
			w.log.WithFields(logrus.Fields{"event": event.Number, "known": w.lastEvent}).
				Warn("events missing: the endpoint list is read from its beginning")
			w.acceptedGap = event.Number
			w.lastEvent = 0
			return nil
		}
		if err := w.applyEvent(event); err != nil {
			return err
		}
		w.lastEvent = event.Number
	}
	if len(feed.Events) == 0 { // otherwise the next poll requests events that the response left out
		w.lastEvent = max(w.lastEvent, feed.Number)
	}
	return nil
}

// missesEvents reports whether events between the last one applied and this one are missing. An event with the complete list
// needs none before it.
func (w *Watcher) missesEvents(event *event) bool {
	if event.Roster != nil && event.Roster.All {
		return false
	}
	return w.lastEvent > 0 && event.Number > w.lastEvent+1 && event.Number > w.acceptedGap
}

// applyEvent hands an event's endpoints to the sink.
func (w *Watcher) applyEvent(event *event) error {
	if event.Roster == nil {
		return nil
	}
	lenient := w.malformedEvent == event.Number
	list, err := event.endpointList(w.zones, w.kinds, lenient)
	if err != nil {
		w.malformedEvent = event.Number
		return fmt.Errorf("event %d: %w", event.Number, err)
	}
	w.sink(list)
	if w.OnChange != nil {
		w.recordTargets(event.Roster)
	}
	w.log.WithFields(logrus.Fields{"event": event.Number, "targets": len(list.Endpoints), "all": list.Full}).
		Info("worker list changed")
	return nil
}

// recordTargets keeps the current list for Snapshot.
func (w *Watcher) recordTargets(roster *roster) {
	if w.targets == nil || roster.All {
		w.targets = map[string]target{}
	}
	for _, target := range roster.Targets {
		if workerStates[target.State] == routing.Gone {
			delete(w.targets, target.UID)
		} else {
			w.targets[target.UID] = target
		}
	}
}
