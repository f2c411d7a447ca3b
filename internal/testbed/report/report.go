// Package report defines the results of the testbed's experiments, and plots them.
package report

import (
	"fmt"
	"time"
)

// Report is the result of an experiment, which the command testbed prints as JSON: a GossipResult, VirtualGossipResult,
// ColdStartResult, VirtualColdStartResult, MatchResult or SoakResult.
//
// Keys are in snake_case and consist of the quantity, the condition (alone, without_rules) and the unit, in this order.
// Units are _ms, _us, _ns, _seconds, _kb, _bytes, _share (a fraction of 1) and _100ms (a count in any window of 100 ms), or
// a rate such as _per_second and _us_per_request. A key without a unit is a count, or a ratio if it has the form a_over_b.
// A key that repeats a flag's value has the name of the flag.
type Report interface{ isReport() }

func (GossipResult) isReport()           {}
func (VirtualGossipResult) isReport()    {}
func (ColdStartResult) isReport()        {}
func (VirtualColdStartResult) isReport() {}
func (MatchResult) isReport()            {}
func (SoakResult) isReport()             {}

// GossipResult is the result of experiment.Gossip. Times are in milliseconds, shares are fractions of 1.
type GossipResult struct {
	Instances              int     `json:"instances"`
	Workers                int     `json:"workers"`
	Byzantine              int     `json:"hostile"`
	Seconds                float64 `json:"seconds"`
	Messages               float64 `json:"messages_per_second"`            // sent by the busiest instance, averaged over the run
	MessagesPeak           float64 `json:"messages_peak_per_second"`       // highest number in any second of any instance
	MessagesLimit          int     `json:"messages_limit_per_second"`      // configured maximum in any second
	Bytes                  float64 `json:"bytes_per_second"`               // sent by the busiest instance
	WronglyEjected         float64 `json:"wrongly_ejected_worker_seconds"` // ejection time of healthy workers, summed over instances
	Served                 float64 `json:"served_share"`                   // with byzantine members
	ServedWithoutByzantine float64 `json:"served_without_liar_share"`
	ServedAlone            float64 `json:"served_alone_share"`
	Lost                   int     `json:"lost_to_silent"`
	LostWithoutByzantine   int     `json:"lost_to_silent_without_liar"`
	LostAlone              int     `json:"lost_to_silent_alone"`
	DetectionMillis        float64 `json:"notice_ms"`
	DetectionMillisAlone   float64 `json:"notice_alone_ms"`
	CPUFlooded             float64 `json:"cpu_flooded_share"`   // additional fraction of a core during the flood
	MemoryFlooded          int     `json:"memory_flooded_kb"`   // growth in the second half of the flood
	CPU                    float64 `json:"cpu_unflooded_share"` // fraction of a core, of the same instance without load
	PeersIgnored           int     `json:"peers_ignored"`       // how often an instance began to ignore a peer, in the run with byzantine members
}

// VirtualGossipResult is the cost of gossip in fleets of growing size in virtual time.
type VirtualGossipResult struct {
	Sizes          []VirtualGossipSize `json:"sizes"`
	MessagesGrowth float64             `json:"messages_largest_over_smallest"` // ratio of messages per second and instance, largest to smallest fleet
	WallSeconds    float64             `json:"wall_seconds"`
}

// VirtualGossipSize is the cost of gossip in a fleet of one size.
type VirtualGossipSize struct {
	Instances            int     `json:"instances"`
	Messages             float64 `json:"messages_per_second"`      // sent per instance, mean over the instances
	MessagesPeak         int     `json:"messages_peak_per_second"` // highest number in any second of any instance
	Bytes                float64 `json:"bytes_per_second"`
	DeathKnownMillis     float64 `json:"death_known_ms"`     // until 99% of the other members suspect a dead one; median of five deaths
	StatementKnownMillis float64 `json:"statement_known_ms"` // from a broadcast until 99% of the members have the statement
	HeapKB               float64 `json:"heap_kb_per_instance"`
}

// ColdStartResult is the result of experiment.ColdStart.
type ColdStartResult struct {
	Program  ColdStartMetrics  `json:"program"`
	Baseline *ColdStartMetrics `json:"baseline,omitempty"`
}

