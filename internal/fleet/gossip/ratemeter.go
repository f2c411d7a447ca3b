package gossip

import "time"

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
