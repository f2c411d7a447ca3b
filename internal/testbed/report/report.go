// Package report has what the experiments of the testbed measured, as the command testbed prints and plots it.
package report

import (
	"fmt"
	"time"
)

// Report is what an experiment measured, as the command testbed prints it in JSON: a GossipResult, VirtualGossipResult,
// ColdStartResult, VirtualColdStartResult or MatchResult.
//
// Keys are in snake_case: what is measured, then under which condition (alone, without_rules), last the unit. Units are
// _ms, _us, _ns, _seconds, _kb, _bytes, _share (a fraction of 1) and _100ms (a count within any 100 ms), or one of these
// per something: _per_second, _us_per_request. A key without a unit is a count, or a ratio where it says a_over_b. What
// only repeats a flag has the flag's name.
type Report interface{ isReport() }

func (GossipResult) isReport()           {}
func (VirtualGossipResult) isReport()    {}
func (ColdStartResult) isReport()        {}
func (VirtualColdStartResult) isReport() {}
func (MatchResult) isReport()            {}
func (SoakResult) isReport()             {}

// GossipResult is what experiment.Gossip measured. Times are in milliseconds, shares fractions of 1.
type GossipResult struct {
	Instances      int     `json:"instances"`
	Workers        int     `json:"workers"`
	Hostile        int     `json:"hostile"`
	Seconds        float64 `json:"seconds"`
	Messages       float64 `json:"messages_per_second"`            // sent by the worst instance, over the run
	Peak           float64 `json:"messages_peak_per_second"`       // the most of any second and instance
	Limit          int     `json:"messages_limit_per_second"`      // of any second
	Bytes          float64 `json:"bytes_per_second"`               // sent by the worst instance
	WronglyEjected float64 `json:"wrongly_ejected_worker_seconds"` // healthy workers that were ejected, times the instances that did
	Served         float64 `json:"served_share"`                   // with the byzantine members
	ServedHonest   float64 `json:"served_without_liar_share"`
	ServedAlone    float64 `json:"served_alone_share"`
	Lost           int     `json:"lost_to_silent"`
	LostHonest     int     `json:"lost_to_silent_without_liar"`
	LostAlone      int     `json:"lost_to_silent_alone"`
	Notice         float64 `json:"notice_ms"`
	NoticeAlone    float64 `json:"notice_alone_ms"`
	CPUFlooded     float64 `json:"cpu_flooded_share"`   // of a core, more than without the flood
	MemoryFlooded  int     `json:"memory_flooded_kb"`   // grown during the second half of the flood
	CPU            float64 `json:"cpu_unflooded_share"` // of a core, of the same instance without load
	PeersIgnored   int     `json:"peers_ignored"`       // times that an instance began to ignore a peer, in the run with the byzantine members
}

// VirtualGossipResult is what fleets of growing size cost in virtual time.
type VirtualGossipResult struct {
	Sizes          []VirtualGossipSize `json:"sizes"`
	MessagesGrowth float64             `json:"messages_largest_over_smallest"` // messages a second an instance, the largest fleet's over the smallest's
	Wall           float64             `json:"wall_seconds"`
}

// VirtualGossipSize is what a fleet of one size cost.
type VirtualGossipSize struct {
	Instances int     `json:"instances"`
	Messages  float64 `json:"messages_per_second"`      // sent by an instance, the mean
	Worst     int     `json:"messages_peak_per_second"` // the most of any second and instance
	Bytes     float64 `json:"bytes_per_second"`
	Death     float64 `json:"death_known_ms"`     // from a death until 99% of the others hold the member suspect, the median of five
	Statement float64 `json:"statement_known_ms"` // from a statement until 99% have it
	HeapKB    float64 `json:"heap_kb_per_instance"`
}

// ColdStartResult is what experiment.ColdStart measured.
type ColdStartResult struct {
	Program  ColdStartMetrics  `json:"program"`
	Baseline *ColdStartMetrics `json:"baseline,omitempty"`
}

