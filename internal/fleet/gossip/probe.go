package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// indirectProbes is how many members are asked to ping one that did not answer.
	indirectProbes = 3
	// maxRelayedProbes is the number of probes in flight from which indirect pings are answered with a Nack at once.
	maxRelayedProbes = 64
	// maxProbes is the number of probes in flight of which the answers are awaited; the answers to more are ignored.
	maxProbes = 2 * maxRelayedProbes
	// probesPerSync is how often a probe also carries summaries: every which one.
	probesPerSync = 5
	// After this fraction of the probe timeout a relay sends its Nack, to arrive before the requester's own timeout.
	nackTimeoutNumerator, nackTimeoutDenominator = 4, 5
	// probeStages is how many stages of a probe share a probe interval: the direct and the indirect one.
	probeStages = 2
)

// probe is a ping in flight.
type probe struct {
	target   string // empty for a seed, whose name is not known
	nonce    uint64
	sentAt   time.Duration
	indirect bool // other members were asked to ping the target
	relays   int  // how many of them
	nacks    int  // answers of them that the target was silent
	// Of a probe on behalf of another member:
	requester      string // the member that asked for it; empty for a probe of this member's own
	requesterNonce uint64
	nackSent       bool
}

// start gives the probe the nonce and the time of its ping.
func (p *probe) start(now time.Duration, nonce uint64) {
	p.nonce = nonce
	p.sentAt = now
}

// requestIndirectPings asks random members to ping the target, which did not answer.
func (p *probe) requestIndirectPings(rng *rand.Rand, out *outbox, table *memberTable, target *member) {
	relays := table.random(rng, indirectProbes, func(m *member) bool { return m.State == Alive && m != target })
	for _, relay := range relays {
		if out.transmitTo(relay, &Message{Kind: IndirectPing, Nonce: p.nonce, Target: target.Name}) {
			p.relays++
		}
	}
}

// answerRequester sends an Ack or a Nack to the member that asked for the probe.
func (p *probe) answerRequester(out *outbox, table *memberTable, kind Kind) {
	if requester := table.get(p.requester); requester != nil {
		out.transmitTo(requester, &Message{Kind: kind, Nonce: p.requesterNonce})
	}
}

// probeStep is what has to be done about a probe in flight.
type probeStep int

const (
	awaitAnswer     probeStep = iota // nothing: its timeout has not passed
	endSilently                      // it is over, and nobody is to be told
	sendNack                         // notify the member that asked for it
	probeIndirectly                  // ask other members to ping the target
	declareFailed                    // nobody had an answer from the target
)

// failureDetector is the failure detector of SWIM with Lifeguard's local health: each interval one member is pinged, in
// an order that is shuffled after each round; one that does not answer is pinged by indirectProbes others. It awaits the
// answers of at most maxProbes probes.
type failureDetector struct {
	probeInterval time.Duration
	probeTimeout  time.Duration
	health        awareness
	probes        []*probe // in flight, in the order they were sent
	orderIndex    int      // of the next member to probe in the order of the member table
	probeCount    int
}

func newFailureDetector(probeInterval, probeTimeout time.Duration) *failureDetector {
	return &failureDetector{probeInterval: probeInterval, probeTimeout: probeTimeout}
}

// interval is the time until the next probe.
func (d *failureDetector) interval() time.Duration { return d.health.scale(d.probeInterval) }

// nextTarget returns the member to probe next, or nil if none is in the fleet.
func (d *failureDetector) nextTarget(rng *rand.Rand, table *memberTable) *member {
	d.probeCount++
	for range table.len() {
		if d.orderIndex >= table.len() {
			d.orderIndex = 0
			table.shuffle(rng)
		}
		m := table.at(d.orderIndex)
		d.orderIndex++
		if m.State.InFleet() {
			return m
		}
	}
	return nil
}

// carriesSummaries reports whether the probe of the last target is one that carries summaries.
func (d *failureDetector) carriesSummaries() bool { return d.probeCount%probesPerSync == 0 }

