package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"calicohill/internal/testbed/standin"
)

// poll answers a poll as the endpoint list service does.
func (s *testScheduler) poll(w http.ResponseWriter, r *http.Request) {
	if s.pollsUnanswered.Load() {
		<-r.Context().Done()
		return
	}
	request := standin.ParsePollRequest(r)
	timeout := time.After(request.Timeout)
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		s.t.Error("poll without a local address in its context")
		return
	}
	address := local.String()
	s.countPoll(address, 1)
	defer s.countPoll(address, -1)
	for {
		s.mu.Lock()
		if len(s.pollOverrides) > 0 {
			answer := s.pollOverrides[0]
			s.pollOverrides = s.pollOverrides[1:]
			s.mu.Unlock()
			answer(w)
			return
		}
		text := s.feed(request.After)
		hasUpdate := request.After < len(s.events)
		changed := s.changed
		s.mu.Unlock()
		if hasUpdate {
			fmt.Fprint(w, text)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			fmt.Fprint(w, text)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// countPoll adds n to the number of open polls at an address of the list service and returns the new number.
func (s *testScheduler) countPoll(address string, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openPolls[address] += n
	return s.openPolls[address]
}

// feed returns a response body with the events whose number is greater than after. The caller must hold s.mu.
func (s *testScheduler) feed(after int) string {
	return standin.EndpointFeed(len(s.events), s.events[min(after, len(s.events)):])
}

// addEvent adds an event to the endpoint list. Targets have the form "uid state address".
func (s *testScheduler) addEvent(all bool, targets ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var endpoints []standin.Endpoint
	for _, target := range targets {
		fields := strings.Fields(target)
		endpoints = append(endpoints, standin.Endpoint{
			ID:      fields[0],
			State:   standin.EndpointState(fields[1]),
			Address: fields[2],
		})
	}
	s.events = append(s.events, standin.EndpointEvent(len(s.events)+1, all, endpoints))
	close(s.changed)
	s.changed = make(chan struct{})
}

// addEventAndWait adds an event and waits until the scheduler has applied it.
func (s *testScheduler) addEventAndWait(all bool, targets ...string) {
	s.t.Helper()
	s.addEvent(all, targets...)
	s.mu.Lock()
	want := fmt.Sprintf("event=%d", len(s.events))
	s.mu.Unlock()
	waitUntil(s.t, "the program logs "+want, func() bool { return strings.Contains(s.log.String(), want) })
}

// refusePolls closes the listener of the list service, so that connections are refused, and closes open connections.
func (s *testScheduler) refusePolls() {
	_ = s.listServer.Listener.Close()
	s.listServer.CloseClientConnections()
}

// stopAnsweringPolls stops answering polls. The list service still accepts connections and reads the polls.
func (s *testScheduler) stopAnsweringPolls() {
	s.pollsUnanswered.Store(true)
	s.listServer.CloseClientConnections()
}
