package transport

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/faultreport"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
	"calicohill/internal/runtime/logging"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// engine steps the gossip core and the fault report core, and performs their actions. It has no goroutine and no lock:
// only the goroutine of Node.run may access it. The name of own and settings.Fleet never change and may be read
// elsewhere.
type engine struct {
	log            *logrus.Entry
	rateLimitedLog logging.RateLimited
	onPeerReports  func(routing.PeerReports)
	conn           *net.UDPConn // used for writes only
	start          time.Time

	settings     operatorfile.Gossip
	own          *pki.Member
	trust        *pki.Trust
	guard        *gossip.Guard
	core         *gossip.Core
	faultReports *faultreport.Core
	faultEvents  []faultreport.Event // input of the next step of faultReports
	statementSeq uint64
	verdicts     map[string]routing.PeerVerdict // last published verdicts, by worker ID
	sent         sentTraffic
}

// sentTraffic counts sent datagrams.
type sentTraffic struct {
	messages int
	bytes    int
	rate     gossip.RateMeter
}

// record counts a datagram.
func (s *sentTraffic) record(now time.Duration, size int) {
	s.messages++
	s.bytes += size
	s.rate.Record(now)
}

// newEngine returns an engine that sends on conn and has no other members yet. It calls onPeerReports whenever the
// verdicts of peers on workers change.
func newEngine(
	settings operatorfile.Gossip, own *pki.Member, trust *pki.Trust,
	conn *net.UDPConn, onPeerReports func(routing.PeerReports), log *logrus.Entry,
) *engine {
	created := &engine{
		log:            log,
		rateLimitedLog: logging.RateLimited{Log: log},
		onPeerReports:  onPeerReports,
		conn:           conn,
		start:          time.Now(),
		settings:       settings,
		own:            own,
		trust:          trust,
		verdicts:       map[string]routing.PeerVerdict{},
	}
	epoch := created.start.UnixMilli()
	created.guard = newGuard(settings, own, trust, epoch)
	created.core = newCore(settings, own, created.guard, epoch)
	created.faultReports = faultreport.New(faultReportConfig(settings))
	return created
}

// now returns the time for the cores: the Unix time at the start plus the elapsed time of the monotonic clock.
func (e *engine) now() time.Duration {
	return time.Duration(e.start.UnixNano()) + time.Since(e.start)
}

// next returns the time at which step must be called next, even if no event arrives.
func (e *engine) next() time.Duration { return min(e.core.Next(), e.faultReports.Next()) }

// addFaultEvent queues an event for the next step of the fault report core.
func (e *engine) addFaultEvent(event faultreport.Event) { e.faultEvents = append(e.faultEvents, event) }

// step steps both cores until neither produces events for the other.
func (e *engine) step(events []gossip.Event) {
	now := e.now()
	for {
		e.stepGossip(now, events)
		events = e.stepFaultReports(now)
		if len(events) == 0 && len(e.faultEvents) == 0 {
			return
		}
	}
}

// stepGossip steps the gossip core and performs its actions.
func (e *engine) stepGossip(now time.Duration, events []gossip.Event) {
	membersChanged := false
	for _, action := range e.core.Step(now, events) {
		switch action := action.(type) {
		case gossip.Transmit:
			e.transmit(action)
		case gossip.MemberChanged:
			membersChanged = true
			e.log.WithFields(logrus.Fields{"peer": action.Member.Name, "address": action.Member.Addr.String()}).
				Info("peer " + action.Member.State.String())
		case gossip.MemberForgotten:
			e.guard.Forget(action.Name)
		case gossip.StatementReceived:
			e.addFaultEvent(faultreport.StatementReceived{From: action.Statement.Name, Body: action.Statement.Body})
		case gossip.NameConflict:
			e.log.WithField("name", e.own.Name()).Error("name conflict: another scheduler with this name started later, gossip stopped")
		}
	}
	if membersChanged {
		e.membershipChanged()
	}
}

// stepFaultReports steps the fault report core with the queued events, performs its actions, and returns the resulting
// events for the gossip core.
func (e *engine) stepFaultReports(now time.Duration) []gossip.Event {
	faultEvents := e.faultEvents
	e.faultEvents = nil
	var events []gossip.Event
	for _, action := range e.faultReports.Step(now, faultEvents) {
		switch action := action.(type) {
		case faultreport.Broadcast:
			body, err := faultreport.Encode(action.Reports)
			if err != nil {
				e.rateLimitedLog.Warn(now, "statement not encoded", err)
				continue
			}
			e.statementSeq++
			events = append(events, gossip.Broadcast{Statement: e.guard.SignStatement(e.statementSeq, time.Now(), body)})
		case faultreport.PublishVerdicts:
			e.publishPeerReports(action.PeerReports)
		case faultreport.Discredited:
			e.log.WithFields(logrus.Fields{"peer": action.From, "why": action.Reason}).Warn("peer reports ignored for a while")
		}
	}
	return events
}

