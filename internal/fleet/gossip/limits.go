package gossip

import (
	"net/netip"
	"time"

	"calicohill/internal/stats/ratelimit"
)

// Rates and bursts of the token buckets, as fractions of Config.MaxMessagesPerSecond. The rate and the burst for all
// messages add up to 1, so that no one-second window exceeds the limit.
const (
	sendRateFraction    = 0.6 // all messages
	sendBurstFraction   = 0.4
	gossipRateFraction  = 0.2 // leaves budget for pings and acks
	gossipBurstFraction = 0.3
	answerFraction      = 0.3 // acks and other answers, for all senders together
	noticeFraction      = 0.1 // notices to suspects
)

// Rates (per second) and bursts of the token buckets for each member.
const (
	claimRate        = 1.0 // applied claims
	claimBurst       = 4.0
	answerRate       = 1.0 // answered requests
	answerBurst      = 4.0
	nonMembersFactor = 3.0 // all non-members together have the answer budget of this many members
)

// rateLimits limits the messages that a Core sends with a token bucket for each purpose. At most perSecond messages are
// sent in any second, and neither gossip nor answers can use up the budget for probes.
type rateLimits struct {
	perSecond        float64               // Config.MaxMessagesPerSecond
	send             ratelimit.TokenBucket // all messages
	gossip           ratelimit.TokenBucket
	notices          ratelimit.TokenBucket
	answers          ratelimit.TokenBucket // answers to all senders
	nonMemberAnswers ratelimit.TokenBucket // answers to senders that are not members
}

// memberBudgets limits the work that a single member can cause.
type memberBudgets struct {
	answers ratelimit.TokenBucket // answers to its requests
	claims  ratelimit.TokenBucket // applied claims
}

// newRateLimits returns limits whose token buckets start empty.
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

// allowAnswer takes one answer from the budget of a sender and one from the shared answer budget. sender is nil for
// non-members. Without these limits, a member that floods this one with requests would use up the budget for probes and
// for answers to other members.
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

// take takes one token from a bucket whose rate and burst are fractions of perSecond.
func (l *rateLimits) take(now time.Duration, bucket *ratelimit.TokenBucket, rateFraction, burstFraction float64) bool {
	return bucket.Take(now, 1, rateFraction*l.perSecond, burstFraction*l.perSecond)
}

// allowClaim takes one claim from the member's budget.
func (b *memberBudgets) allowClaim(now time.Duration) bool {
	return b.claims.Take(now, 1, claimRate, claimBurst)
}

// Budgets of signature checks, as fractions of GuardConfig.MaxChecksPerSecond. They are separate so that neither
// datagrams with forged addresses nor a single member can use up the budget of members that have shown a valid cookie.
const (
	peerCheckFraction    = 0.2  // for each member with a valid cookie
	knownCheckFraction   = 0.25 // for all datagrams without a valid cookie from addresses of members and seeds
	unknownCheckFraction = 0.1  // for all other datagrams
)

// checkLimits limits the signature checks of a Guard. Each member with a valid cookie has its own budget, known
// addresses share one, and all other addresses share another. In total, both the rate per second and the burst are
// perSecond.
type checkLimits struct {
	perSecond  float64                 // GuardConfig.MaxChecksPerSecond
	knownAddrs map[netip.AddrPort]bool // addresses of seeds and members
	total      ratelimit.TokenBucket   // all datagrams
	known      ratelimit.TokenBucket   // datagrams without a valid cookie from known addresses
	unknown    ratelimit.TokenBucket   // all other datagrams
}

// checkBudget is the signature check budget that applies to a datagram.
type checkBudget struct {
	limits *checkLimits
	bucket *ratelimit.TokenBucket
	rate   float64 // rate per second and burst
	now    time.Duration
}

// newCheckLimits returns limits whose token buckets start empty.
func newCheckLimits(maxChecksPerSecond int, knownAddrs []netip.AddrPort) *checkLimits {
	limits := &checkLimits{perSecond: float64(maxChecksPerSecond), knownAddrs: map[netip.AddrPort]bool{}}
	limits.setKnownAddrs(knownAddrs)
	return limits
}

// setKnownAddrs replaces the set of seed and member addresses.
func (l *checkLimits) setKnownAddrs(addrs []netip.AddrPort) {
	clear(l.knownAddrs)
	for _, addr := range addrs {
		l.knownAddrs[addr] = true
	}
}

// budgetFor returns the budget for a datagram. trusted is true if the datagram has a valid cookie. Otherwise the budget
// depends only on the source address, which may be forged.
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

// spend takes one check from the budget of the sender and from the total budget. It reports whether both allowed it.
func (b checkBudget) spend() bool {
	total := b.limits.perSecond
	return b.bucket.Take(b.now, 1, b.rate, b.rate) && b.limits.total.Take(b.now, 1, total, total)
}

// RateMeter measures the peak message rate of a member, for comparison with Config.MaxMessagesPerSecond. The zero value
// is ready to use.
type RateMeter struct {
	peak   int
	recent []time.Duration // send times within the last second
}

// Record counts a message sent at now.
func (m *RateMeter) Record(now time.Duration) {
	m.recent = append(m.recent, now)
	for now-m.recent[0] >= time.Second {
		m.recent = m.recent[1:]
	}
	m.peak = max(m.peak, len(m.recent))
}

// Peak returns the largest number of messages in any one-second window so far.
func (m *RateMeter) Peak() int { return m.peak }
