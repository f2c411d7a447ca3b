// Package deployment reads the settings object that a scheduler is given, by the simulator or in its
// configuration.
package deployment

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"calicohill/routing"
)

// Settings is what the settings say: to the decisions, and to what is around them.
type Settings struct {
	routing.Settings

	ClassNames         []string // by class number
	Zones, WorkerKinds []string // by number
	PipelineDepth      int      // attempts that a connection to a worker carries at a time
	IdleCloseAfter     time.Duration
	ConnectTimeout     time.Duration
}

// object holds the keys of the settings object that the decisions use. Keys that are not named here are
// skipped, as the wire asks.
type object struct {
	Balancers int     `json:"balancers"`
	Rank      int     `json:"rank"`
	AZ        int     `json:"az"`
	TickMs    float64 `json:"tickMs"`
	Ceilings  struct {
		AttemptsCap     int     `json:"attemptsCap"`
		OpenCap         int     `json:"openCap"`
		Cancel          bool    `json:"cancel"`
		Probes          bool    `json:"probes"`
		RetryAfter      bool    `json:"retryAfter"`
		SecondCopies    bool    `json:"secondCopies"`
		MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`

		Multiplex        int     `json:"multiplex"`
		IdleCloseMs      float64 `json:"idleCloseMs"`
		ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	} `json:"ceilings"`
	Zones   []string `json:"dcs"`
	Kinds   []string `json:"shapes"`
	Classes []struct {
		Name         string  `json:"name"`
		AimMs        float64 `json:"aimMs"`
		HardLimitMs  float64 `json:"hardLimitMs"`
		Worth        float64 `json:"worth"`
		LateWorth    float64 `json:"lateWorth"`
		Effect       string  `json:"effect"`
		DedupScope   string  `json:"dedupScope"`
		MemorySpanMs float64 `json:"memorySpanMs"`
		Stream       bool    `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Share     float64 `json:"share"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
	OverShareWorth float64 `json:"overShareWorth"`
	Callers        struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"callers"`
	Discovery  string `json:"discovery"`
	Weights    string `json:"weights"`
	FamilyInfo struct {
		AnswerWithinMs float64   `json:"answerWithinMs"`
		IdleLifeMs     float64   `json:"idleLifeMs"`
		LoadRatio      float64   `json:"loadRatio"`
		LoadWindowMs   float64   `json:"loadWindowMs"`
		LoadsAnyway    float64   `json:"loadsAnyway"`
		MayLoad        bool      `json:"mayLoad"`
		RAMMbByKind    []float64 `json:"ramMbByKind"`
		SaysCompany    bool      `json:"saysCompany"`
		SaysWarm       bool      `json:"saysWarm"`
		WhenAbsent     string    `json:"whenAbsent"`
		IdlePrice      float64   `json:"idlePrice"`
	} `json:"familyInfo"`
	Fees struct {
		CrossZone float64 `json:"crossZone"`
		LateFail  float64 `json:"lateFail"`
		Origin    float64 `json:"origin"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"fees"`
	Report struct {
		How string `json:"how"`
	} `json:"report"`
	Safety struct {
		AnswerSlackMs       float64 `json:"answerSlackMs"`
		AskWithinMs         float64 `json:"askWithinMs"`
		ColdMs              float64 `json:"coldMs"`
		ColdShare           float64 `json:"coldShare"`
		OverloadForMs       float64 `json:"overloadForMs"`
		StopSendingWithinMs float64 `json:"stopSendingWithinMs"`
		TipMultiple         float64 `json:"tipMultiple"`
	} `json:"safety"`
}

var (
	effects = map[string]routing.Idempotency{
		"read_like": routing.Idempotent, "idempotency_key": routing.IdempotentByKey, "non_idempotent": routing.NonIdempotent,
	}
	scopes = map[string]routing.DeduplicationScope{
		"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone, "cell": routing.ScopeCell,
	}
)

// longest is the longest time that settings may name; more is taken for nonsense.
const longest = 365 * 24 * time.Hour

// Parse reads a settings object.
func Parse(text []byte) (Settings, error) {
	var b object
	if err := json.Unmarshal(text, &b); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	var strange error // the first time that can't be
	duration := func(ms float64) time.Duration {
		if strange == nil && (ms < 0 || ms > float64(longest/time.Millisecond)) {
			strange = fmt.Errorf("settings: a time of %g ms", ms)
		}
		return duration(ms)
	}
	s := routing.Settings{
		Schedulers: b.Balancers, Rank: b.Rank, Zone: b.AZ, Tick: duration(b.TickMs),
		OverQuotaValue: b.OverShareWorth,
		MaxAttempts:    b.Ceilings.AttemptsCap, MaxOpenRequests: b.Ceilings.OpenCap,
		HedgingAllowed: b.Ceilings.SecondCopies, CancelAllowed: b.Ceilings.Cancel, ProbeAllowed: b.Ceilings.Probes,
		HonorsRetryAfter: b.Ceilings.RetryAfter, MaxRetryAfter: duration(b.Ceilings.MaxRetryAfterMs),
		SubscriptionRequired: b.Discovery == "on_request", EndpointsKnownWithin: duration(b.Safety.AskWithinMs),
		ReportsInAnswers:  b.Report.How == "piggyback",
		ReportsInProbes:   b.Report.How == "piggyback" || b.Report.How == "pull",
		AnswerSlack:       duration(b.Safety.AnswerSlackMs),
		DrainGrace:        duration(b.Safety.StopSendingWithinMs),
		SlowStartFraction: b.Safety.ColdShare, SlowStartDuration: duration(b.Safety.ColdMs),
		OverloadMultiple: b.Safety.TipMultiple, OverloadDuration: duration(b.Safety.OverloadForMs),
		InstanceKeepAlive: duration(b.FamilyInfo.IdleLifeMs), LoadOnDemand: b.FamilyInfo.WhenAbsent != "miss",
		AnswersTellStartType: b.FamilyInfo.SaysWarm, AnswersTellInFlight: b.FamilyInfo.SaysCompany,
		LoadAllowed: b.FamilyInfo.MayLoad, LoadBudgetBase: b.FamilyInfo.LoadsAnyway,
		LoadBudgetPerRequest: b.FamilyInfo.LoadRatio, LoadBudgetWindow: duration(b.FamilyInfo.LoadWindowMs),
		LoadTimeout: duration(b.FamilyInfo.AnswerWithinMs), WorkerMemoryMB: b.FamilyInfo.RAMMbByKind,
		Fees: routing.Fees{
			WastedWork: b.Fees.Waste, LateFailure: b.Fees.LateFail, StoreFetch: b.Fees.Origin,
			CrossZone: b.Fees.CrossZone, Probe: b.Fees.Probe, IdleMemory: b.FamilyInfo.IdlePrice,
		},
		WeightsReported:    b.Weights != "" && b.Weights != "silent",
		ClientsMarkRetries: b.Callers.MarksRetry,
	}
	for i, c := range b.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return Settings{}, fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			return Settings{}, fmt.Errorf("settings: class %d: unknown dedupScope %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, routing.Class{
			LatencyObjective: duration(c.AimMs), Deadline: duration(c.HardLimitMs), PriorityWeight: c.Worth, LateValue: c.LateWorth,
			Idempotency: effect, DeduplicationScope: scope, DeduplicationWindow: duration(c.MemorySpanMs), Streaming: c.Stream,
		})
	}
	for i, t := range b.Tenants {
		if t.QuotaPerS < 0 || t.Share < 0 {
			return Settings{}, fmt.Errorf("settings: tenant %d: share %g, %g a second", i, t.Share, t.QuotaPerS)
		}
		s.Tenants = append(s.Tenants, routing.Tenant{QuotaFraction: t.Share, RequestsPerSecond: t.QuotaPerS})
	}
	site := Settings{
		Settings: s, Zones: b.Zones, WorkerKinds: b.Kinds, PipelineDepth: b.Ceilings.Multiplex,
		IdleCloseAfter: duration(b.Ceilings.IdleCloseMs), ConnectTimeout: duration(b.Ceilings.ConnectTimeoutMs),
	}
	for _, c := range b.Classes {
		site.ClassNames = append(site.ClassNames, c.Name)
	}
	return site, strange
}

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
