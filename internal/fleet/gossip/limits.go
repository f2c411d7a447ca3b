package gossip

import (
	"net/netip"
	"time"

	"calicohill/internal/stats/ratelimit"
)

// Fractions of Config.MaxMessagesPerSecond, as the rate per second and the burst of a token bucket.
const (
	sendRateFraction    = 0.6 // the rate and the burst of all messages together are the most that any second sees
	sendBurstFraction   = 0.4
	gossipRateFraction  = 0.2 // gossip takes a part only, so that pings and acks always find some budget
	gossipBurstFraction = 0.3
	answerFraction      = 0.3 // acks and other answers to all senders together
	noticeFraction      = 0.1 // notices to suspects
)

// Limits per member, in messages per second and messages at once.
const (
	claimRate        = 1.0 // claims that are applied
	claimBurst       = 4.0
	answerRate       = 1.0 // requests that are answered
	answerBurst      = 4.0
	nonMembersFactor = 3.0 // senders that are not members are answered as often as this many members
)

// rateLimits bounds what a Core sends by token buckets, one for each purpose: no more than perSecond messages leave in
// any second, and neither gossip nor answers can use up what probes need.
type rateLimits struct {
	perSecond        float64               // Config.MaxMessagesPerSecond
	send             ratelimit.TokenBucket // all messages
	gossip           ratelimit.TokenBucket
	notices          ratelimit.TokenBucket
	answers          ratelimit.TokenBucket // to all senders together
	nonMemberAnswers ratelimit.TokenBucket // to senders that are not members
}

// memberBudgets bounds the work that one member causes.
type memberBudgets struct {
	answers ratelimit.TokenBucket // requests of it that are answered
	claims  ratelimit.TokenBucket // claims of it that are applied
}

// newRateLimits returns limits with empty budgets, which fill with time.
func newRateLimits(maxMessagesPerSecond int) *rateLimits {
	return &rateLimits{perSecond: float64(maxMessagesPerSecond)}
}

// allowSend takes one message from the budget of all messages.
func (l *rateLimits) allowSend(now time.Duration) bool {
	return l.take(now, &l.send, sendRateFraction, sendBurstFraction)
}

// allowGossip takes one message from the budget of gossip.
func (l *rateLimits) allowGossip(now time.Duration) bool {
	return l.take(now, &l.gossip, gossipRateFraction, gossipBurstFraction)
}

// allowNotice takes one message from the budget of notices to suspects.
func (l *rateLimits) allowNotice(now time.Duration) bool {
	return l.take(now, &l.notices, noticeFraction, noticeFraction)
}

// allowAnswer takes one answer from the budget of a sender, which is nil for one that is not a member, and one from the
// budget of all. Without these limits a member that sends requests all the time would use up what this member's own
// pings and its answers to others need.
func (l *rateLimits) allowAnswer(now time.Duration, sender *member) bool {
	bucket := &l.nonMemberAnswers
	factor := nonMembersFactor
	if sender != nil {
		bucket = &sender.budgets.answers
		factor = 1
	}
	return bucket.Take(now, 1, factor*answerRate, factor*answerBurst) &&
		l.take(now, &l.answers, answerFraction, answerFraction)
}

// take takes one message from a bucket that holds a fraction of the messages per second.
func (l *rateLimits) take(now time.Duration, bucket *ratelimit.TokenBucket, rateFraction, burstFraction float64) bool {
	return bucket.Take(now, 1, rateFraction*l.perSecond, burstFraction*l.perSecond)
}

// allowClaim takes one claim from the member's budget.
func (b *memberBudgets) allowClaim(now time.Duration) bool {
	return b.claims.Take(now, 1, claimRate, claimBurst)
}

// Fractions of GuardConfig.MaxChecksPerSecond, which each have a budget of their own. So neither datagrams with forged
// addresses nor one member can use up what is needed for the members that have shown a cookie.
const (
	peerCheckFraction    = 0.2  // for each member that shows a cookie
	knownCheckFraction   = 0.25 // for all datagrams without one from addresses of members and seeds
	unknownCheckFraction = 0.1  // for all others
)

// checkLimits bounds the signatures that a Guard verifies for datagrams, by the rank of their apparent senders: members
// that show a cookie have a budget each, known addresses one together, and all others one. No more than perSecond are
// verified in a second, nor at once.
type checkLimits struct {
	perSecond  float64                 // GuardConfig.MaxChecksPerSecond
	knownAddrs map[netip.AddrPort]bool // of seeds and members
	total      ratelimit.TokenBucket   // for all datagrams
	known      ratelimit.TokenBucket   // for datagrams without a cookie from known addresses
	unknown    ratelimit.TokenBucket   // for all other datagrams without a cookie
}

// checkBudget is the budget of signature checks of a datagram's apparent sender.
type checkBudget struct {
	limits *checkLimits
	bucket *ratelimit.TokenBucket
	rate   float64 // per second; also the burst
	now    time.Duration
}

// newCheckLimits returns limits with empty budgets, which fill with time.
func newCheckLimits(maxChecksPerSecond int, knownAddrs []netip.AddrPort) *checkLimits {
	limits := &checkLimits{perSecond: float64(maxChecksPerSecond), knownAddrs: map[netip.AddrPort]bool{}}
	limits.setKnownAddrs(knownAddrs)
	return limits
}

// setKnownAddrs replaces the addresses of seeds and members.
func (l *checkLimits) setKnownAddrs(addrs []netip.AddrPort) {
	clear(l.knownAddrs)
	for _, addr := range addrs {
		l.knownAddrs[addr] = true
	}
}

// budgetFor returns the budget for a datagram. The sender is trusted if it shows a valid cookie; else only the address,
// which may be forged, ranks it.
func (l *checkLimits) budgetFor(sender *peer, trusted bool, from netip.AddrPort, now time.Duration) checkBudget {
	bucket := &l.unknown
	fraction := unknownCheckFraction
	switch {
	case trusted:
		bucket = &sender.checkBudget
		fraction = peerCheckFraction
	case l.knownAddrs[from]:
		bucket = &l.known
		fraction = knownCheckFraction
	}
	return checkBudget{limits: l, bucket: bucket, rate: max(fraction*l.perSecond, 1), now: now}
}

// spend takes one check, from the sender's budget and from that of all senders.
func (b checkBudget) spend() bool {
	total := b.limits.perSecond
	return b.bucket.Take(b.now, 1, b.rate, b.rate) && b.limits.total.Take(b.now, 1, total, total)
}

// RateMeter measures how many messages a member sends in a second, to compare with Config.MaxMessagesPerSecond. The zero
// RateMeter is ready for use.
type RateMeter struct {
	peak   int
	recent []time.Duration // when the messages of the last second were sent
}

// Record counts a message that was sent now.
func (m *RateMeter) Record(now time.Duration) {
	m.recent = append(m.recent, now)
	for now-m.recent[0] >= time.Second {
		m.recent = m.recent[1:]
	}
	m.peak = max(m.peak, len(m.recent))
}

// Peak returns the largest number of messages in any second so far.
func (m *RateMeter) Peak() int { return m.peak }