// ColdStartMetrics is what experiment.ColdStart measured with one build. Times are in milliseconds, shares fractions of 1.
type ColdStartMetrics struct {
	PollsPeak              int      `json:"polls_peak_100ms"`          // the most polls within any 100 ms
	PollsEven              float64  `json:"polls_even_100ms"`          // one of each scheduler, spread over the protocol's 2 s
	PollsSent              int      `json:"polls_sent"`                // until each had the last event
	PollsNeeded            int      `json:"polls_needed"`              // one, and one more for each 7 s that it waited
	ConnectsPeak           int      `json:"connects_peak_100ms"`       // at the list service
	Connects               int      `json:"connects"`                  // there, over the whole run
	Bytes                  int      `json:"list_bytes"`                // of lists, over the whole run
	AllListed              float64  `json:"all_listed_ms"`             // from the last step until all had polled or got the last event; -1 where some never did
	Limit                  float64  `json:"limit_ms"`                  // what the service's capacity allows at best
	AgentConnects          int      `json:"agent_connects_peak_100ms"` // at the worker that saw the most
	Handshakes             float64  `json:"handshakes_per_scheduler"`
	Workers                float64  `json:"workers_per_scheduler"`           // that it sent anything
	PreferredWorkers       float64  `json:"preferred_workers_per_scheduler"` // of the functions requested of it: the workers that it has to connect to
	Loads                  int      `json:"loads"`
	Crashed                int      `json:"workers_crashed"`
	PeakWarmUpLoadFraction float64  `json:"warm_up_load_peak_share"` // that a worker was sent while warming up, as a fraction of what it survives
	RefusedConnections     int      `json:"agent_connects_refused"`  // over what the workers accept
	Served                 float64  `json:"served_share"`
	Requests               int      `json:"requests"`
	Lost                   int      `json:"lost"` // without any response
	RulesBroken            []string `json:"rules_broken"`
	Late                   float64  `json:"machine_late_ms"` // the worst delay with which this machine woke the testbed itself

	pollTimes         []time.Duration
	agentConnectTimes []time.Duration
}

// Summary describes the metrics in a sentence.
func (m *ColdStartMetrics) Summary() string {
	return fmt.Sprintf("served %.4f of %d, at most %d polls and %d connections within 100 ms at the list service, %d at a worker; all listed after %.0f ms; %d rules broken",
		m.Served, m.Requests, m.PollsPeak, m.ConnectsPeak, m.AgentConnects, m.AllListed, len(m.RulesBroken))
}

// RecordPolls records when polls reached the list service, counted from the beginning.
func (m *ColdStartMetrics) RecordPolls(times []time.Duration) {
	m.pollTimes = times
	m.PollsPeak = PeakPer100ms(times, 0)
}

// RecordAgentConnects records when connections to one more worker were established, counted from the beginning.
func (m *ColdStartMetrics) RecordAgentConnects(times []time.Duration) {
	m.agentConnectTimes = append(m.agentConnectTimes, times...)
	m.AgentConnects = max(m.AgentConnects, PeakPer100ms(times, 0))
}

// VirtualColdStartResult is what the planners of polls and the Routers of a fleet did in virtual time.
type VirtualColdStartResult struct {
	List    []VirtualPollResult       `json:"list_service"`
	Workers map[string]VirtualMetrics `json:"workers"` // by experiment
}

// VirtualPollResult is the polls that a fleet of one size sends to a list service in virtual time.
type VirtualPollResult struct {
	Schedulers      int            `json:"schedulers"`
	EvenPeak        float64        `json:"polls_even_100ms"`
	Peaks           map[string]int `json:"polls_peak_100ms"`      // by fault
	AllListedMillis float64        `json:"crowded_all_listed_ms"` // -1 where some scheduler never had the list
	LimitMillis     float64        `json:"crowded_limit_ms"`      // what the service's capacity allows at best
	Sent            int            `json:"crowded_polls_sent"`
	Needed          int            `json:"crowded_polls_needed"`
}

// VirtualMetrics is what virtual.Experiment measured.
type VirtualMetrics struct {
	Schedulers     int       `json:"schedulers"`
	Workers        int       `json:"workers"`
	ServedFraction float64   `json:"served_share"`
	ServedBySecond []float64 `json:"served_by_second_share"`
	Rejected       int       `json:"rejected"`
	Handshakes     float64   `json:"handshakes_per_scheduler"`
	ConnectsPeak   int       `json:"agent_connects_peak_100ms"` // at the worker that saw the most
	Loads          int       `json:"loads"`
	Crashed        int       `json:"workers_crashed"` // overloaded while they were warming up
}

// MatchResult is what experiment.Match measured.
type MatchResult struct {
	Rules        int         `json:"rules"`
	Rate         float64     `json:"rate"`
	Hostile      bool        `json:"hostile"`
	Sizes        []MatchSize `json:"sizes"`
	RulesRatio   float64     `json:"plain_p50_1000_over_10_rules"` // medians
	HostileRatio float64     `json:"hostile_p99_over_plain_p50"`   // at the given number of rules
	Served       float64     `json:"served_share"`
	ServedPlain  float64     `json:"served_without_rules_share"`
	P99          float64     `json:"p99_ms"`
	P99Plain     float64     `json:"p99_without_rules_ms"`
	CPU          float64     `json:"cpu_us_per_request"`
	CPUPlain     float64     `json:"cpu_without_rules_us_per_request"`
	Memory       int         `json:"memory_kb"`
	MemoryPlain  int         `json:"memory_without_rules_kb"`
}

// MatchSize is what an evaluation takes with so many rules, in nanoseconds.
type MatchSize struct {
	Rules      int     `json:"rules"`
	Plain      float64 `json:"plain_p50_ns"`
	PlainP99   float64 `json:"plain_p99_ns"`
	Hostile    float64 `json:"hostile_p50_ns"`
	HostileP99 float64 `json:"hostile_p99_ns"`
	Load       float64 `json:"load_ms"`
}
