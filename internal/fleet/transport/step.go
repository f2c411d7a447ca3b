package transport

import (
	"net/netip"
	"time"

	"calicohill/internal/fleet/faultreport"
	"calicohill/internal/fleet/gossip"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

const (
	// maxBatch is how many queued datagrams are opened, besides the first, before the cores are stepped.
	maxBatch = 64
	// minStepInterval is the minimum time until a step that nothing but the clock causes.
	minStepInterval = time.Millisecond
)

// run steps the cores with what arrives and when they are due, until the Node is closed.
func (n *Node) run() {
	defer close(n.done)
	defer func() { _ = n.conn.Close() }() // nothing is left to do about an error
	timer := time.NewTimer(0)
	for {
		var events []gossip.Event
		select {
		case received := <-n.datagrams:
			events = n.openQueued(received)
		case call := <-n.calls:
			call()
		case <-timer.C:
		case <-n.quit:
			n.leave()
			return
		}
		n.step(events)
		next := min(n.core.Next(), n.faultReports.Next())
		timer.Reset(max(next-n.now(), minStepInterval))
	}
}

// leave announces that this member leaves.
func (n *Node) leave() {
	n.step([]gossip.Event{gossip.Leave{}})
	n.log.WithFields(logrus.Fields{
		"seconds": time.Since(n.start).Seconds(),
		"sent":    n.messagesSent,
		"bytes":   n.bytesSent,
		"peak":    n.sendRate.Peak(),
		"checks":  n.guard.SignaturesChecked,
		"members": n.core.NumMembers(),
	}).Info("gossip ended")
}

// step steps both cores until neither has an event for the other.
func (n *Node) step(events []gossip.Event) {
	now := n.now()
	if workers := n.endpoints.Swap(nil); workers != nil {
		n.faultEvents = append(n.faultEvents, faultreport.EndpointsChanged{Workers: *workers})
	}
	for {
		n.stepGossip(now, events)
		events = n.stepFaultReports(now)
		if len(events) == 0 && len(n.faultEvents) == 0 {
			return
		}
	}
}

// stepGossip steps the gossip core and performs its actions.
func (n *Node) stepGossip(now time.Duration, events []gossip.Event) {
	membersChanged := false
	for _, action := range n.core.Step(now, events) {
		switch action := action.(type) {
		case gossip.Transmit:
			n.transmit(action)
		case gossip.MemberChanged:
			membersChanged = true
			n.log.WithFields(logrus.Fields{"peer": action.Member.Name, "address": action.Member.Addr.String()}).
				Info("peer " + action.Member.State.String())
		case gossip.MemberForgotten:
			n.guard.Forget(action.Name)
		case gossip.StatementReceived:
			n.faultEvents = append(n.faultEvents,
				faultreport.StatementReceived{From: action.Statement.Name, Body: action.Statement.Body})
		case gossip.NameConflict:
			n.log.WithField("name", n.own.Name()).Error("name conflict: another scheduler with this name started later, gossip stopped")
		}
	}
	if membersChanged {
		n.membershipChanged()
	}
}

// stepFaultReports steps the core of fault reports with the events so far, performs its actions, and returns the
// events that these are for the gossip core.
func (n *Node) stepFaultReports(now time.Duration) []gossip.Event {
	faultEvents := n.faultEvents
	n.faultEvents = nil
	var events []gossip.Event
	for _, action := range n.faultReports.Step(now, faultEvents) {
		switch action := action.(type) {
		case faultreport.Broadcast:
			body, err := faultreport.Encode(action.Reports)
			if err != nil {
				n.rateLimitedLog.Warn(now, "statement not encoded", err)
				continue
			}
			n.statementSeq++
			events = append(events, gossip.Broadcast{Statement: n.guard.SignStatement(n.statementSeq, time.Now(), body)})
		case faultreport.PublishVerdicts:
			n.publishPeerReports(action.PeerReports)
		case faultreport.Discredited:
			n.log.WithFields(logrus.Fields{"peer": action.From, "why": action.Why}).Warn("peer reports ignored for a while")
		}
	}
	return events
}

// transmit seals a message and sends it.
func (n *Node) transmit(transmit gossip.Transmit) {
	datagram, err := n.guard.Seal(transmit.To, transmit.Incarnation, time.Now(), transmit.Message)
	if err == nil {
		_, err = n.conn.WriteToUDPAddrPort(datagram, transmit.Addr)
	}
	if err != nil {
		n.rateLimitedLog.Warn(n.now(), "gossip datagram not sent", err)
		return
	}
	n.messagesSent++
	n.bytesSent += len(datagram)
	n.sendRate.Record(n.now())
}

// membershipChanged gives the guard the addresses of seeds and members, and the core of fault reports the names of the
// members that are in the fleet.
func (n *Node) membershipChanged() {
	addrs := append([]netip.AddrPort(nil), n.settings.Seeds...)
	var names []string
	for _, member := range n.core.Members() {
		addrs = append(addrs, member.Addr.AddrPort)
		if member.State.InFleet() && n.guard.Certified(member.Name) {
			names = append(names, member.Name)
		}
	}
	n.guard.SetKnownAddresses(addrs)
	n.faultEvents = append(n.faultEvents, faultreport.MembersChanged{Names: names})
}

// publishPeerReports passes on the reports of peers, and logs which workers are now, or no longer, confirmed faulty.
func (n *Node) publishPeerReports(reports routing.PeerReports) {
	for worker, verdict := range reports.Verdicts {
		if verdict == routing.Confirmed && n.verdicts[worker] != routing.Confirmed {
			n.log.WithFields(logrus.Fields{"worker": worker, "accusers": n.faultReports.Quorum()}).
				Warn("worker confirmed faulty by peers")
		}
	}
	for worker, verdict := range n.verdicts {
		if verdict == routing.Confirmed && reports.Verdicts[worker] != routing.Confirmed {
			n.log.WithField("worker", worker).Info("worker no longer confirmed faulty by peers")
		}
	}
	n.verdicts = reports.Verdicts
	n.onPeerReports(reports)
}
