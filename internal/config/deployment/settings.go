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

// Site is what the settings say: to the decisions, and to what is around them.
type Site struct {
	routing.Settings

	ClassNames     []string // by class number
	Zones, Kinds   []string // by number
	Streams        int      // attempts that a connection to a worker carries at a time
	IdleClose      time.Duration
	ConnectTimeout time.Duration
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
	effects = map[string]routing.Effect{
		"read_like": routing.Safe, "idempotency_key": routing.Keyed, "non_idempotent": routing.Unsafe,
	}
	scopes = map[string]routing.Scope{
		"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone, "cell": routing.ScopeCell,
	}
)

// longest is the longest time that settings may name; more is taken for nonsense.
const longest = 365 * 24 * time.Hour

// Parse reads a settings object.
func Parse(text []byte) (Site, error) {
	var b object
	if err := json.Unmarshal(text, &b); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
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
		OverShareWorth: b.OverShareWorth,
		MaxAttempts:    b.Ceilings.AttemptsCap, MaxOpen: b.Ceilings.OpenCap,
		SecondCopies: b.Ceilings.SecondCopies, CanCancel: b.Ceilings.Cancel, CanProbe: b.Ceilings.Probes,
		HonoursRetry: b.Ceilings.RetryAfter, MaxRetryAfter: duration(b.Ceilings.MaxRetryAfterMs),
		MustSubscribe: b.Discovery == "on_request", AskWithin: duration(b.Safety.AskWithinMs),
		ReportsAnswered: b.Report.How == "piggyback",
		ReportsProbed:   b.Report.How == "piggyback" || b.Report.How == "pull",
		AnswerSlack:     duration(b.Safety.AnswerSlackMs),
		DrainGrace:      duration(b.Safety.StopSendingWithinMs),
		ColdShare:       b.Safety.ColdShare, ColdFor: duration(b.Safety.ColdMs),
		TipMultiple: b.Safety.TipMultiple, TipFor: duration(b.Safety.OverloadForMs),
		KeepAlive: duration(b.FamilyInfo.IdleLifeMs), LoadOnDemand: b.FamilyInfo.WhenAbsent != "miss",
		TellsWarm: b.FamilyInfo.SaysWarm, TellsCompany: b.FamilyInfo.SaysCompany,
		CanLoad: b.FamilyInfo.MayLoad, LoadsFree: b.FamilyInfo.LoadsAnyway,
		LoadsPerCall: b.FamilyInfo.LoadRatio, LoadWindow: duration(b.FamilyInfo.LoadWindowMs),
		LoadTimeout: duration(b.FamilyInfo.AnswerWithinMs), WorkerMemory: b.FamilyInfo.RAMMbByKind,
		Fees: routing.Fees{
			Waste: b.Fees.Waste, LateFail: b.Fees.LateFail, Fetch: b.Fees.Origin,
			Cross: b.Fees.CrossZone, Probe: b.Fees.Probe, Idle: b.FamilyInfo.IdlePrice,
		},
		WeightsTold:   b.Weights != "" && b.Weights != "silent",
		ClientsRepeat: b.Callers.MarksRetry,
	}
	for i, c := range b.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return Site{}, fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			return Site{}, fmt.Errorf("settings: class %d: unknown dedupScope %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, routing.Class{
			Aim: duration(c.AimMs), Deadline: duration(c.HardLimitMs), Worth: c.Worth, LateWorth: c.LateWorth,
			Effect: effect, Scope: scope, MemorySpan: duration(c.MemorySpanMs), Stream: c.Stream,
		})
	}
	for i, t := range b.Tenants {
		if t.QuotaPerS < 0 || t.Share < 0 {
			return Site{}, fmt.Errorf("settings: tenant %d: share %g, %g a second", i, t.Share, t.QuotaPerS)
		}
		s.Tenants = append(s.Tenants, routing.Tenant{Share: t.Share, PerSecond: t.QuotaPerS})
	}
	site := Site{
		Settings: s, Zones: b.Zones, Kinds: b.Kinds, Streams: b.Ceilings.Multiplex,
		IdleClose: duration(b.Ceilings.IdleCloseMs), ConnectTimeout: duration(b.Ceilings.ConnectTimeoutMs),
	}
	for _, c := range b.Classes {
		site.ClassNames = append(site.ClassNames, c.Name)
	}
	return site, strange
}

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