// ColdStartMetrics is the measurements of experiment.ColdStart with one build. Times are in milliseconds, shares are
// fractions of 1.
type ColdStartMetrics struct {
	PollsPeak              int      `json:"polls_peak_100ms"`          // highest number of polls in any 100 ms
	PollsEven              float64  `json:"polls_even_100ms"`          // expected peak if polls are spread evenly over the poll period of 2 s
	PollsSent              int      `json:"polls_sent"`                // before each scheduler had the last event
	PollsNeeded            int      `json:"polls_needed"`              // per scheduler one, and one more for each 7 s of waiting
	ConnectsPeak           int      `json:"connects_peak_100ms"`       // at the list service
	Connects               int      `json:"connects"`                  // at the list service, over the whole run
	Bytes                  int      `json:"list_bytes"`                // size of all lists sent, over the whole run
	AllListed              float64  `json:"all_listed_ms"`             // from the last step until all schedulers had the last event; -1 if some never had it
	Limit                  float64  `json:"limit_ms"`                  // lower bound of AllListed that follows from the capacity of the list service
	AgentConnects          int      `json:"agent_connects_peak_100ms"` // at the worker with the highest peak
	Handshakes             float64  `json:"handshakes_per_scheduler"`
	Workers                float64  `json:"workers_per_scheduler"`           // workers to which a scheduler sent requests
	PreferredWorkers       float64  `json:"preferred_workers_per_scheduler"` // distinct preferred workers of the functions that a scheduler was called for
	Loads                  int      `json:"loads"`
	Crashed                int      `json:"workers_crashed"`
	PeakWarmUpLoadFraction float64  `json:"warm_up_load_peak_share"` // peak load of a worker while warming up, as a fraction of the load at which it crashes
	RefusedConnections     int      `json:"agent_connects_refused"`  // connections beyond the limit of the workers
	Served                 float64  `json:"served_share"`
	Requests               int      `json:"requests"`
	Lost                   int      `json:"lost"` // requests without a response
	RulesBroken            []string `json:"rules_broken"`
	Late                   float64  `json:"machine_late_ms"` // longest wake-up delay of the testbed's own goroutines on this machine

	pollTimes         []time.Duration
	agentConnectTimes []time.Duration
}

// Summary returns a one-line summary of the metrics.
func (m *ColdStartMetrics) Summary() string {
	return fmt.Sprintf("served %.4f of %d, at most %d polls and %d connections within 100 ms at the list service, %d at a worker; all listed after %.0f ms; %d rules broken",
		m.Served, m.Requests, m.PollsPeak, m.ConnectsPeak, m.AgentConnects, m.AllListed, len(m.RulesBroken))
}

// RecordPolls records the arrival times of polls at the list service, relative to the start of the run.
func (m *ColdStartMetrics) RecordPolls(times []time.Duration) {
	m.pollTimes = times
	m.PollsPeak = PeakPer100ms(times, 0)
}

// RecordAgentConnects adds the times of connections to a worker, relative to the start of the run.
func (m *ColdStartMetrics) RecordAgentConnects(times []time.Duration) {
	m.agentConnectTimes = append(m.agentConnectTimes, times...)
	m.AgentConnects = max(m.AgentConnects, PeakPer100ms(times, 0))
}

// VirtualColdStartResult is the result of simulating the poll planners and the Routers of a fleet in virtual time.
type VirtualColdStartResult struct {
	List    []VirtualPollResult       `json:"list_service"`
	Workers map[string]VirtualMetrics `json:"workers"` // by experiment
}

// VirtualPollResult is the result of simulating the polls of a fleet of one size in virtual time.
type VirtualPollResult struct {
	Schedulers      int            `json:"schedulers"`
	EvenPeak        float64        `json:"polls_even_100ms"`
	Peaks           map[string]int `json:"polls_peak_100ms"`      // by fault
	AllListedMillis float64        `json:"crowded_all_listed_ms"` // -1 if some scheduler never got the list
	LimitMillis     float64        `json:"crowded_limit_ms"`      // lower bound that follows from the capacity of the list service
	Sent            int            `json:"crowded_polls_sent"`
	Needed          int            `json:"crowded_polls_needed"`
}

// VirtualMetrics is the result of virtual.Experiment.
type VirtualMetrics struct {
	Schedulers     int       `json:"schedulers"`
	Workers        int       `json:"workers"`
	ServedFraction float64   `json:"served_share"`
	ServedBySecond []float64 `json:"served_by_second_share"`
	Rejected       int       `json:"rejected"`
	Handshakes     float64   `json:"handshakes_per_scheduler"`
	ConnectsPeak   int       `json:"agent_connects_peak_100ms"` // at the worker with the highest peak
	Loads          int       `json:"loads"`
	Crashed        int       `json:"workers_crashed"` // by overload while warming up
}

// MatchResult is the result of experiment.Match.
type MatchResult struct {
	Rules          int         `json:"rules"`
	Rate           float64     `json:"rate"`
	Hostile        bool        `json:"hostile"`
	Sizes          []MatchSize `json:"sizes"`
	RulesRatio     float64     `json:"plain_p50_1000_over_10_rules"` // ratio of medians
	HostileRatio   float64     `json:"hostile_p99_over_plain_p50"`   // at the largest measured size up to Rules
	Served         float64     `json:"served_share"`
	ServedPlain    float64     `json:"served_without_rules_share"`
	P99Millis      float64     `json:"p99_ms"`
	P99MillisPlain float64     `json:"p99_without_rules_ms"`
	CPUMicros      float64     `json:"cpu_us_per_request"`
	CPUMicrosPlain float64     `json:"cpu_without_rules_us_per_request"`
	MemoryKB       int         `json:"memory_kb"`
	MemoryKBPlain  int         `json:"memory_without_rules_kb"`
}

// MatchSize is the evaluation time with a given number of rules, in nanoseconds.
type MatchSize struct {
	Rules      int     `json:"rules"`
	Plain      float64 `json:"plain_p50_ns"`
	PlainP99   float64 `json:"plain_p99_ns"`
	Hostile    float64 `json:"hostile_p50_ns"`
	HostileP99 float64 `json:"hostile_p99_ns"`
	LoadMillis float64 `json:"load_ms"`
}