// await notes a ping that was sent. Its answer is ignored if too many are awaited.
func (d *failureDetector) await(p *probe) {
	if len(d.probes) < maxProbes {
		d.probes = append(d.probes, p)
	}
}

// inFlight returns the probes whose answers are awaited, in the order they were sent.
func (d *failureDetector) inFlight() []*probe { return slices.Clone(d.probes) }

// canRelay reports whether a probe on behalf of another member may be begun.
func (d *failureDetector) canRelay() bool { return len(d.probes) < maxRelayedProbes }

// end no longer awaits the answer to a probe.
func (d *failureDetector) end(p *probe) {
	d.probes = slices.DeleteFunc(d.probes, func(other *probe) bool { return other == p })
}

// byNonce returns the probe in flight with a nonce, or nil.
func (d *failureDetector) byNonce(nonce uint64) *probe {
	i := slices.IndexFunc(d.probes, func(p *probe) bool { return p.nonce == nonce })
	if i < 0 {
		return nil
	}
	return d.probes[i]
}

// acknowledge ends the probe that an Ack answers and returns it, or nil if it answers none. Until other members were
// asked to ping the target, nobody but the target was sent the nonce, so only its own Ack counts.
func (d *failureDetector) acknowledge(sender string, nonce uint64) *probe {
	p := d.byNonce(nonce)
	if p == nil {
		return nil
	}
	if p.target != "" && sender != p.target && !p.indirect {
		return nil
	}
	d.end(p)
	if p.requester == "" {
		d.health.lower()
	}
	return p
}

// countNack counts a member that could not reach the target of an indirect probe but is itself reachable.
func (d *failureDetector) countNack(nonce uint64) {
	if p := d.byNonce(nonce); p != nil {
		p.nacks++
	}
}

// timeout is how long after its ping a probe enters its next stage.
func (d *failureDetector) timeout(p *probe) time.Duration {
	switch {
	case p.requester != "" && !p.nackSent:
		return d.probeTimeout * nackTimeoutNumerator / nackTimeoutDenominator
	case p.requester == "" && !p.indirect:
		return min(d.health.scale(d.probeTimeout), d.interval()/probeStages)
	default:
		return d.interval()
	}
}

// nextTimeout returns when the next probe in flight enters its next stage.
func (d *failureDetector) nextTimeout() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, p := range d.probes {
		next = min(next, p.sentAt+d.timeout(p))
	}
	return next
}

// advance takes a probe whose timeout has passed to its next stage: from direct to indirect to failed, or, on behalf of
// another member, from pending to Nack sent to ended. It returns what has to be done for that.
func (d *failureDetector) advance(now time.Duration, pending *probe, targetKnown bool) probeStep {
	switch {
	case now-pending.sentAt < d.timeout(pending):
		return awaitAnswer
	case pending.requester != "" && !pending.nackSent:
		pending.nackSent = true
		return sendNack
	case pending.requester != "" || !targetKnown:
		d.end(pending)
		return endSilently
	case !pending.indirect:
		pending.indirect = true
		return probeIndirectly
	default:
		d.fail(pending)
		return declareFailed
	}
}

// noteRefutation records that this member was suspected: it may be slow or cut off itself.
func (d *failureDetector) noteRefutation() { d.health.raise(1) }

// fail ends a probe that nobody had an answer to. Where the relays did not send a Nack either, this member is as likely
// to be the one that is cut off, and its health score grows by half their number.
func (d *failureDetector) fail(p *probe) {
	d.end(p)
	missingNacks := max(0, p.relays-p.nacks)
	d.health.raise(1 + missingNacks/missingNacksPerPenalty)
}

// recoverFromPause abandons the probes that were in flight while this member did not run: that nothing was received in
// that time proves nothing.
func (d *failureDetector) recoverFromPause() {
	d.probes = nil
	d.health.raise(pausePenalty)
}
