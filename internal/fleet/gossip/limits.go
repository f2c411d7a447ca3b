package gossip

import "calicohill/internal/stats/ratelimit"

// Fractions of Config.MaxMessagesPerSecond, as the rate per second and the burst of a token bucket.
const (
	sendRateFraction    = 0.6 // the rate and the burst of all messages together are the most that any second sees
	sendBurstFraction   = 0.4
	gossipRateFraction  = 0.2 // gossip takes a part only, so that pings and acks always find some budget
	gossipBurstFraction = 0.3
	answerFraction      = 0.3 // acks and other answers to all senders together
	noticeFraction      = 0.1 // notices to suspects, see notifySuspect
)

// Limits per member, in messages per second and messages at once.
const (
	claimRate        = 1.0 // claims that are applied
	claimBurst       = 4.0
	answerRate       = 1.0 // requests that are answered
	answerBurst      = 4.0
	nonMembersFactor = 3.0 // senders that are not members are answered as often as this many members
)

// budgets limits what a Core sends, by purpose.
type budgets struct {
	send             ratelimit.TokenBucket // all messages
	gossip           ratelimit.TokenBucket
	notices          ratelimit.TokenBucket
	answers          ratelimit.TokenBucket // to all senders together
	nonMemberAnswers ratelimit.TokenBucket // to senders that are not members
}

// takeFraction takes one message from a bucket that holds a fraction of Config.MaxMessagesPerSecond.
func (c *Core) takeFraction(bucket *ratelimit.TokenBucket, rateFraction, burstFraction float64) bool {
	limit := float64(c.config.MaxMessagesPerSecond)
	return bucket.Take(c.now, 1, rateFraction*limit, burstFraction*limit)
}

// mayGossip takes one message from the budget of gossip.
func (c *Core) mayGossip() bool {
	return c.takeFraction(&c.budgets.gossip, gossipRateFraction, gossipBurstFraction)
}

// mayAnswer takes one answer from the budget of a sender, which is nil for one that is not a member, and one from the
// budget of all. Without these limits a member that sends requests all the time would use up what this member's own
// pings and its answers to others need.
func (c *Core) mayAnswer(from *member) bool {
	bucket := &c.budgets.nonMemberAnswers
	factor := nonMembersFactor
	if from != nil {
		bucket = &from.answerBudget
		factor = 1
	}
	return bucket.Take(c.now, 1, factor*answerRate, factor*answerBurst) &&
		c.takeFraction(&c.budgets.answers, answerFraction, answerFraction)
}
