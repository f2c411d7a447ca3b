package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// indirectProbes is the number of relays that are asked to ping a target that did not answer.
	indirectProbes = 3
	// maxRelayedProbes is the number of probes in flight at which new indirect pings are answered with a Nack at once.
	maxRelayedProbes = 64
	// maxProbes is the maximum number of tracked probes in flight. Answers to further probes are ignored.
	maxProbes = 2 * maxRelayedProbes
	// Every probesPerSync-th probe carries summaries.
	probesPerSync = 5
	// A relay sends its Nack after this fraction of the probe timeout, so that it arrives before the requester times
	// out.
	nackTimeoutNumerator, nackTimeoutDenominator = 4, 5
	// probeStages is the number of stages of a probe that share a probe interval: direct and indirect.
	probeStages = 2
)

// probe is a ping in flight.
type probe struct {
	target   string // empty for a seed, whose name is unknown
	nonce    uint64
	sentAt   time.Duration
	indirect bool // relays were asked to ping the target
	relays   int  // number of relays
	nacks    int  // number of Nacks received from relays
	// Fields of a probe on behalf of another member:
	requester      string // member that sent the IndirectPing; empty for own probes
	requesterNonce uint64
	nackSent       bool
}

// start sets the nonce and the send time of the ping.
func (p *probe) start(now time.Duration, nonce uint64) {
	p.nonce = nonce
	p.sentAt = now
}

// requestIndirectPings asks random alive members to ping the target, which did not answer.
func (p *probe) requestIndirectPings(rng *rand.Rand, out *outbox, table *memberTable, target *member) {
	relays := table.random(rng, indirectProbes, func(m *member) bool { return m.State == Alive && m != target })
	for _, relay := range relays {
		if out.transmitTo(relay, &Message{Kind: IndirectPing, Nonce: p.nonce, Target: target.Name}) {
			p.relays++
		}
	}
}

// answerRequester sends an Ack or a Nack to the member that requested the probe.
func (p *probe) answerRequester(out *outbox, table *memberTable, kind Kind) {
	if requester := table.get(p.requester); requester != nil {
		out.transmitTo(requester, &Message{Kind: kind, Nonce: p.requesterNonce})
	}
}

// probeStep is the next step for a probe in flight.
type probeStep int

const (
	awaitAnswer     probeStep = iota // the timeout has not expired
	endSilently                      // the probe has ended without further action
	sendNack                         // send a Nack to the requester
	probeIndirectly                  // ask relays to ping the target
	declareFailed                    // neither this member nor a relay had an answer from the target
)

// failureDetector is SWIM's failure detector with Lifeguard's local health. Each interval it pings one member, in an
// order that is reshuffled after each round. If the member does not answer, indirectProbes relays are asked to ping it.
// At most maxProbes probes are tracked.
type failureDetector struct {
	probeInterval time.Duration
	probeTimeout  time.Duration
	health        awareness
	probes        []*probe // probes in flight in send order
	orderIndex    int      // index of the next target in the probe order
	probeCount    int
}

func newFailureDetector(probeInterval, probeTimeout time.Duration) *failureDetector {
	return &failureDetector{probeInterval: probeInterval, probeTimeout: probeTimeout}
}

// interval returns the time between two probes.
func (d *failureDetector) interval() time.Duration { return d.health.scale(d.probeInterval) }

// nextTarget returns the next member to probe, or nil if no other member is in the fleet.
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

// carriesSummaries reports whether the probe of the last target returned by nextTarget carries summaries.
func (d *failureDetector) carriesSummaries() bool { return d.probeCount%probesPerSync == 0 }

// track adds a probe whose ping was sent to the tracked probes. If maxProbes are already tracked, the answer will be
// ignored.
func (d *failureDetector) track(p *probe) {
	if len(d.probes) < maxProbes {
		d.probes = append(d.probes, p)
	}
}

// inFlight returns a copy of the tracked probes in send order.
func (d *failureDetector) inFlight() []*probe { return slices.Clone(d.probes) }

// canRelay reports whether another probe on behalf of a requester may be started.
func (d *failureDetector) canRelay() bool { return len(d.probes) < maxRelayedProbes }

// end stops tracking a probe.
func (d *failureDetector) end(p *probe) {
	d.probes = slices.DeleteFunc(d.probes, func(other *probe) bool { return other == p })
}

// byNonce returns the tracked probe with a nonce, or nil.
func (d *failureDetector) byNonce(nonce uint64) *probe {
	i := slices.IndexFunc(d.probes, func(p *probe) bool { return p.nonce == nonce })
	if i < 0 {
		return nil
	}
	return d.probes[i]
}

// acknowledge ends the probe that an Ack answers and returns it, or nil if there is none. Before relays are involved,
// only the target has received the nonce, so an Ack of any other sender is ignored.
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

// countNack counts a Nack: the relay is reachable but had no answer from the target.
func (d *failureDetector) countNack(nonce uint64) {
	if p := d.byNonce(nonce); p != nil {
		p.nacks++
	}
}

// timeout returns the time from the ping of a probe to its next stage.
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

// nextTimeout returns the earliest time at which a probe in flight enters its next stage.
func (d *failureDetector) nextTimeout() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, p := range d.probes {
		next = min(next, p.sentAt+d.timeout(p))
	}
	return next
}

// advance moves a probe whose timeout has expired to its next stage and returns the step to perform. Own probes go from
// direct to indirect to failed. Probes on behalf of a requester go from pending to Nack sent to ended.
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

// recordRefutation raises the health score after this member was suspected, since it may be slow or partitioned itself.
func (d *failureDetector) recordRefutation() { d.health.raise(1) }

// fail ends an unanswered probe and raises the health score. Each missingNacksPerPenalty relays without a Nack raise it
// by 1 more, because this member may be the one that is partitioned.
func (d *failureDetector) fail(p *probe) {
	d.end(p)
	missingNacks := max(0, p.relays-p.nacks)
	d.health.raise(1 + missingNacks/missingNacksPerPenalty)
}

// recoverFromPause drops the probes that were in flight during a pause of the process. Their missing answers are no
// evidence of failures.
func (d *failureDetector) recoverFromPause() {
	d.probes = nil
	d.health.raise(pausePenalty)
}