// transmit seals and sends a message.
func (e *engine) transmit(transmit gossip.Transmit) {
	datagram, err := e.guard.Seal(transmit.To, transmit.Incarnation, time.Now(), transmit.Message)
	if err == nil {
		_, err = e.conn.WriteToUDPAddrPort(datagram, transmit.Addr)
	}
	if err != nil {
		e.rateLimitedLog.Warn(e.now(), "gossip datagram not sent", err)
		return
	}
	e.sent.record(e.now(), len(datagram))
}

// membershipChanged updates the known addresses of the guard, and the names of the certified members of the fleet in
// the fault report core.
func (e *engine) membershipChanged() {
	addrs := append([]netip.AddrPort(nil), e.settings.Seeds...)
	var names []string
	for _, member := range e.core.Members() {
		addrs = append(addrs, member.Addr.AddrPort)
		if member.State.InFleet() && e.guard.HasCertificate(member.Name) {
			names = append(names, member.Name)
		}
	}
	e.guard.SetKnownAddresses(addrs)
	e.addFaultEvent(faultreport.MembersChanged{Names: names})
}

// publishPeerReports passes peer reports to onPeerReports and logs workers that became or ceased to be confirmed
// faulty.
func (e *engine) publishPeerReports(reports routing.PeerReports) {
	for worker, verdict := range reports.Verdicts {
		if verdict == routing.Confirmed && e.verdicts[worker] != routing.Confirmed {
			e.log.WithFields(logrus.Fields{"worker": worker, "accusers": e.faultReports.Quorum()}).
				Warn("worker confirmed faulty by peers")
		}
	}
	for worker, verdict := range e.verdicts {
		if verdict == routing.Confirmed && reports.Verdicts[worker] != routing.Confirmed {
			e.log.WithField("worker", worker).Info("worker no longer confirmed faulty by peers")
		}
	}
	e.verdicts = reports.Verdicts
	e.onPeerReports(reports)
}

// openDatagram authenticates a datagram and appends its event to events. A datagram that fails authentication is logged
// and dropped.
func (e *engine) openDatagram(events []gossip.Event, received datagram) []gossip.Event {
	opened, err := e.guard.Open(e.now(), time.Now(), received.from, received.content)
	if err != nil {
		e.rateLimitedLog.Warn(e.now(), "gossip datagram dropped", fmt.Errorf("from %s: %w", received.from, err))
		return events
	}
	for _, name := range opened.Equivocators {
		e.addFaultEvent(faultreport.EquivocationDetected{From: name})
	}
	return append(events, gossip.Received{
		From:    opened.From,
		Addr:    received.from,
		Epoch:   opened.Epoch,
		Message: opened.Message,
		Trusted: opened.Trusted,
	})
}

// reload applies new keys and settings and returns the resulting events for the gossip core. Authorities missing from
// the new settings stay trusted during AuthorityOverlap.
func (e *engine) reload(settings operatorfile.Gossip, own *pki.Member, trust *pki.Trust) []gossip.Event {
	e.trust = trust.MergePrevious(e.trust, time.Now(), settings.AuthorityOverlap)
	removed := e.guard.UpdateTrust(own, e.trust, time.Now())
	events := []gossip.Event{gossip.UpdateSeeds{Seeds: settings.Seeds}}
	for _, name := range removed {
		e.log.WithField("peer", name).Warn("peer removed: its certificate is no longer valid")
		events = append(events, gossip.RemoveMember{Name: name})
	}
	e.settings.Seeds = settings.Seeds
	e.settings.AuthorityOverlap = settings.AuthorityOverlap
	e.addFaultEvent(faultreport.Configure{Config: faultReportConfig(settings)})
	return events
}

// logTraffic logs traffic statistics at shutdown.
func (e *engine) logTraffic() {
	e.log.WithFields(logrus.Fields{
		"seconds": time.Since(e.start).Seconds(),
		"sent":    e.sent.messages,
		"bytes":   e.sent.bytes,
		"peak":    e.sent.rate.Peak(),
		"checks":  e.guard.SignaturesChecked,
		"members": e.core.NumMembers(),
	}).Info("gossip ended")
}
